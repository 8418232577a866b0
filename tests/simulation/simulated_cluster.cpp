#include "tests/simulation/simulated_cluster.hpp"

#include "savoryreach/base/digest.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <type_traits>

namespace savoryreach::simulation
{
namespace
{

constexpr absl::Duration tick_interval = absl::Milliseconds(5);
constexpr std::array mean_run_ms{40, 60, 100, 150, 250, 600};
constexpr std::uint32_t snapshot_every = 300;

} // namespace

/// Takes the answers of one entry process.
class simulated_cluster::answer_port final : public entry::caller_port
{
public:
    answer_port(simulated_cluster& cluster, std::string entry)
        : cluster_(cluster), entry_(std::move(entry))
    {
    }

    void answer(std::uint64_t request_id, const schema::job_answer& answer) override
    {
        cluster_.answer_handler_(entry_, request_id, answer);
    }

private:
    simulated_cluster& cluster_;
    std::string entry_;
};

simulated_cluster::simulated_cluster(std::uint64_t seed, breakage broken)
    : broken_(broken), seed_(seed), network_random_(seed * 3 + 1), random_(seed * 3 + 2),
      network_(clock_, network_random_), timers_(clock_), journal_(clock_),
      checker_(clock_, journal_), ledger_checker_(journal_), tampering_(broken),
      next_tick_(clock_.now())
{
    for (int n = 1; n <= 3; ++n)
    {
        keeper_names_.push_back(absl::StrCat("k", n));
        entry_names_.push_back(absl::StrCat("e", n));
    }
    for (std::size_t n = 0; n < mean_run_ms.size(); ++n)
    {
        agent_names_.push_back(absl::StrCat("a", n + 1));
        auto& agent = agents_[agent_names_.back()];
        agent.mean_run = absl::Milliseconds(mean_run_ms[n]);
        agent.slots = static_cast<std::uint32_t>(2 + n % 3);
    }
    for (const auto& name : keeper_names_)
    {
        keepers_[name].disk = std::make_unique<fake_disk>(clock_);
    }
    for (const auto& name : processes())
    {
        start(name);
    }
}

simulated_cluster::~simulated_cluster() = default;

std::vector<std::string> simulated_cluster::processes() const
{
    auto all = keeper_names_;
    all.insert(all.end(), entry_names_.begin(), entry_names_.end());
    all.insert(all.end(), agent_names_.begin(), agent_names_.end());
    return all;
}

std::uint64_t simulated_cluster::new_life(std::uint64_t present)
{
    ++lives_;
    return broken_ == breakage::silent_restart && present != 0 ? present : lives_;
}

std::uint64_t simulated_cluster::core_seed(const std::string& node) const
{
    // Equal seeds give an agent the nonce of its predecessor, which makes its registration a
    // resend.
    const bool is_repeated = broken_ == breakage::restored_agent && agents_.contains(node);
    return base::stable_hash(node, seed_ * 1'000'003 + (is_repeated ? 0 : lives_));
}

void simulated_cluster::fill(schema::common_settings& common, const std::string& name) const
{
    common.set_cluster("simulation");
    common.set_name(name);
    common.set_data_centre("dc1");
    common.set_listen(absl::StrCat(name, ":1"));
    for (const auto& keeper : keeper_names_)
    {
        auto& it = *common.add_keepers();
        it.set_name(keeper);
        it.set_address(absl::StrCat(keeper, ":1"));
    }
}

template <typename Core>
void simulated_cluster::attach(const std::string& name, Core* core)
{
    network_.attach(base::node_name(name),
                    [this, name, core](const base::node_name& from, const schema::envelope& message)
                    {
                        journal_.count(name, static_cast<std::uint64_t>(message.body_case()));
                        auto altered = message;
                        if (tampering_.is_active())
                        {
                            tampering_.alter(name, altered);
                        }
                        if (const auto* view = view_in(altered))
                        {
                            ledger_checker_.view(*view);
                        }
                        core->receive(from, altered);
                        core->tick();
                        if constexpr (std::is_same_v<Core, keeper::keeper_core>)
                        {
                            note_fences(name);
                        }
                    });
}

void simulated_cluster::note_fences(const std::string& keeper)
{
    auto& it = keepers_.at(keeper);
    const auto entries = it.core->status().entries;
    if (entries != std::exchange(it.entries, entries))
    {
        checker_.epoch_ended();
    }
}

void simulated_cluster::start_keeper(const std::string& name)
{
    auto& it = keepers_.at(name);
    it.life = new_life(it.life);
    it.random = std::make_unique<base::seeded_random>(core_seed(name));
    it.clock = std::make_unique<stoppable_clock>(clock_);
    it.transport = network_.transport_of(base::node_name(name));
    it.events = std::make_unique<journal_sink>(journal_, name);
    it.liar = std::make_unique<lying_disk>(*it.disk);
    it.is_failure_reported = false;
    it.disk->set_sync_delay(broken_ == breakage::early_ack ? absl::Seconds(20)
                                                           : absl::Milliseconds(3));
    schema::keeper_settings settings;
    fill(*settings.mutable_common(), name);
    settings.set_snapshot_every(snapshot_every);
    ledger_checker_.keeper_restarted(name);
    it.core = std::make_unique<keeper::keeper_core>(
        settings, it.disk->durable(),
        keeper::keeper_ports{*it.clock, *it.random, *it.transport, *it.liar, *it.events});
    attach(name, it.core.get());
}

void simulated_cluster::start_entry(const std::string& name)
{
    auto& it = entries_[name];
    it.life = new_life(it.life);
    it.epoch = 0;
    it.is_draining = false;
    it.random = std::make_unique<base::seeded_random>(core_seed(name));
    it.transport = network_.transport_of(base::node_name(name));
    it.events = std::make_unique<journal_sink>(journal_, name);
    it.port = std::make_unique<answer_port>(*this, name);
    schema::entry_settings settings;
    fill(*settings.mutable_common(), name);
    it.core = std::make_unique<entry::entry_core>(
        settings, entry::entry_ports{clock_, *it.random, *it.transport, *it.port, *it.events});
    attach(name, it.core.get());
}

void simulated_cluster::start_agent(const std::string& name)
{
    auto& it = agents_.at(name);
    it.life = new_life(it.life);
    it.is_draining = false;
    it.random = std::make_unique<base::seeded_random>(core_seed(name));
    it.transport = network_.transport_of(base::node_name(name));
    it.events = std::make_unique<journal_sink>(journal_, name);
    it.endpoint = std::make_unique<simulated_endpoint>(
        endpoint_context{random_, timers_, checker_, broken_}, name, it.mean_run);
    schema::agent_settings settings;
    fill(*settings.mutable_common(), name);
    settings.set_slots(it.slots);
    it.core = std::make_unique<agent::agent_core>(
        settings, agent::agent_ports{clock_, *it.random, *it.transport, *it.endpoint, *it.events});
    it.endpoint->on_end([core = it.core.get()](std::uint64_t run_id, const auto& outcome)
                        { core->run_ended(run_id, outcome); });
    attach(name, it.core.get());
}

bool simulated_cluster::is_alive(const std::string& node) const
{
    const auto keeper = keepers_.find(node);
    const auto entry = entries_.find(node);
    const auto agent = agents_.find(node);
    return (keeper != keepers_.end() && keeper->second.core) ||
           (entry != entries_.end() && entry->second.core) ||
           (agent != agents_.end() && agent->second.core);
}

void simulated_cluster::start(const std::string& node)
{
    if (is_alive(node))
    {
        return;
    }
    journal_.note(absl::StrCat("process starts node=", node));
    switch (node.front())
    {
    case 'k':
        start_keeper(node);
        break;
    case 'e':
        start_entry(node);
        break;
    default:
        start_agent(node);
        break;
    }
}

void simulated_cluster::kill(const std::string& node)
{
    if (!is_alive(node))
    {
        return;
    }
    journal_.note(absl::StrCat("process ends node=", node));
    network_.detach(base::node_name(node));
    if (keepers_.contains(node))
    {
        keepers_.at(node).core.reset();
        keepers_.at(node).disk->crash();
    }
    else if (entries_.contains(node))
    {
        entries_.at(node).core.reset();
        checker_.epoch_ended();
    }
    else
    {
        auto& it = agents_.at(node);
        it.core.reset();
        it.endpoint->close();
        closed_endpoints_.push_back(std::move(it.endpoint));
        checker_.drain_over(node);
    }
}

void simulated_cluster::drain(const std::string& node)
{
    if (!is_alive(node) || is_draining(node))
    {
        return;
    }
    journal_.note(absl::StrCat("drain node=", node));
    if (entries_.contains(node))
    {
        entries_.at(node).is_draining = true;
        entries_.at(node).core->begin_drain();
    }
    else if (agents_.contains(node))
    {
        agents_.at(node).is_draining = true;
        checker_.drain_began(node);
        if (broken_ != breakage::ignored_drain)
        {
            agents_.at(node).core->begin_drain();
        }
    }
}

bool simulated_cluster::is_draining(const std::string& node) const
{
    const auto entry = entries_.find(node);
    const auto agent = agents_.find(node);
    return (entry != entries_.end() && entry->second.is_draining) ||
           (agent != agents_.end() && agent->second.is_draining);
}

bool simulated_cluster::is_drained(const std::string& node) const
{
    const auto entry = entries_.find(node);
    if (entry != entries_.end())
    {
        return entry->second.core && entry->second.core->is_drained();
    }
    const auto agent = agents_.find(node);
    return agent != agents_.end() && agent->second.core && agent->second.core->is_drained();
}

void simulated_cluster::set_failing(const std::string& agent, bool is_failing)
{
    if (agents_.contains(agent) && is_alive(agent))
    {
        agents_.at(agent).endpoint->set_failing(is_failing);
    }
}

std::string simulated_cluster::leader() const
{
    for (const auto& [name, it] : keepers_)
    {
        if (it.core && it.core->status().role == "leader" && it.core->is_ready())
        {
            return name;
        }
    }
    return "";
}

std::string simulated_cluster::lagging(std::uint64_t revision) const
{
    for (const auto& [name, it] : entries_)
    {
        if (!it.core || !it.core->is_ready() || it.core->status().config_revision < revision)
        {
            return name;
        }
    }
    for (const auto& [name, it] : agents_)
    {
        if (!it.core || !it.core->is_ready() || it.core->status().config_revision < revision)
        {
            return name;
        }
    }
    return "";
}

entry::entry_core* simulated_cluster::entry(const std::string& name)
{
    return entries_.at(name).core.get();
}

void simulated_cluster::sync_disks()
{
    for (auto& [name, it] : keepers_)
    {
        const auto ticket = it.disk->finish_due();
        const auto unsynced = it.liar ? it.liar->take_last() : 0;
        if (it.core && broken_ == breakage::early_ack && unsynced > 0)
        {
            it.core->persisted(unsynced);
        }
        else if (it.core && ticket && broken_ != breakage::early_ack)
        {
            journal_.count(name, *ticket);
            it.core->persisted(*ticket);
        }
        if (it.core && it.disk->has_failed() && !std::exchange(it.is_failure_reported, true))
        {
            it.core->storage_failed("sync failed");
        }
    }
}

void simulated_cluster::tick_all()
{
    const auto tick = [](auto& processes)
    {
        for (auto& [name, it] : processes)
        {
            if (it.core)
            {
                it.core->tick();
            }
        }
    };
    tick(keepers_);
    tick(entries_);
    tick(agents_);
}

void simulated_cluster::check_all()
{
    ledger_checker_.begin_round();
    for (auto& [name, it] : keepers_)
    {
        if (it.core)
        {
            note_fences(name);
            ledger_checker_.keeper(name, *it.core);
            ledger_checker_.revision(name, it.life, it.core->status().config_revision);
        }
    }
    ledger_checker_.end_round();
    for (auto& [name, it] : entries_)
    {
        if (it.core)
        {
            const auto status = it.core->status();
            ledger_checker_.revision(name, it.life, status.config_revision);
            if (status.epoch != std::exchange(it.epoch, status.epoch))
            {
                checker_.epoch_ended();
            }
        }
    }
    for (auto& [name, it] : agents_)
    {
        if (it.core)
        {
            ledger_checker_.revision(name, it.life, it.core->status().config_revision);
        }
    }
}

void simulated_cluster::step()
{
    auto next = std::min({next_tick_, network_.next_delivery(), timers_.next()});
    for (const auto& [name, it] : keepers_)
    {
        next = std::min(next, it.disk->next_sync());
    }
    clock_.set(std::max(next, clock_.now()));
    network_.deliver_due();
    timers_.run_due();
    sync_disks();
    if (clock_.now() >= next_tick_)
    {
        next_tick_ = clock_.now() + tick_interval;
        tick_all();
        check_all();
    }
}

} // namespace savoryreach::simulation
