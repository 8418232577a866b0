// What agents report, and what follows when runs end or endpoints go.

#include "savoryreach/dispatch/dispatcher.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>
#include <limits>

namespace savoryreach::dispatch
{
namespace
{

/// A run that takes this many times its expected time, and a fixed time more, is taken for hung: it
/// is stopped and started elsewhere. Slow endpoints take up to 6.5 times as long; the fixed part
/// spares short tasks on them.
constexpr double hung_factor = 5.0;
constexpr absl::Duration hung_margin = absl::Milliseconds(400);
/// A run whose progress has stood still for this long hangs: one percent of the longest task takes
/// 0.5 s on an endpoint that is eight times too slow.
constexpr absl::Duration hung_without_progress = absl::Milliseconds(600);
/// When the runs of most jobs on an endpoint take this many times their expected time, the endpoint
/// has become slow. One job shows nothing: declared times are up to 3 times off, for all tasks of a
/// job alike.
constexpr double slow_factor = 2.0;
constexpr absl::Duration slow_margin = absl::Milliseconds(40);
constexpr std::size_t least_jobs_for_slowness = 2;
/// At most one in this many endpoints is set aside for failures: with more the fault is not theirs.
constexpr std::size_t set_aside_divisor = 3;
/// An order to stop that is not answered is repeated after this time.
constexpr absl::Duration stop_again_after = absl::Milliseconds(500);
/// Attempt numbers that are left out after a rejected start: more than the starts of a task.
constexpr std::uint32_t skipped_attempts = 16;

/// Above this share of endpoints with overdue runs the jobs are at fault, or all endpoints are
/// slow: to stop runs then would only throw work away.
constexpr std::size_t hung_divisor = 3;

bool is_overdue(const run& it, const speed_model& speeds, absl::Time now)
{
    if (!it.is_confirmed() || it.stopping || it.queue.empty())
    {
        return false;
    }
    if (it.has_progress())
    {
        return it.reported_at - it.progressed_at >= hung_without_progress;
    }
    return now - it.confirmed_at >
           speeds.expected(it.queue, it.declared) * hung_factor + hung_margin;
}

/// True when few enough endpoints have overdue runs for these to be taken for hung.
bool are_overdue_runs_hung(const endpoint_table& table, const speed_model& speeds, absl::Time now)
{
    const auto hosts = std::ranges::count_if(
        table.all(),
        [&](const auto& it)
        {
            return std::ranges::any_of(it.second->runs, [&](const auto& entry)
                                       { return is_overdue(entry.second, speeds, now); });
        });
    return static_cast<std::size_t>(hosts) * hung_divisor <= table.all().size();
}

/// The run of the middle one of the jobs on the endpoint by how late their quickest runs are, if
/// there are enough jobs and that one is late.
const run* late_middle_run(const endpoint& it, const speed_model& speeds)
{
    absl::flat_hash_map<std::uint64_t, std::pair<double, const run*>> jobs;
    for (const auto& [id, what] : it.runs)
    {
        // Without progress the run may be over: its end may be delayed on the way.
        if (what.has_progress() && !what.stopping && !what.queue.empty())
        {
            const auto expected = speeds.expected(it.host, what.queue, what.declared);
            const std::pair<double, const run*> shown(
                absl::FDivDuration(what.shown - slow_margin, expected), &what);
            const auto [found, fresh] = jobs.try_emplace(id.job, shown);
            found->second = std::min(found->second, shown);
        }
    }
    if (jobs.size() < least_jobs_for_slowness)
    {
        return nullptr;
    }
    std::vector<std::pair<double, const run*>> order;
    for (const auto& [id, shown] : jobs)
    {
        order.push_back(shown);
    }
    const auto middle = order.begin() + static_cast<std::ptrdiff_t>((order.size() - 1) / 2);
    std::ranges::nth_element(order, middle, {}, &std::pair<double, const run*>::first);
    return middle->first > slow_factor ? middle->second : nullptr;
}

/// Learns from runs under way which endpoints have become slow. Where more than a third seem so,
/// the jobs take longer than declared, and the endpoints are as fast as before.
void learn_slow_endpoints(const endpoint_table& table, speed_model& speeds,
                          absl::Duration since_last_look)
{
    std::vector<std::pair<std::string, const run*>> slow;
    for (const auto& [host, it] : table.all())
    {
        if (it->runs.empty())
        {
            speeds.relax(host, since_last_look);
        }
        else if (const auto* what = late_middle_run(*it, speeds))
        {
            slow.emplace_back(host, what);
        }
    }
    if (slow.size() * hung_divisor > table.all().size())
    {
        return;
    }
    for (const auto& [host, what] : slow)
    {
        speeds.learn_slowness(host, what->queue, what->declared, what->shown);
    }
}

} // namespace

schema::endpoint_orders& dispatcher::orders_for(endpoint& it)
{
    auto& out = orders_[it.host];
    out.set_term(term_);
    out.set_endpoint(it.id);
    out.set_born_ms(it.born_ms);
    out.set_session(it.session);
    return out;
}

void dispatcher::add_run(endpoint& it, const task_id& id, const run& what)
{
    it.add(id, what);
    index_.update(it);
    ++under_way_[id];
}

void dispatcher::remove_run(endpoint& it, const task_id& id)
{
    it.remove(id);
    index_.update(it);
    const auto found = under_way_.find(id);
    assert(found != under_way_.end());
    if (--found->second == 0)
    {
        under_way_.erase(found);
    }
    place_due_ = true;
}

task* dispatcher::task_on(const endpoint& it, const task_id& id, std::uint32_t attempt)
{
    auto* owner = board_.find(id.job);
    if (owner == nullptr || id.step >= owner->steps.size() ||
        id.index >= owner->steps[id.step].tasks.size())
    {
        return nullptr;
    }
    auto& what = owner->steps[id.step].tasks[id.index];
    const bool here =
        what.now == task::state::out && what.host == it.host && what.attempt == attempt;
    return here ? &what : nullptr;
}

void dispatcher::register_host(endpoint& it)
{
    schema::command command;
    command.mutable_host_change()->add_joined(it.host);
    it.joining = port_.propose(std::move(command)).has_value();
}

void dispatcher::ask_for_list(endpoint& it)
{
    it.look_asked = ++last_look_;
    it.look_at = absl::InfiniteFuture();
    orders_for(it).set_look(it.look_asked);
}

void dispatcher::on_report(const std::string& peer, const schema::endpoint_report& report)
{
    if (!leading_ || report.host().empty())
    {
        return;
    }
    auto& it = endpoints_.get(report.host());
    // An agent that has lost sight of the dispatcher begins anew: orders and reports between them
    // may be lost.
    if (it.peer != peer || report.session() == 0)
    {
        it.peer = peer;
        it.agent_process = report.agent_process();
        it.session = ++last_session_;
        it.listed = false;
        it.gone_at = absl::InfiniteFuture();
        orders_.erase(it.host);
        it.registered = store_.hosts().contains(it.host);
        if (!it.registered && !it.joining)
        {
            register_host(it);
        }
        ask_for_list(it);
        events_.record("agent_linked", {{"peer", it.host}, {"endpoint", report.endpoint()}});
    }
    take_state(it, report);
    if (report.session() != it.session)
    {
        return;
    }
    for (const auto& confirmed : report.confirmed())
    {
        const auto found = it.runs.find(task_id_of(confirmed.task()));
        if (found != it.runs.end() && found->second.attempt == confirmed.attempt() &&
            !found->second.is_confirmed())
        {
            found->second.confirmed_at = clock_.now();
        }
    }
    for (const auto& end : report.ends())
    {
        on_end(it, end);
    }
    for (const auto& row : report.progress())
    {
        const auto found = it.runs.find(task_id_of(row.task()));
        if (found != it.runs.end() && found->second.attempt == row.attempt())
        {
            found->second.note_progress(row.percent(), absl::Milliseconds(row.ran_ms()),
                                        clock_.now());
        }
    }
    if (report.last_end() > 0)
    {
        auto& orders = orders_for(it);
        orders.set_acknowledged_end(std::max(orders.acknowledged_end(), report.last_end()));
    }
    if (report.look() != 0 && report.look() == it.look_asked)
    {
        on_list(it, report);
    }
}

void dispatcher::take_state(endpoint& it, const schema::endpoint_report& report)
{
    if (!report.known())
    {
        return;
    }
    const bool other_incarnation = it.id != report.endpoint() || it.born_ms != report.born_ms();
    if (other_incarnation)
    {
        events_.record("endpoint_found", {{"peer", it.host},
                                          {"endpoint", report.endpoint()},
                                          {"service", report.service()},
                                          {"cpu_milli", absl::StrCat(report.cpu_milli())}});
        it.id = report.endpoint();
        it.born_ms = report.born_ms();
        it.health = {};
        it.left = false;
        it.listed = false;
        speeds_.forget(it.host);
        // What ran in the earlier incarnation is settled by a list of the new one.
        it.session = ++last_session_;
        orders_.erase(it.host);
        ask_for_list(it);
    }
    constexpr double milli = 1000.0;
    speeds_.adopt(it.host, report.speed_milli() / milli);
    const room capacity{report.cpu_milli(), report.memory_mb(), report.gpu()};
    if (it.service != report.service() || it.capacity != capacity)
    {
        forget_index();
    }
    it.service = report.service();
    it.data_centre = report.data_centre();
    it.labels.assign(report.labels().begin(), report.labels().end());
    it.capacity = capacity;
    if (report.draining() != it.draining || report.silent() != it.silent ||
        report.left() != it.left)
    {
        events_.record("endpoint_state", {{"peer", it.host},
                                          {"draining", report.draining() ? "1" : "0"},
                                          {"silent", report.silent() ? "1" : "0"},
                                          {"left", report.left() ? "1" : "0"}});
        place_due_ = true;
    }
    it.draining = report.draining();
    it.silent = report.silent();
    it.left = report.left();
    if (it.left)
    {
        lose_runs(it, "the endpoint has left");
    }
}

void dispatcher::on_list(endpoint& it, const schema::endpoint_report& report)
{
    const auto now = clock_.now();
    absl::flat_hash_set<task_id> listed;
    for (const auto& row : report.running())
    {
        const auto id = task_id_of(row.task());
        listed.insert(id);
        const auto found = it.runs.find(id);
        if (found == it.runs.end())
        {
            take_unknown_run(it, row);
            continue;
        }
        if (row.confirmed() && !found->second.is_confirmed())
        {
            found->second.confirmed_at = now;
        }
        found->second.session = it.session;
    }
    settle_unlisted(it, listed);
    it.listed = true;
    forget_index();
    it.from_before = false;
    place_due_ = true;
}

/// A run that an earlier dispatcher ordered: adopted if its job is known and its task waits.
void dispatcher::take_unknown_run(endpoint& it, const schema::run_progress& row)
{
    const auto id = task_id_of(row.task());
    run unknown;
    unknown.attempt = row.attempt();
    // Without its size the run is taken to fill the endpoint.
    unknown.takes =
        row.cpu_milli() == 0 ? it.capacity : room{row.cpu_milli(), row.memory_mb(), row.gpu()};
    unknown.sent_at = clock_.now();
    unknown.confirmed_at = row.confirmed() ? unknown.sent_at : absl::InfiniteFuture();
    unknown.session = it.session;
    unknown.process = it.agent_process;
    auto* owner = board_.find(id.job);
    const bool known = owner != nullptr && id.step < owner->steps.size() &&
                       id.index < owner->steps[id.step].tasks.size();
    if (known)
    {
        auto& of = owner->steps[id.step];
        auto& what = of.tasks[id.index];
        if (what.now == task::state::waiting && of.released)
        {
            owner->adopted = true;
            what.now = task::state::out;
            what.host = it.host;
            what.attempt = row.attempt();
            board_.add_waiting(*owner, of, -1);
            unknown.queue = owner->queue.name();
            unknown.declared = of.declared;
        }
    }
    add_run(it, id, unknown);
}

/// Ends runs that the endpoint's list does not have, if no order for them can be under way.
void dispatcher::settle_unlisted(endpoint& it, const absl::flat_hash_set<task_id>& listed)
{
    const auto now = clock_.now();
    std::vector<task_id> over;
    for (const auto& [id, what] : it.runs)
    {
        if (listed.contains(id) || what.session == it.session)
        {
            continue;
        }
        // Another agent process knows nothing of a start that is still on its way.
        const bool settled = what.process == it.agent_process || what.is_confirmed() ||
                             now >= what.sent_at + start_takes_effect;
        if (settled)
        {
            over.push_back(id);
        }
        else
        {
            it.look_at = std::min(it.look_at, what.sent_at + start_takes_effect);
        }
    }
    for (const auto& id : over)
    {
        const auto attempt = it.runs.at(id).attempt;
        const auto* what = task_on(it, id, attempt);
        remove_run(it, id);
        if (what != nullptr)
        {
            requeue(id, attempt, "not in the endpoint's list");
        }
    }
}

void dispatcher::on_end(endpoint& it, const schema::run_end& end)
{
    const auto id = task_id_of(end.task());
    const auto found = it.runs.find(id);
    const bool known = found != it.runs.end() && found->second.attempt == end.attempt();
    auto* what = task_on(it, id, end.attempt());
    const run ended = known ? found->second : run{};
    if (known)
    {
        remove_run(it, id);
    }
    if (what == nullptr)
    {
        const bool result =
            end.outcome() == schema::run_done || end.outcome() == schema::run_failed;
        if (result && board_.find(id.job) == nullptr && !ended_.contains(id.job) &&
            clock_.now() < orphans_until_)
        {
            orphan_ends_[id] = end.outcome();
        }
        return;
    }
    switch (end.outcome())
    {
    case schema::run_done:
        on_run_done(it, id, ended, end);
        return;
    case schema::run_failed:
        on_run_failed(it, id);
        return;
    case schema::run_unhealthy:
        it.health.on_refusal(clock_.now());
        requeue(id, end.attempt(), "refused by an unhealthy endpoint");
        return;
    case schema::run_rejected:
        // A higher run may have been known there; its number is left behind.
        what->attempt += skipped_attempts;
        requeue(id, what->attempt, "start rejected");
        return;
    default:
        requeue(id, end.attempt(), schema::run_outcome_Name(end.outcome()));
    }
}

void dispatcher::on_run_done(endpoint& it, const task_id& id, const run& ended,
                             const schema::run_end& end)
{
    auto* owner = board_.find(id.job);
    auto& of = owner->steps[id.step];
    of.tasks[id.index].now = task::state::done;
    --of.open;
    owner->had_success = true;
    it.health.on_success();
    if (!ended.queue.empty() && end.ran_ms() > 0)
    {
        speeds_.learn(it.host, ended.queue, id.job, ended.declared,
                      absl::Milliseconds(end.ran_ms()));
    }
    if (of.open == 0)
    {
        release_ready_steps(*owner);
    }
    finish_if_done(*owner);
}

void dispatcher::on_run_failed(endpoint& it, const task_id& id)
{
    auto* owner = board_.find(id.job);
    auto& what = owner->steps[id.step].tasks[id.index];
    ++what.failures;
    ++counts_.retried_runs;
    // A job that fails on one endpoint after another is at fault itself.
    const bool first_here =
        std::ranges::find(owner->failed_hosts, it.host) == owner->failed_hosts.end();
    if (first_here && (owner->failed_hosts.empty() || owner->had_success))
    {
        note_failure(it);
    }
    if (first_here)
    {
        owner->failed_hosts.push_back(it.host);
    }
    events_.record("run_failed", {{"submission", format_job_id(id.job)},
                                  {"task", absl::StrCat(id.step, ".", id.index)},
                                  {"attempt", absl::StrCat(what.attempt)},
                                  {"failures", absl::StrCat(what.failures)},
                                  {"peer", it.host}});
    if (what.failures >= std::max(owner->queue.max_attempts(), 1U))
    {
        ++counts_.failed;
        what.now = task::state::waiting; // nothing of it runs
        end_job(id.job, schema::answer_failed, "a task has failed as often as allowed");
        return;
    }
    what.avoided.push_back(it.host);
    requeue(id, what.attempt, "failed");
}

void dispatcher::requeue(const task_id& id, std::uint32_t attempt, const std::string& why)
{
    auto* owner = board_.find(id.job);
    auto& of = owner->steps[id.step];
    auto& what = of.tasks[id.index];
    assert(what.now == task::state::out);
    what.now = task::state::waiting;
    what.attempt = std::max(what.attempt, attempt);
    board_.add_waiting(*owner, of, 1);
    place_due_ = true;
    if (why != "failed")
    {
        events_.record("run_over", {{"submission", format_job_id(id.job)},
                                    {"task", absl::StrCat(id.step, ".", id.index)},
                                    {"attempt", absl::StrCat(attempt)},
                                    {"peer", what.host},
                                    {"reason", why}});
    }
}

void dispatcher::lose_runs(endpoint& it, const std::string& why)
{
    std::vector<std::pair<task_id, std::uint32_t>> lost;
    for (const auto& [id, what] : it.runs)
    {
        lost.emplace_back(id, what.attempt);
    }
    for (const auto& [id, attempt] : lost)
    {
        const auto* what = task_on(it, id, attempt);
        remove_run(it, id);
        if (what != nullptr)
        {
            requeue(id, attempt, why);
        }
    }
}

void dispatcher::stop_run(endpoint& it, const task_id& id, std::uint32_t attempt)
{
    const auto found = it.runs.find(id);
    if (found == it.runs.end() || found->second.attempt != attempt)
    {
        return;
    }
    found->second.stopping = true;
    found->second.stop_again_at = clock_.now() + stop_again_after;
    auto& order = *orders_for(it).add_stops();
    fill(*order.mutable_task(), id);
    order.set_attempt(attempt);
}

void dispatcher::on_agent_down(const std::string& peer)
{
    auto* it = endpoints_.find_peer(peer);
    if (!leading_ || it == nullptr)
    {
        return;
    }
    events_.record("agent_lost", {{"peer", it->host}, {"runs", absl::StrCat(it->runs.size())}});
    it->peer.clear();
    it->listed = false;
    it->gone_at = clock_.now() + host_gone_after;
    orders_.erase(it->host);
}

void dispatcher::watch_runs()
{
    const auto now = clock_.now();
    const bool stops_hung = are_overdue_runs_hung(endpoints_, speeds_, now);
    learn_slow_endpoints(endpoints_, speeds_, watch_interval);
    for (auto& [host, it] : endpoints_.all())
    {
        std::vector<std::pair<task_id, std::uint32_t>> stops;
        std::size_t hung_here = 0;
        for (auto& [id, what] : it->runs)
        {
            if (what.stopping)
            {
                if (now >= what.stop_again_at && !it->peer.empty())
                {
                    stops.emplace_back(id, what.attempt);
                }
                continue;
            }
            if (!what.is_confirmed())
            {
                continue;
            }
            if (what.queue.empty())
            {
                if (now >= orphans_until_)
                {
                    stops.emplace_back(id, what.attempt);
                }
                continue;
            }
            auto* hung = task_on(*it, id, what.attempt);
            // A task that hangs again elsewhere is slow by itself.
            if (stops_hung && hung != nullptr && hung->avoided.empty() &&
                is_overdue(what, speeds_, now))
            {
                stops.emplace_back(id, what.attempt);
                hung->avoided.push_back(host);
                ++hung_here;
                events_.record("run_hung", {{"submission", format_job_id(id.job)},
                                            {"task", absl::StrCat(id.step, ".", id.index)},
                                            {"peer", host}});
            }
        }
        if (hung_here > 1)
        {
            note_failure(*it);
        }
        for (const auto& [id, attempt] : stops)
        {
            stop_run(*it, id, attempt);
        }
    }
}

void dispatcher::note_failure(endpoint& it)
{
    const auto now = clock_.now();
    const auto aside = static_cast<std::size_t>(
        std::ranges::count_if(endpoints_.all(), [now](const auto& other)
                              { return other.second->health.allowed_runs(now) <= 1; }));
    if (it.health.allowed_runs(now) <= 1 || aside < endpoints_.all().size() / set_aside_divisor)
    {
        it.health.on_failure(now);
    }
}

/// One line a second on what binds.
void dispatcher::record_load()
{
    const auto now = clock_.now();
    if (now < load_at_)
    {
        return;
    }
    load_at_ = now + absl::Seconds(1);
    room used;
    room capacity;
    std::size_t usable = 0;
    std::size_t unconfirmed = 0;
    std::size_t stopping = 0;
    std::string slowest;
    double least = std::numeric_limits<double>::infinity();
    for (const auto& [host, it] : endpoints_.all())
    {
        usable += it->is_usable() && it->health.allowed_runs(now) > 1 ? 1 : 0;
        used.cpu_milli += it->used.cpu_milli;
        capacity.cpu_milli += it->capacity.cpu_milli;
        for (const auto& [id, what] : it->runs)
        {
            unconfirmed += what.is_confirmed() ? 0 : 1;
            stopping += what.stopping ? 1 : 0;
        }
        if (speeds_.speed(host) < least)
        {
            least = speeds_.speed(host);
            slowest = host;
        }
    }
    events_.record("dispatcher_load", {{"jobs", absl::StrCat(board_.size())},
                                       {"waiting_core_s", absl::StrCat(board_.work_waiting())},
                                       {"rate", absl::StrCat(rate())},
                                       {"usable", absl::StrCat(usable)},
                                       {"endpoints", absl::StrCat(endpoints_.all().size())},
                                       {"used_milli", absl::StrCat(used.cpu_milli)},
                                       {"capacity_milli", absl::StrCat(capacity.cpu_milli)},
                                       {"unconfirmed", absl::StrCat(unconfirmed)},
                                       {"stopping", absl::StrCat(stopping)},
                                       {"slowest", slowest},
                                       {"slowest_speed", absl::StrCat(least)}});
}

void dispatcher::expire()
{
    const auto now = clock_.now();
    record_load();
    std::vector<std::string> gone;
    for (auto& [host, it] : endpoints_.all())
    {
        if (now >= it->look_at && !it->peer.empty())
        {
            ask_for_list(*it);
        }
        if (now >= it->gone_at)
        {
            gone.push_back(host);
        }
    }
    for (const auto& host : gone)
    {
        auto& it = *endpoints_.find(host);
        events_.record("host_gone", {{"peer", host}, {"runs", absl::StrCat(it.runs.size())}});
        lose_runs(it, "its leases have ended");
        forget_index();
        endpoints_.erase(host);
        speeds_.forget(host);
        schema::command command;
        command.mutable_host_change()->add_left(host);
        port_.propose(std::move(command));
        place_due_ = true;
    }
    while (!ended_order_.empty())
    {
        const auto it = ended_.find(ended_order_.front());
        if (it != ended_.end() && it->second.forget_at > now)
        {
            break;
        }
        if (it != ended_.end())
        {
            ended_.erase(it);
        }
        ended_order_.pop_front();
    }
    while (!refused_order_.empty() && now >= refused_order_.front().forget_at)
    {
        refused_.erase(refused_order_.front().who);
        refused_order_.pop_front();
    }
    if (now >= orphans_until_)
    {
        orphan_ends_.clear();
    }
}

} // namespace savoryreach::dispatch
