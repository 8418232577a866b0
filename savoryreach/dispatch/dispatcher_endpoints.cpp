// Reports of agents: state of endpoints, ends of runs, and endpoints that fail or are lost.

#include "savoryreach/dispatch/dispatcher.hpp"

#include <absl/container/btree_map.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>
#include <limits>

namespace savoryreach::dispatch
{
namespace
{

/// A run that takes longer than this many times its expected time plus a fixed margin counts as
/// hung: it is stopped and started elsewhere. Slow endpoints take up to 6.5 times as long; the
/// fixed margin keeps short tasks on them from being stopped.
constexpr double hung_factor = 5.0;
constexpr absl::Duration hung_margin = absl::Milliseconds(400);
/// A run without progress for this time counts as hung: one percent of the longest task takes 0.5 s
/// on an endpoint that is eight times too slow.
constexpr absl::Duration hung_without_progress = absl::Milliseconds(600);
/// An endpoint counts as slow when the runs of most jobs on it take this many times their expected
/// time. A single job is no evidence: its declared time may be wrong by a factor of 3, in the same
/// way for all of its tasks.
constexpr double slow_factor = 2.0;
constexpr absl::Duration slow_margin = absl::Milliseconds(40);
constexpr std::size_t min_jobs_for_slowness = 2;
/// At most one in this many endpoints is set aside for failures: when more of them fail, the cause
/// is not the endpoints.
constexpr std::size_t set_aside_divisor = 3;
/// A stop order is repeated after this time if the run has not ended.
constexpr absl::Duration stop_resend_interval = absl::Milliseconds(500);
/// Attempt numbers that are skipped after a rejected start: more than a task has starts.
constexpr std::uint32_t skipped_attempts = 16;

/// When more than one in this many endpoints has overdue runs, the jobs are the cause or all
/// endpoints are slow: stopping runs would only discard work.
constexpr std::size_t hung_divisor = 3;

bool is_overdue(const task_run& it, const speed_model& speeds, absl::Time now)
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

/// True when few enough endpoints have overdue runs for these runs to count as hung.
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

/// Orders the jobs on the endpoint by the lateness of their least late run, and returns that run of
/// the median job. Null when there are too few jobs or the median job is not late.
const task_run* late_median_run(const endpoint& it, const speed_model& speeds)
{
    absl::btree_map<std::uint64_t, std::pair<double, const task_run*>> jobs;
    for (const auto& [id, run] : it.runs)
    {
        // A run without progress may be over, with its end still in transit.
        // One that began on a cold endpoint says nothing of the warm one.
        if (run.has_progress() && !run.stopping && !run.queue.empty() &&
            !run.began_before(it.cold_until))
        {
            const auto expected = speeds.expected(it.host, run.queue, run.declared);
            const std::pair<double, const task_run*> lateness(
                absl::FDivDuration(run.projected_time - slow_margin, expected), &run);
            const auto [found, inserted] = jobs.try_emplace(id.job, lateness);
            if (lateness.first < found->second.first)
            {
                found->second = lateness;
            }
        }
    }
    if (jobs.size() < min_jobs_for_slowness)
    {
        return nullptr;
    }
    std::vector<std::pair<double, const task_run*>> order;
    for (const auto& [id, lateness] : jobs)
    {
        order.push_back(lateness);
    }
    const auto middle = order.begin() + static_cast<std::ptrdiff_t>((order.size() - 1) / 2);
    std::ranges::nth_element(order, middle, {}, &std::pair<double, const task_run*>::first);
    return middle->first > slow_factor ? middle->second : nullptr;
}

/// Lowers the speed estimates of endpoints whose current runs are late. When more than a third of
/// the endpoints seem slow, the jobs take longer than declared, and no estimate is lowered.
void learn_slow_endpoints(const endpoint_table& table, speed_model& speeds,
                          absl::Duration since_last_check)
{
    std::vector<std::pair<std::string, const task_run*>> slow;
    for (const auto& [host, it] : table.all())
    {
        if (it->runs.empty())
        {
            speeds.relax(host, since_last_check);
        }
        else if (const auto* run = late_median_run(*it, speeds))
        {
            slow.emplace_back(host, run);
        }
    }
    if (slow.size() * hung_divisor > table.all().size())
    {
        return;
    }
    for (const auto& [host, run] : slow)
    {
        speeds.learn_slowness(host, run->queue, run->declared, run->projected_time);
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

void dispatcher::add_run(endpoint& it, const task_id& id, const task_run& run)
{
    it.add(id, run);
    index_.update(it);
    ++active_runs_[id];
}

void dispatcher::remove_run(endpoint& it, const task_id& id)
{
    it.remove(id);
    index_.update(it);
    const auto found = active_runs_.find(id);
    assert(found != active_runs_.end());
    if (--found->second == 0)
    {
        active_runs_.erase(found);
    }
    placement_due_ = true;
}

job_task* dispatcher::task_placed_on(const endpoint& it, const task_id& id, std::uint32_t attempt)
{
    auto* owner = jobs_.find(id.job);
    if (owner == nullptr || id.step >= owner->steps.size() ||
        id.index >= owner->steps[id.step].tasks.size())
    {
        return nullptr;
    }
    auto& task = owner->steps[id.step].tasks[id.index];
    const bool is_placed_here = task.current_state == job_task::state::placed &&
                                task.host == it.host && task.attempt == attempt;
    return is_placed_here ? &task : nullptr;
}

void dispatcher::register_host(endpoint& it)
{
    schema::command command;
    command.mutable_host_change()->add_joined(it.host);
    it.registering = port_.propose(std::move(command)).has_value();
}

bool dispatcher::is_registered(const std::string& host) const
{
    return store_.hosts().contains(host) && !departures_.contains(host);
}

void dispatcher::request_run_list(endpoint& it)
{
    it.requested_list = ++last_list_request_;
    it.list_request_at = absl::InfiniteFuture();
    orders_for(it).set_look(it.requested_list);
}

void dispatcher::on_report(const std::string& peer, const schema::endpoint_report& report)
{
    if (!leading_ || report.host().empty())
    {
        return;
    }
    auto& it = endpoints_.get(report.host());
    // An agent that lost its connection to the dispatcher starts a new session: orders and reports
    // between them may be lost.
    if (it.peer != peer || report.session() == 0)
    {
        it.peer = peer;
        it.agent_process = report.agent_process();
        it.session = ++last_session_;
        it.listed = false;
        it.gone_at = absl::InfiniteFuture();
        orders_.erase(it.host);
        it.registered = is_registered(it.host);
        if (!it.registered && !it.registering)
        {
            register_host(it);
        }
        request_run_list(it);
        events_.record("agent_linked", {{"peer", it.host}, {"endpoint", report.endpoint()}});
    }
    update_state(it, report);
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
            found->second.update_progress(row.percent(), absl::Milliseconds(row.ran_ms()),
                                          clock_.now());
        }
    }
    if (report.last_end() > 0)
    {
        auto& orders = orders_for(it);
        orders.set_acknowledged_end(std::max(orders.acknowledged_end(), report.last_end()));
    }
    if (report.look() != 0 && report.look() == it.requested_list)
    {
        on_run_list(it, report);
    }
}

void dispatcher::update_state(endpoint& it, const schema::endpoint_report& report)
{
    if (report.known() != it.known)
    {
        it.known = report.known();
        invalidate_index();
        placement_due_ = true;
    }
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
        // The run list of the new incarnation shows that the runs of the earlier one are over.
        it.session = ++last_session_;
        orders_.erase(it.host);
        request_run_list(it);
    }
    constexpr double milli = 1000.0;
    speeds_.import_estimate(it.host, report.speed_milli() / milli);
    const resources capacity{report.cpu_milli(), report.memory_mb(), report.gpu()};
    if (it.service != report.service() || it.capacity != capacity)
    {
        invalidate_index();
    }
    it.service = report.service();
    it.data_centre = report.data_centre();
    if (report.cold_remaining_ms() > 0)
    {
        it.cold_until = clock_.now() + absl::Milliseconds(report.cold_remaining_ms());
    }
    else
    {
        it.cold_until = std::min(it.cold_until, clock_.now());
    }
    update_coldness(it);
    if (const bool evacuated = obeyed_evacuations_.contains(it.data_centre);
        evacuated != it.evacuated)
    {
        it.evacuated = evacuated;
        invalidate_index();
    }
    it.labels.assign(report.labels().begin(), report.labels().end());
    it.capacity = capacity;
    if (report.draining() != it.draining || report.silent() != it.silent ||
        report.left() != it.left)
    {
        events_.record("endpoint_state", {{"peer", it.host},
                                          {"draining", report.draining() ? "1" : "0"},
                                          {"silent", report.silent() ? "1" : "0"},
                                          {"left", report.left() ? "1" : "0"}});
        placement_due_ = true;
    }
    it.draining = report.draining();
    it.silent = report.silent();
    it.left = report.left();
}

void dispatcher::on_run_list(endpoint& it, const schema::endpoint_report& report)
{
    const auto now = clock_.now();
    for (const auto job : report.recent_jobs())
    {
        add_prior_run(job);
    }
    absl::flat_hash_set<task_id> listed;
    for (const auto& row : report.running())
    {
        const auto id = task_id_of(row.task());
        listed.insert(id);
        const auto found = it.runs.find(id);
        if (found == it.runs.end())
        {
            add_unknown_run(it, row);
            continue;
        }
        if (row.confirmed() && !found->second.is_confirmed())
        {
            found->second.confirmed_at = now;
        }
        found->second.session = it.session;
    }
    end_unlisted_runs(it, listed);
    it.listed = true;
    invalidate_index();
    placement_due_ = true;
    const bool was_listed = prior_runs_.are_listed();
    if (!was_listed && report.earlier_starts_ms() > 0)
    {
        // Another dispatcher has ordered them: this one learns of them from a later list.
        it.list_request_at = now + absl::Milliseconds(report.earlier_starts_ms());
        events_.record("list_not_whole",
                       {{"peer", it.host}, {"ms", absl::StrCat(report.earlier_starts_ms())}});
    }
    else
    {
        prior_runs_.on_list(it.host, now - absl::Milliseconds(report.history_ms()));
    }
    if (!was_listed && prior_runs_.are_listed())
    {
        on_hosts_listed();
    }
    if (prior_runs_.are_listed())
    {
        refuse_evacuated_jobs();
    }
}

void dispatcher::add_prior_run(std::uint64_t id)
{
    if (prior_runs_.are_listed())
    {
        return; // a start of this term
    }
    prior_runs_.add(id);
    if (auto* it = jobs_.find(id); it != nullptr && !it->started)
    {
        it->may_have_run = true;
    }
}

/// Adds a run that an earlier dispatcher ordered, and adopts it if its job is known and its task
/// waits.
void dispatcher::add_unknown_run(endpoint& it, const schema::run_progress& row)
{
    const auto id = task_id_of(row.task());
    task_run unknown;
    unknown.attempt = row.attempt();
    // A run of unknown demand counts as filling the endpoint.
    unknown.demand =
        row.cpu_milli() == 0 ? it.capacity : resources{row.cpu_milli(), row.memory_mb(), row.gpu()};
    unknown.sent_at = clock_.now();
    unknown.confirmed_at = row.confirmed() ? unknown.sent_at : absl::InfiniteFuture();
    unknown.session = it.session;
    unknown.process = it.agent_process;
    add_prior_run(id.job);
    auto* owner = jobs_.find(id.job);
    const bool known = owner != nullptr && id.step < owner->steps.size() &&
                       id.index < owner->steps[id.step].tasks.size();
    bool is_superfluous = false;
    if (known)
    {
        auto& step = owner->steps[id.step];
        auto& task = step.tasks[id.index];
        if (task.current_state == job_task::state::waiting && step.released)
        {
            owner->adopted = owner->may_have_run = true;
            task.current_state = job_task::state::placed;
            task.host = it.host;
            task.attempt = row.attempt();
            jobs_.adjust_waiting(*owner, step, -1);
            unknown.queue = owner->queue.name();
            unknown.declared = step.declared;
        }
        is_superfluous = task.current_state != job_task::state::waiting && task.host != it.host;
    }
    add_run(it, id, unknown);
    if (is_superfluous)
    {
        stop_run(it, id, row.attempt());
    }
}

/// Ends runs that the endpoint's list does not have, unless their start order may be in transit.
void dispatcher::end_unlisted_runs(endpoint& it, const absl::flat_hash_set<task_id>& listed)
{
    const auto now = clock_.now();
    std::vector<task_id> ended_runs;
    for (const auto& [id, run] : it.runs)
    {
        if (listed.contains(id) || run.session == it.session)
        {
            continue;
        }
        // A new agent process does not know of a start call that its predecessor sent.
        const bool is_over = run.process == it.agent_process || run.is_confirmed() ||
                             now >= run.sent_at + start_valid_for;
        if (is_over)
        {
            ended_runs.push_back(id);
        }
        else
        {
            it.list_request_at = std::min(it.list_request_at, run.sent_at + start_valid_for);
        }
    }
    for (const auto& id : ended_runs)
    {
        const auto attempt = it.runs.at(id).attempt;
        const auto* task = task_placed_on(it, id, attempt);
        remove_run(it, id);
        if (task != nullptr)
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
    auto* task = task_placed_on(it, id, end.attempt());
    const task_run ended = known ? found->second : task_run{};
    if (known)
    {
        remove_run(it, id);
    }
    if (task == nullptr)
    {
        if (end.number() != 0)
        {
            add_prior_run(id.job);
        }
        const bool result =
            end.outcome() == schema::run_done || end.outcome() == schema::run_failed;
        if (result && jobs_.find(id.job) == nullptr && !ended_.contains(id.job) &&
            clock_.now() < orphans_expire_at_)
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
        // The endpoint may know a higher attempt: skips past it.
        task->attempt += skipped_attempts;
        requeue(id, task->attempt, "start rejected");
        return;
    default:
        requeue(id, end.attempt(), schema::run_outcome_Name(end.outcome()));
    }
}

void dispatcher::on_run_done(endpoint& it, const task_id& id, const task_run& ended,
                             const schema::run_end& end)
{
    auto* owner = jobs_.find(id.job);
    auto& step = owner->steps[id.step];
    step.tasks[id.index].current_state = job_task::state::done;
    --step.unfinished;
    owner->had_success = true;
    it.health.on_success();
    const auto ran = absl::Milliseconds(end.ran_ms());
    if (!ended.queue.empty() && end.ran_ms() > 0 && !ended.began_before(it.cold_until))
    {
        speeds_.learn(it.host, ended.queue, id.job, ended.declared, ran);
    }
    else if (!ended.queue.empty() && end.ran_ms() > 0 && clock_.now() <= it.cold_until)
    {
        speeds_.learn_cold(it.host, ended.queue, ended.declared, ran);
    }
    if (step.unfinished == 0)
    {
        release_ready_steps(*owner);
    }
    finish_if_done(*owner);
}

void dispatcher::on_run_failed(endpoint& it, const task_id& id)
{
    auto* owner = jobs_.find(id.job);
    auto& task = owner->steps[id.step].tasks[id.index];
    ++task.failures;
    ++counts_.retried_runs;
    // A job that fails on one endpoint after another is itself the cause.
    const bool first_here =
        std::ranges::find(owner->failed_hosts, it.host) == owner->failed_hosts.end();
    if (first_here && (owner->failed_hosts.empty() || owner->had_success))
    {
        record_failure(it);
    }
    if (first_here)
    {
        owner->failed_hosts.push_back(it.host);
    }
    events_.record("run_failed", {{"submission", format_job_id(id.job)},
                                  {"task", absl::StrCat(id.step, ".", id.index)},
                                  {"attempt", absl::StrCat(task.attempt)},
                                  {"failures", absl::StrCat(task.failures)},
                                  {"peer", it.host}});
    if (task.failures >= std::max(owner->queue.max_attempts(), 1U))
    {
        ++counts_.failed;
        task.current_state = job_task::state::waiting; // so that end_job() stops no run of it
        end_job(id.job, schema::answer_failed, "a task has failed as often as allowed");
        return;
    }
    task.avoided.push_back(it.host);
    requeue(id, task.attempt, "failed");
}

void dispatcher::requeue(const task_id& id, std::uint32_t attempt, const std::string& reason)
{
    auto* owner = jobs_.find(id.job);
    auto& step = owner->steps[id.step];
    auto& task = step.tasks[id.index];
    assert(task.current_state == job_task::state::placed);
    task.current_state = job_task::state::waiting;
    task.attempt = std::max(task.attempt, attempt);
    jobs_.adjust_waiting(*owner, step, 1);
    placement_due_ = true;
    if (reason != "failed")
    {
        events_.record("run_over", {{"submission", format_job_id(id.job)},
                                    {"task", absl::StrCat(id.step, ".", id.index)},
                                    {"attempt", absl::StrCat(attempt)},
                                    {"peer", task.host},
                                    {"reason", reason}});
    }
}

void dispatcher::drop_runs(endpoint& it, const std::string& reason)
{
    std::vector<std::pair<task_id, std::uint32_t>> lost;
    for (const auto& [id, run] : it.runs)
    {
        lost.emplace_back(id, run.attempt);
    }
    for (const auto& [id, attempt] : lost)
    {
        const auto* task = task_placed_on(it, id, attempt);
        remove_run(it, id);
        if (task != nullptr)
        {
            requeue(id, attempt, reason);
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
    found->second.stop_resend_at = clock_.now() + stop_resend_interval;
    auto& order = *orders_for(it).add_stops();
    set_key(*order.mutable_task(), id);
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

bool dispatcher::may_confirm(const std::string& peer) const
{
    if (prior_runs_.are_listed())
    {
        return true;
    }
    const auto* it = endpoints_.find_peer(peer);
    return it != nullptr && !prior_runs_.unlisted().contains(it->host);
}

void dispatcher::stop_waiting_for_lists()
{
    if (prior_runs_.are_listed() || clock_.now() < earlier_leases_end_at_)
    {
        return;
    }
    const auto unlisted = prior_runs_.unlisted();
    for (const auto& host : unlisted)
    {
        events_.record("host_not_listed", {{"peer", host}, {"term", absl::StrCat(term_)}});
        prior_runs_.on_gone(host);
    }
    on_hosts_listed();
}

void dispatcher::check_runs()
{
    const auto now = clock_.now();
    const bool stops_hung = are_overdue_runs_hung(endpoints_, speeds_, now);
    learn_slow_endpoints(endpoints_, speeds_, check_interval);
    for (auto& [host, it] : endpoints_.all())
    {
        std::vector<std::pair<task_id, std::uint32_t>> stops;
        std::size_t hung_here = 0;
        for (auto& [id, run] : it->runs)
        {
            if (run.stopping)
            {
                if (now >= run.stop_resend_at && !it->peer.empty())
                {
                    stops.emplace_back(id, run.attempt);
                }
                continue;
            }
            if (!run.is_confirmed())
            {
                continue;
            }
            if (run.queue.empty())
            {
                if (now >= orphans_expire_at_)
                {
                    stops.emplace_back(id, run.attempt);
                }
                continue;
            }
            auto* hung = task_placed_on(*it, id, run.attempt);
            // A task that hangs again elsewhere is itself slow.
            if (stops_hung && hung != nullptr && hung->avoided.empty() &&
                is_overdue(run, speeds_, now))
            {
                stops.emplace_back(id, run.attempt);
                hung->avoided.push_back(host);
                ++hung_here;
                events_.record("run_hung", {{"submission", format_job_id(id.job)},
                                            {"task", absl::StrCat(id.step, ".", id.index)},
                                            {"peer", host}});
            }
        }
        if (hung_here > 1)
        {
            record_failure(*it);
        }
        for (const auto& [id, attempt] : stops)
        {
            stop_run(*it, id, attempt);
        }
    }
}

void dispatcher::record_failure(endpoint& it)
{
    const auto now = clock_.now();
    const auto set_aside_count = static_cast<std::size_t>(
        std::ranges::count_if(endpoints_.all(), [now](const auto& other)
                              { return other.second->health.allowed_runs(now) <= 1; }));
    if (it.health.allowed_runs(now) <= 1 ||
        set_aside_count < endpoints_.all().size() / set_aside_divisor)
    {
        it.health.on_failure(now);
    }
}

/// Logs load and capacity once a second.
void dispatcher::record_load()
{
    const auto now = clock_.now();
    if (now < next_load_record_at_)
    {
        return;
    }
    next_load_record_at_ = now + absl::Seconds(1);
    resources used;
    resources capacity;
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
        for (const auto& [id, run] : it->runs)
        {
            unconfirmed += run.is_confirmed() ? 0 : 1;
            stopping += run.stopping ? 1 : 0;
        }
        if (speeds_.speed(host) < least)
        {
            least = speeds_.speed(host);
            slowest = host;
        }
    }
    events_.record("dispatcher_load", {{"jobs", absl::StrCat(jobs_.size())},
                                       {"waiting_core_s", absl::StrCat(jobs_.work_waiting())},
                                       {"rate", absl::StrCat(rate())},
                                       {"usable", absl::StrCat(usable)},
                                       {"endpoints", absl::StrCat(endpoints_.all().size())},
                                       {"used_milli", absl::StrCat(used.cpu_milli)},
                                       {"capacity_milli", absl::StrCat(capacity.cpu_milli)},
                                       {"unconfirmed", absl::StrCat(unconfirmed)},
                                       {"stopping", absl::StrCat(stopping)},
                                       {"cold_speed", absl::StrCat(speeds_.cold_speed())},
                                       {"slowest", slowest},
                                       {"slowest_speed", absl::StrCat(least)}});
}

void dispatcher::remove_expired()
{
    const auto now = clock_.now();
    record_load();
    stop_waiting_for_lists();
    std::vector<std::string> gone_hosts;
    for (auto& [host, it] : endpoints_.all())
    {
        if (now >= it->list_request_at && !it->peer.empty())
        {
            request_run_list(*it);
        }
        if (now >= it->gone_at)
        {
            gone_hosts.push_back(host);
        }
    }
    for (const auto& host : gone_hosts)
    {
        auto& it = *endpoints_.find(host);
        events_.record("host_gone", {{"peer", host}, {"runs", absl::StrCat(it.runs.size())}});
        drop_runs(it, "its leases have ended");
        invalidate_index();
        endpoints_.erase(host);
        speeds_.forget(host);
        schema::command command;
        command.mutable_host_change()->add_left(host);
        if (const auto index = port_.propose(std::move(command)))
        {
            departures_[host] = *index;
        }
        placement_due_ = true;
    }
    if (!gone_hosts.empty() && prior_runs_.are_listed())
    {
        refuse_evacuated_jobs();
    }
    while (!ended_order_.empty())
    {
        const auto it = ended_.find(ended_order_.front());
        if (it != ended_.end() && it->second.expires_at > now)
        {
            break;
        }
        if (it != ended_.end())
        {
            ended_.erase(it);
        }
        ended_order_.pop_front();
    }
    while (!refused_order_.empty() && now >= refused_order_.front().expires_at)
    {
        refused_.erase(refused_order_.front().origin);
        refused_order_.pop_front();
    }
    if (now >= orphans_expire_at_)
    {
        orphan_ends_.clear();
    }
}

} // namespace savoryreach::dispatch
