#include "tools/load/virtual_cluster.hpp"

#include "tools/load/workload.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>
#include <utility>

namespace savoryreach::load
{
namespace
{

constexpr absl::Duration tick_interval = absl::Milliseconds(5);
constexpr absl::Duration answer_margin = absl::Minutes(10);
constexpr std::uint32_t snapshot_every = 50'000;

/// The sorts of items in a frame, in the order of the schema.
std::string content_of(const schema::session_frame& frame)
{
    std::set<int> sorts;
    for (const auto& item : frame.items())
    {
        sorts.insert(static_cast<int>(item.body_case()));
    }
    std::string text;
    for (const int sort : sorts)
    {
        const auto* field = schema::session_item::descriptor()->FindFieldByNumber(sort);
        absl::StrAppend(&text, text.empty() ? "" : "+", std::string(field->name()));
    }
    return text.empty() ? "acknowledgement only" : text;
}

} // namespace

class virtual_cluster::node_transport final : public net::transport
{
public:
    node_transport(virtual_cluster& cluster, const node& self) : cluster_(cluster), self_(self) {}

    void send(const base::node_name& to, schema::envelope message) override
    {
        cluster_.send(self_, to, std::move(message));
    }
    void learn_address(const base::node_name&, const std::string&) override {}

private:
    virtual_cluster& cluster_;
    const node& self_;
};

class virtual_cluster::caller_answers final : public entry::caller_port
{
public:
    explicit caller_answers(virtual_cluster& cluster) : cluster_(cluster) {}

    void answer(std::uint64_t request_id, const schema::job_answer& answer) override
    {
        cluster_.on_answer_(request_id, answer);
    }

private:
    virtual_cluster& cluster_;
};

/// One process; exactly one of the cores is set.
struct virtual_cluster::node
{
    base::node_name name;
    std::size_t data_centre = 0;
    bool is_dirty = false; ///< had events since its last tick
    std::unique_ptr<node_transport> transport;
    std::unique_ptr<base::seeded_random> random;
    std::unique_ptr<simulation::fake_disk> disk;      ///< keepers
    std::unique_ptr<caller_answers> callers;          ///< entries
    std::unique_ptr<simulated_endpoint> endpoint;     ///< agents
    std::unique_ptr<keeper::keeper_core> keeper_core; ///< keepers
    std::unique_ptr<entry::entry_core> entry_core;    ///< entries
    std::unique_ptr<agent::agent_core> agent_core;    ///< agents

    void receive(const base::node_name& from, const schema::envelope& message) const
    {
        keeper_core  ? keeper_core->receive(from, message)
        : entry_core ? entry_core->receive(from, message)
                     : agent_core->receive(from, message);
    }
    void tick() const
    {
        keeper_core ? keeper_core->tick() : entry_core ? entry_core->tick() : agent_core->tick();
    }
};

virtual_cluster::virtual_cluster(const cluster_options& options, const fleet& endpoints,
                                 answer_handler on_answer)
    : options_(options), random_(options.seed), trace_(clock_), on_answer_(std::move(on_answer)),
      tick_at_(clock_.now())
{
    schema::common_settings common;
    common.set_cluster("load");
    for (std::size_t i = 0; i < options_.keepers; ++i)
    {
        auto* keeper = common.add_keepers();
        keeper->set_name(absl::StrCat("keeper-", i));
        keeper->set_address(absl::StrCat("127.0.0.1:", i + 1));
    }
    add_keepers(common);
    add_entries(common);
    add_agents(common, endpoints);
}

virtual_cluster::~virtual_cluster() = default;

virtual_cluster::node& virtual_cluster::add_node(const std::string& name, std::size_t data_centre)
{
    auto& it = *nodes_.emplace_back(std::make_unique<node>());
    it.name = base::node_name(name);
    it.data_centre = data_centre % options_.data_centres;
    it.transport = std::make_unique<node_transport>(*this, it);
    it.random = std::make_unique<base::seeded_random>(random_.next());
    by_name_[it.name] = &it;
    return it;
}

void virtual_cluster::add_keepers(schema::common_settings common)
{
    for (std::size_t i = 0; i < options_.keepers; ++i)
    {
        auto& it = add_node(absl::StrCat("keeper-", i), i);
        schema::keeper_settings settings;
        common.set_name(it.name.value());
        *settings.mutable_common() = common;
        settings.set_snapshot_every(snapshot_every);
        it.disk = std::make_unique<simulation::fake_disk>(clock_);
        it.disk->set_sync_delay(options_.sync_time);
        it.keeper_core = std::make_unique<keeper::keeper_core>(
            settings, it.disk->durable(),
            keeper::keeper_ports{clock_, *it.random, *it.transport, *it.disk, trace_});
    }
}

void virtual_cluster::add_entries(const schema::common_settings& common)
{
    for (std::size_t i = 0; i < options_.entries; ++i)
    {
        auto& it = add_node(absl::StrCat("entry-", i), i);
        schema::entry_settings settings;
        *settings.mutable_common() = common;
        settings.mutable_common()->set_name(it.name.value());
        settings.mutable_common()->set_data_centre(absl::StrCat("dc-", it.data_centre));
        it.callers = std::make_unique<caller_answers>(*this);
        it.entry_core = std::make_unique<entry::entry_core>(
            settings, entry::entry_ports{clock_, *it.random, *it.transport, *it.callers, trace_});
        entries_.push_back(&it);
    }
}

void virtual_cluster::add_agents(const schema::common_settings& common, const fleet& endpoints)
{
    std::size_t number = 0;
    for (const auto& spec : endpoints.endpoints())
    {
        auto& it = add_node(absl::StrCat("agent-", number++), spec.data_centre);
        schema::agent_settings settings;
        *settings.mutable_common() = common;
        settings.mutable_common()->set_name(it.name.value());
        settings.mutable_common()->set_data_centre(absl::StrCat("dc-", it.data_centre));
        settings.set_slots(spec.slots);
        it.endpoint = std::make_unique<simulated_endpoint>(
            clock_, events_, spec, [this](const agent::run_request& request) { started(request); },
            [this, &it](std::uint64_t run_id, const agent::run_outcome& outcome)
            {
                it.agent_core->run_ended(run_id, outcome);
                if (!std::exchange(it.is_dirty, true))
                {
                    dirty_.push_back(&it);
                }
            });
        it.agent_core = std::make_unique<agent::agent_core>(
            settings, agent::agent_ports{clock_, *it.random, *it.transport, *it.endpoint, trace_});
    }
}

void virtual_cluster::started(const agent::run_request& request)
{
    ++starts_;
    work_started_ += work_of(request.payload);
    const auto& id = request.attempt.submission_id;
    const auto n = ++started_[absl::StrCat(id, "/", request.attempt.task)];
    if (n > 1 && once_.contains(id))
    {
        ++double_starts_;
    }
}

void virtual_cluster::count(const node& from, const base::node_name& to,
                            const schema::envelope& message)
{
    const auto& target = *by_name_.at(to);
    if (message.has_session())
    {
        ++messages_.session;
        ++session_frames_[content_of(message.session())];
    }
    else if (message.has_agent_hello() || message.has_agent_hello_reply())
    {
        ++messages_.hello;
    }
    else if (from.keeper_core && target.keeper_core)
    {
        ++messages_.keeper_internal;
    }
    else if (from.keeper_core || target.keeper_core)
    {
        ++messages_.keeper_clients;
    }
    else
    {
        ++messages_.forward;
    }
}

void virtual_cluster::send(const node& from, const base::node_name& to, schema::envelope message)
{
    const auto found = by_name_.find(to);
    if (found == by_name_.end())
    {
        return;
    }
    count(from, to, message);
    auto& target = *found->second;
    const auto delay =
        from.data_centre == target.data_centre ? options_.delay_inside : options_.delay_between;
    events_.at(clock_.now() + delay,
               [this, &target, sender = from.name,
                content = std::make_shared<schema::envelope>(std::move(message))]
               {
                   target.receive(sender, *content);
                   if (!std::exchange(target.is_dirty, true))
                   {
                       dirty_.push_back(&target);
                   }
               });
}

void virtual_cluster::finish_syncs()
{
    for (std::size_t i = 0; i < options_.keepers; ++i)
    {
        auto& it = *nodes_[i];
        if (const auto ticket = it.disk->finish_due())
        {
            it.keeper_core->persisted(*ticket);
            it.keeper_core->tick();
        }
    }
}

void virtual_cluster::step(absl::Time limit)
{
    auto next = std::min({tick_at_, events_.next(), limit});
    for (std::size_t i = 0; i < options_.keepers; ++i)
    {
        next = std::min(next, nodes_[i]->disk->next_sync());
    }
    clock_.set(std::max(next, clock_.now()));
    events_.run_until(clock_.now());
    for (auto* it : std::exchange(dirty_, {}))
    {
        it->is_dirty = false;
        it->tick();
    }
    finish_syncs();
    if (clock_.now() >= tick_at_)
    {
        tick_at_ = clock_.now() + tick_interval;
        for (const auto& it : nodes_)
        {
            it->tick();
        }
    }
}

void virtual_cluster::run_until(absl::Time until)
{
    while (clock_.now() < until)
    {
        step(until);
    }
}

bool virtual_cluster::run_until_ready()
{
    const auto give_up = clock_.now() + absl::Seconds(30);
    const auto agents = nodes_.size() - options_.keepers - options_.entries;
    const auto is_ready = [&]
    {
        return std::ranges::all_of(
            entries_, [agents](const node* it)
            { return it->entry_core->is_ready() && it->entry_core->status().agents == agents; });
    };
    while (!is_ready() && clock_.now() < give_up)
    {
        run_until(clock_.now() + absl::Milliseconds(100));
    }
    // New homes hold unknown submissions for a second; see docs/design.md, 3.4.
    run_until(clock_.now() + absl::Seconds(2));
    return is_ready();
}

void virtual_cluster::submit(std::size_t entry, std::uint64_t request_id,
                             const schema::submission& submission)
{
    auto& it = *entries_[entry];
    trace_.submitted(submission.submission_id());
    if (!submission.idempotent())
    {
        once_.insert(submission.submission_id());
    }
    it.entry_core->submit(request_id, submission, true, clock_.now() + answer_margin);
    it.entry_core->tick();
}

void virtual_cluster::cancel(std::size_t entry, std::uint64_t request_id,
                             const std::string& submission_id)
{
    auto& it = *entries_[entry];
    it.entry_core->cancel(request_id, submission_id);
    it.entry_core->tick();
}

void virtual_cluster::reset_counts()
{
    messages_ = {};
    session_frames_.clear();
    starts_ = 0;
    work_started_ = 0;
    started_.clear();
}

void virtual_cluster::collect(run_result& result) const
{
    result.messages = messages_;
    result.session_frames = session_frames_;
    result.starts = starts_;
    result.work_started = work_started_;
    result.started_tasks = started_.size();
    result.double_starts = double_starts_;
    result.stages = trace_.stages();
}

} // namespace savoryreach::load
