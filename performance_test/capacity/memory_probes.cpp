// Heap per item of one entry core or one agent core. All peers are scripted, so that nothing else
// allocates.

#include "performance_test/capacity/cluster.hpp"
#include "performance_test/capacity/measure.hpp"
#include "performance_test/capacity/probes.hpp"
#include "savoryreach/net/session.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <iostream>
#include <optional>

namespace savoryreach::capacity
{
namespace
{

constexpr std::uint32_t long_lease_ms = 3'600'000;

/// Grants everything that an entry or an agent asks of the keepers.
class granting_keeper
{
public:
    explicit granting_keeper(world& in) : world_(in), node_(in.add("keeper-1"))
    {
        node_.receive = [this](const base::node_name& from, const schema::envelope& it)
        {
            if (it.has_keeper_request())
            {
                answer(from, it.keeper_request());
            }
        };
        auto& member = *view.add_entries();
        member.set_name("entry-1");
        member.set_address("192.168.100.100:7101");
        member.set_epoch(1);
        view.set_membership_revision(1);
        view.set_config_complete(true);
    }

    schema::cluster_view view; ///< given to each that asks

private:
    void answer(const base::node_name& from, const schema::keeper_request& request)
    {
        schema::envelope message;
        auto& reply = *message.mutable_keeper_reply();
        reply.set_request_id(request.request_id());
        reply.set_keeper("keeper-1");
        if (request.has_join_entry())
        {
            reply.mutable_join()->set_epoch(1);
            reply.mutable_join()->set_lease_ms(long_lease_ms);
            *reply.mutable_join()->mutable_view() = view;
        }
        else if (request.has_renew_entry())
        {
            reply.mutable_renew()->set_lease_ms(long_lease_ms);
            *reply.mutable_renew()->mutable_view() = view;
        }
        else if (request.has_claims())
        {
            for (int n = 0; n < request.claims().claims_size(); ++n)
            {
                reply.mutable_claims()->add_results()->set_outcome(schema::claim_granted);
            }
        }
        else if (request.has_register_agent())
        {
            reply.mutable_register_agent()->set_incarnation(1);
            *reply.mutable_register_agent()->mutable_view() = view;
        }
        else if (request.has_renew_agent())
        {
            *reply.mutable_renew_agent()->mutable_view() = view;
        }
        world_.send(node_.name, from, std::move(message));
    }

    world& world_;
    world_node& node_;
};

/// One entry core with a granting keeper.
class lone_entry
{
public:
    lone_entry() : keeper_(run), node_(run.add("entry-1"))
    {
        schema::entry_settings settings;
        *settings.mutable_common() = common_settings("entry-1");
        core_.emplace(settings, entry::entry_ports{run.clock(), random_, *node_.transport, callers_,
                                                   events_});
        node_.receive = [this](const base::node_name& from, const schema::envelope& it)
        {
            core_->receive(from, it);
        };
        node_.tick = [this]
        {
            core_->tick();
        };
        run.run_for(absl::Seconds(1));
    }

    /// A hello of each of \p count agents, with counters of \p kinds kinds. The agents grant no
    /// credit.
    void hello(std::size_t count, std::size_t kinds, std::uint64_t successes)
    {
        for (std::size_t n = 0; n < count; ++n)
        {
            schema::envelope message;
            auto& hello = *message.mutable_agent_hello();
            hello.set_agent(absl::StrCat("agent-", absl::Dec(n, absl::kZeroPad4)));
            hello.set_incarnation(100 + n);
            hello.set_data_centre("ljubljana");
            hello.set_slots(4096);
            for (std::size_t k = 0; k < kinds; ++k)
            {
                auto& counter = *hello.add_counters();
                counter.set_kind(absl::StrCat("kind-", k));
                counter.set_succeeded(successes);
                counter.set_run_us_total(100'000 * successes);
            }
            run.send(base::node_name(hello.agent()), node_.name, message);
        }
        run.run_for(absl::Milliseconds(2));
    }

    void submit(std::size_t jobs, std::uint32_t tasks, std::size_t teams)
    {
        for (std::size_t n = 0; n < jobs; ++n)
        {
            schema::submission job;
            job.set_schema_version(2);
            job.set_submission_id(
                absl::StrCat("00000000-0000-0000-0000-", absl::Dec(++last_job_, absl::kZeroPad12)));
            job.set_team(absl::StrCat("team-", n % teams));
            job.set_kind("kind-0");
            job.set_idempotent(true);
            job.set_time_budget_ms(600'000);
            for (std::uint32_t t = 0; t < tasks; ++t)
            {
                job.add_tasks()->set_payload(std::string(64, 'x'));
            }
            core_->submit(last_job_, std::move(job), true, run.clock().now() + absl::Minutes(10));
        }
        run.run_for(absl::Milliseconds(20));
    }

    void declare_teams(std::size_t count)
    {
        for (std::size_t n = 0; n < count; ++n)
        {
            auto& entry = *keeper_.view.add_config();
            entry.set_config_revision(n + 1);
            entry.mutable_declaration()->set_schema_version(1);
            entry.mutable_declaration()->set_name(absl::StrCat("quota/team-", n));
            entry.mutable_declaration()->set_version(1);
            auto& quota = *entry.mutable_declaration()->mutable_team_quota();
            quota.set_team(absl::StrCat("team-", n));
            quota.set_weight(10);
        }
        keeper_.view.set_config_revision(count);
        run.run_for(absl::Seconds(2));
    }

    [[nodiscard]] entry::entry_status status() const { return core_->status(); }
    [[nodiscard]] const answer_counter& callers() const { return callers_; }

    world run;

private:
    granting_keeper keeper_;
    world_node& node_;
    base::seeded_random random_{1};
    observe::null_event_sink events_;
    answer_counter callers_;
    std::optional<entry::entry_core> core_;
    std::uint64_t last_job_ = 0;
};

void print_bytes(const std::string& what, std::size_t count, double bytes)
{
    absl::PrintF("memory_of=%s count=%d bytes=%.0f bytes_each=%.1f\n", what, count, bytes,
                 bytes / static_cast<double>(count));
    std::cout << std::flush;
}

void entry_agents_and_estimates(std::size_t count)
{
    lone_entry it;
    const double before = heap_bytes();
    it.hello(count, 0, 0);
    const double joined = heap_bytes();
    print_bytes("entry_agent", it.status().agents, joined - before);
    it.hello(count, 6, 1);
    it.hello(count, 6, 20);
    print_bytes("entry_estimate", 6 * count, heap_bytes() - joined);
}

void entry_jobs(std::size_t jobs, std::uint32_t tasks)
{
    lone_entry it;
    it.hello(300, 1, 1);
    it.hello(300, 1, 20);
    it.submit(1, 1, 1);
    const double before = heap_bytes();
    it.submit(jobs, tasks, 29);
    const auto status = it.status();
    const double bytes = heap_bytes() - before;
    absl::PrintF("jobs=%d tasks=%d refused=%d failed=%d ", status.jobs, status.waiting_tasks,
                 status.refused, it.callers().failed);
    print_bytes(absl::StrCat("entry_job_of_", tasks), jobs, bytes);
}

void entry_teams(std::size_t teams)
{
    lone_entry it;
    it.hello(300, 1, 1);
    it.hello(300, 1, 20);
    it.submit(teams, 1, 1);
    const double before = heap_bytes();
    it.declare_teams(teams);
    const double declared = heap_bytes();
    print_bytes("entry_team_quota", teams, declared - before);
    it.submit(teams, 1, teams);
    print_bytes("entry_team_with_job", teams, heap_bytes() - declared);
}

/// One agent core with a granting keeper and a scripted entry that never releases a job.
class lone_agent
{
public:
    explicit lone_agent(std::size_t output_bytes)
        : keeper_(run), entry_(run.add("entry-1")), node_(run.add("agent-1")),
          endpoint_(run.clock(), node_, absl::Milliseconds(1)), payload_(output_bytes, 'x'),
          stream_(1, 1)
    {
        schema::agent_settings settings;
        *settings.mutable_common() = common_settings("agent-1");
        settings.set_slots(64);
        settings.set_max_result_bytes(32U << 20U);
        core_.emplace(settings, agent::agent_ports{run.clock(), random_, *node_.transport,
                                                   endpoint_, events_});
        node_.receive = [this](const base::node_name& from, const schema::envelope& it)
        {
            core_->receive(from, it);
        };
        node_.tick = [this]
        {
            endpoint_.end_due(*core_);
            core_->tick();
        };
        entry_.receive = [this](const base::node_name&, const schema::envelope& it)
        {
            receive(it);
        };
        entry_.tick = [this]
        {
            while (auto frame = stream_.poll(run.clock().now()))
            {
                schema::envelope message;
                *message.mutable_session() = std::move(*frame);
                run.send(entry_.name, node_.name, std::move(message));
            }
        };
        run.run_for(absl::Seconds(1));
    }

    void start(std::size_t count)
    {
        for (std::size_t n = 0; n < count; ++n)
        {
            schema::session_item item;
            auto& start = *item.mutable_start();
            start.set_submission_id(absl::StrCat("00000000-0000-0000-0000-",
                                                 absl::Dec(last_task_ / 20, absl::kZeroPad12)));
            start.set_task(static_cast<std::uint32_t>(last_task_++ % 20));
            start.set_kind("preview");
            start.set_payload(payload_);
            start.set_idempotent(true);
            start.set_start_within_ms(600'000);
            start.set_run_limit_ms(600'000);
            stream_.push(std::move(item));
        }
        run.run_until([&] { return core_->status().start_records >= last_task_; },
                      absl::Seconds(60));
        run.run_for(absl::Milliseconds(500));
    }

    [[nodiscard]] agent::agent_status status() const { return core_->status(); }

    world run;

private:
    void receive(const schema::envelope& message)
    {
        if (message.has_session())
        {
            (void)stream_.receive(message.session(), run.clock().now());
        }
        if (!message.has_agent_hello())
        {
            return;
        }
        schema::envelope envelope;
        auto& reply = *envelope.mutable_agent_hello_reply();
        reply.set_entry("entry-1");
        reply.set_epoch(1);
        reply.set_incarnation(1);
        reply.set_request_id(message.agent_hello().request_id());
        reply.set_lease_ms(2000);
        run.send(entry_.name, node_.name, std::move(envelope));
    }

    granting_keeper keeper_;
    world_node& entry_;
    world_node& node_;
    timed_endpoint endpoint_;
    std::string payload_;
    net::session stream_;
    base::seeded_random random_{1};
    observe::null_event_sink events_;
    std::optional<agent::agent_core> core_;
    std::uint64_t last_task_ = 0;
};

} // namespace

void probe_entry_memory(const std::vector<std::size_t>& counts)
{
    for (const auto it : counts)
    {
        entry_agents_and_estimates(it);
        entry_jobs(10 * it, 1);
        entry_jobs(it, 100);
        entry_teams(it);
    }
}

void probe_agent_memory(const std::vector<std::size_t>& counts, std::size_t output_bytes)
{
    for (const auto it : counts)
    {
        lone_agent lone(output_bytes);
        lone.start(100);
        const double before = heap_bytes();
        lone.start(it);
        absl::PrintF("records=%d result_bytes=%d ", lone.status().start_records,
                     lone.status().result_bytes);
        print_bytes(absl::StrCat("agent_start_record_with_output_of_", output_bytes), it,
                    heap_bytes() - before);
    }
}

} // namespace savoryreach::capacity
