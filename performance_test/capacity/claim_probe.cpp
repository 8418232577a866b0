// Claims at saturation: real keeper cores and storage on real time, in one process.

#include "performance_test/capacity/cluster.hpp"
#include "performance_test/capacity/measure.hpp"
#include "performance_test/capacity/probes.hpp"
#include "savoryreach/base/system_clock.hpp"
#include "savoryreach/storage/file_log_storage.hpp"
#include "savoryreach/storage/posix_disk.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <iostream>
#include <mutex>
#include <thread>

namespace savoryreach::capacity
{
namespace
{

/// Seconds of processor time of all threads.
double process_seconds()
{
    return seconds_of(CLOCK_PROCESS_CPUTIME_ID);
}

double folder_bytes(const std::string& folder)
{
    double sum = 0;
    for (const auto& it : std::filesystem::recursive_directory_iterator(folder))
    {
        sum += it.is_regular_file() ? static_cast<double>(it.file_size()) : 0;
    }
    return sum;
}

/// Keepers and claiming entries on one thread; the storages' writers have threads of their own.
class claim_bench
{
public:
    claim_bench(int keepers, std::size_t clients, std::size_t batch, const std::string& folder)
        : folder_(folder), clients_(clients), batch_(batch)
    {
        for (int n = 1; n <= keepers; ++n)
        {
            add_keeper(n, keepers, absl::StrCat(folder, "/keeper-", n));
        }
        until([this] { return leader() != nullptr; });
        for (std::size_t n = 0; n < clients; ++n)
        {
            join(n);
        }
        until([this] { return std::ranges::all_of(clients_, [](auto& it) { return it.epoch; }); });
    }

    void run(double seconds)
    {
        latencies_.clear();
        claims_ = 0;
        const auto before = used();
        const double begin = seconds_of(CLOCK_MONOTONIC);
        const double cpu = process_seconds();
        const double own = thread_seconds();
        for (std::size_t n = 0; n < clients_.size(); ++n)
        {
            claim(n);
        }
        until([&] { return seconds_of(CLOCK_MONOTONIC) - begin >= seconds; });
        const double took = seconds_of(CLOCK_MONOTONIC) - begin;
        print(took, before, process_seconds() - cpu, thread_seconds() - own);
    }

private:
    struct keeper_process
    {
        std::string name;
        std::unique_ptr<storage::file_log_storage> storage;
        std::unique_ptr<net::transport> transport;
        std::unique_ptr<keeper::keeper_core> core;
        std::deque<std::pair<base::node_name, schema::envelope>> inbox;
        std::mutex mutex;           ///< guards durable
        std::uint64_t durable = 0;  ///< set by the writer thread
        std::uint64_t reported = 0; ///< last ticket told to the core
        double core_s = 0;
        std::uint64_t bytes = 0; ///< sent and received
    };
    struct client
    {
        std::uint64_t epoch = 0;
        std::uint64_t request_id = 0;
        double sent_at = 0;
        double renewed_at = 0;
    };

    /// Hands messages to the other keepers and to the clients at once.
    class bench_transport final : public net::transport
    {
    public:
        bench_transport(claim_bench& in, keeper_process& from) : bench_(in), from_(from) {}
        void send(const base::node_name& to, schema::envelope message) override
        {
            bench_.sent_.push_back({&from_, to, std::move(message)});
        }
        void learn_address(const base::node_name&, const std::string&) override {}

    private:
        claim_bench& bench_;
        keeper_process& from_;
    };

    struct sent_message
    {
        keeper_process* from;
        base::node_name to;
        schema::envelope message;
    };

    struct total
    {
        double core_s = 0;
        double leader_bytes = 0;
    };

    void add_keeper(int number, int count, const std::string& folder);
    void join(std::size_t number);
    void claim(std::size_t number);
    void renew(std::size_t number);
    void request(std::size_t number, schema::keeper_request it);
    void receive(const schema::envelope& message, const base::node_name& to);
    void deliver();
    void step();
    void step(keeper_process& it);
    keeper_process* leader();
    total used();
    void print(double took, const total& before, double cpu, double own);

    template <typename Done>
    void until(Done done)
    {
        while (!done())
        {
            step();
        }
    }

    std::string folder_; ///< of all keepers
    base::system_clock clock_;
    base::seeded_random random_{1};
    observe::null_event_sink events_;
    storage::posix_disk disk_;
    std::vector<std::unique_ptr<keeper_process>> keepers_;
    std::vector<client> clients_;
    std::deque<sent_message> sent_;
    std::size_t batch_;
    std::uint64_t last_claim_ = 0;
    std::uint64_t last_request_ = 0;
    std::uint64_t claims_ = 0;      ///< granted since the run began
    std::vector<double> latencies_; ///< of claim requests, seconds
};

void claim_bench::add_keeper(int number, int count, const std::string& folder)
{
    auto it = std::make_unique<keeper_process>();
    it->name = absl::StrCat("keeper-", number);
    std::string why;
    auto* process = it.get();
    auto opened = storage::file_log_storage::open(disk_, folder,
                                                  {[process](std::uint64_t ticket)
                                                   {
                                                       const std::lock_guard lock(process->mutex);
                                                       process->durable = ticket;
                                                   },
                                                   [](const std::string& reason)
                                                   {
                                                       std::cerr << reason << "\n";
                                                   }},
                                                  {}, why);
    if (!opened)
    {
        std::cerr << why << "\n";
        std::exit(1);
    }
    it->storage = std::move(opened->storage);
    it->transport = std::make_unique<bench_transport>(*this, *it);
    schema::keeper_settings settings;
    *settings.mutable_common() = common_settings(it->name);
    settings.mutable_common()->clear_keepers();
    for (int n = 1; n <= count; ++n)
    {
        settings.mutable_common()->add_keepers()->set_name(absl::StrCat("keeper-", n));
    }
    // No snapshot falls into the run; its cost is measured by the ledger probe.
    settings.set_snapshot_every(10'000'000);
    it->core = std::make_unique<keeper::keeper_core>(
        settings, std::move(opened->content.state),
        keeper::keeper_ports{clock_, random_, *it->transport, *it->storage, events_});
    keepers_.push_back(std::move(it));
}

claim_bench::keeper_process* claim_bench::leader()
{
    for (const auto& it : keepers_)
    {
        if (it->core->status().role == "leader" && it->core->is_ready())
        {
            return it.get();
        }
    }
    return nullptr;
}

void claim_bench::request(std::size_t number, schema::keeper_request it)
{
    auto* to = leader();
    if (to == nullptr)
    {
        std::cerr << "the leader was lost\n";
        std::exit(1);
    }
    const auto name = absl::StrCat("entry-", number);
    it.set_request_id(++last_request_);
    it.set_sender(name);
    schema::envelope message;
    *message.mutable_keeper_request() = std::move(it);
    to->bytes += message.ByteSizeLong() + 4;
    to->inbox.emplace_back(base::node_name(name), std::move(message));
}

void claim_bench::join(std::size_t number)
{
    schema::keeper_request it;
    it.mutable_join_entry()->set_name(absl::StrCat("entry-", number));
    it.mutable_join_entry()->set_process_nonce(number + 1);
    request(number, std::move(it));
}

void claim_bench::renew(std::size_t number)
{
    schema::keeper_request it;
    it.mutable_renew_entry()->set_epoch(clients_[number].epoch);
    request(number, std::move(it));
    clients_[number].renewed_at = seconds_of(CLOCK_MONOTONIC);
}

void claim_bench::claim(std::size_t number)
{
    auto& from = clients_[number];
    schema::keeper_request it;
    it.mutable_claims()->set_owner_epoch(from.epoch);
    for (std::size_t n = 0; n < batch_; ++n)
    {
        auto& claim = *it.mutable_claims()->add_claims();
        claim.set_submission_id(
            absl::StrCat("00000000-0000-0000-0000-", absl::Dec(++last_claim_, absl::kZeroPad12)));
        claim.set_digest("0123456789abcdef");
    }
    request(number, std::move(it));
    from.request_id = last_request_;
    from.sent_at = seconds_of(CLOCK_MONOTONIC);
    if (from.sent_at - from.renewed_at >= 1)
    {
        renew(number);
    }
}

void claim_bench::receive(const schema::envelope& message, const base::node_name& to)
{
    std::size_t number = 0;
    const auto& reply = message.keeper_reply();
    if (!absl::SimpleAtoi(to.value().substr(std::string("entry-").size()), &number))
    {
        return;
    }
    auto& it = clients_[number];
    if (reply.has_join())
    {
        it.epoch = reply.join().epoch();
        it.renewed_at = seconds_of(CLOCK_MONOTONIC);
    }
    if (!reply.has_claims() || reply.request_id() != it.request_id)
    {
        return;
    }
    latencies_.push_back(seconds_of(CLOCK_MONOTONIC) - it.sent_at);
    for (const auto& result : reply.claims().results())
    {
        claims_ += result.outcome() == schema::claim_granted ? 1 : 0;
    }
    claim(number);
}

void claim_bench::deliver()
{
    for (auto& [from, to, message] : std::exchange(sent_, {}))
    {
        const auto bytes = message.ByteSizeLong() + 4;
        from->bytes += bytes;
        if (message.has_keeper_reply())
        {
            receive(message, to);
            continue;
        }
        for (const auto& it : keepers_)
        {
            if (it->name == to.value())
            {
                it->bytes += bytes;
                it->inbox.emplace_back(base::node_name(from->name), std::move(message));
                break;
            }
        }
    }
}

void claim_bench::step(keeper_process& it)
{
    std::uint64_t durable = 0;
    {
        const std::lock_guard lock(it.mutex);
        durable = it.durable;
    }
    const auto inbox = std::exchange(it.inbox, {});
    const double begin = thread_seconds();
    if (durable > it.reported)
    {
        it.reported = durable;
        it.core->persisted(durable);
    }
    for (const auto& [from, message] : inbox)
    {
        it.core->receive(from, message);
    }
    it.core->tick();
    if (!inbox.empty() || durable > 0)
    {
        it.core_s += thread_seconds() - begin - clock_overhead();
    }
}

void claim_bench::step()
{
    for (const auto& it : keepers_)
    {
        step(*it);
    }
    if (sent_.empty())
    {
        std::this_thread::sleep_for(std::chrono::microseconds(100));
    }
    deliver();
}

claim_bench::total claim_bench::used()
{
    auto* it = leader();
    return it == nullptr ? total{} : total{it->core_s, static_cast<double>(it->bytes)};
}

void claim_bench::print(double took, const total& before, double cpu, double own)
{
    const auto after = used();
    const auto claims = static_cast<double>(claims_);
    const double disk_bytes = folder_bytes(absl::StrCat(folder_, "/", leader()->name));
    absl::PrintF("keepers=%d clients=%d batch=%d claims_per_s=%.0f requests=%d p50_ms=%.2f "
                 "p99_ms=%.2f leader_core_us_per_claim=%.2f writer_us_per_claim=%.2f "
                 "leader_net_bytes_per_claim=%.0f log_bytes_per_claim=%.1f\n",
                 keepers_.size(), clients_.size(), batch_, claims / took, latencies_.size(),
                 1e3 * quantile(latencies_, 0.5), 1e3 * quantile(latencies_, 0.99),
                 1e6 * (after.core_s - before.core_s) / claims,
                 1e6 * (cpu - own) / claims / static_cast<double>(keepers_.size()),
                 (after.leader_bytes - before.leader_bytes) / claims, disk_bytes / claims);
    std::cout << std::flush;
}

} // namespace

void probe_claims(const std::vector<std::size_t>& batches, std::size_t clients, int keepers,
                  double seconds, const std::string& folder)
{
    for (const auto it : batches)
    {
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
        {
            claim_bench bench(keepers, clients, it, folder);
            bench.run(seconds);
        }
        std::filesystem::remove_all(folder);
    }
}

void probe_disk(const std::string& folder)
{
    constexpr int rounds = 300;
    std::filesystem::create_directories(folder);
    const auto path = folder + "/disk-probe";
    for (const std::size_t bytes : {512, 4'096, 65'536, 524'288})
    {
        const int file = ::open(path.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
        const std::string block(bytes, 'x');
        std::vector<double> times;
        for (int n = 0; n < rounds; ++n)
        {
            const double begin = seconds_of(CLOCK_MONOTONIC);
            if (::write(file, block.data(), block.size()) < 0 || ::fdatasync(file) != 0)
            {
                std::cerr << "cannot write " << path << "\n";
                std::exit(1);
            }
            times.push_back(seconds_of(CLOCK_MONOTONIC) - begin);
        }
        ::close(file);
        std::filesystem::remove(path);
        absl::PrintF("write_bytes=%d syncs=%d p50_ms=%.2f p99_ms=%.2f\n", bytes, rounds,
                     1e3 * quantile(times, 0.5), 1e3 * quantile(times, 0.99));
        std::cout << std::flush;
    }
}

} // namespace savoryreach::capacity
