// Requests and jobs. Reports of agents are handled in dispatcher_endpoints.cpp, the start of tasks
// in dispatcher_placement.cpp.

#include "savoryreach/dispatch/dispatcher.hpp"

#include "savoryreach/dispatch/event_text.hpp"
#include "savoryreach/keeper/keeper_times.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace savoryreach::dispatch
{
namespace
{

/// An ended job's answer is repeated to a front that sends its request again within this time:
/// twice the interval at which clients repeat a request, and more than the fronts' resend interval.
constexpr absl::Duration answer_retention = absl::Seconds(6);
/// Runs of an earlier term are stopped this long after the term began if no front has submitted
/// their job: fronts repeat their requests to a new dispatcher within a second.
constexpr absl::Duration orphan_retention = absl::Milliseconds(2500);
/// Time from the beginning of a term in which no host counts as gone: after a loss of power of the
/// whole core the agents must find the new dispatcher first.
constexpr absl::Duration min_listing_time = absl::Milliseconds(500);
/// Replaces a declared run time of 0.
constexpr std::uint32_t min_declared_ms = 1;
/// Retry time for a job that no endpoint can run or that is malformed.
constexpr absl::Duration not_ready_retry = absl::Seconds(1);
constexpr absl::Duration max_retry = absl::Seconds(5);
constexpr std::size_t max_tasks = 10'000;
/// Each priority of a service defers its jobs by this share of their objectives, up to so many
/// priorities: a bounded time, so that jobs of the last one still move to the front as they wait.
constexpr double priority_step = 0.1;
constexpr std::size_t max_priority_ranks = 3;
/// Answer deadline of a job as a multiple of its objective.
constexpr double deadline_factor = 3.0;

/// Adds the steps of \p spec to \p it. The next attempt of each task is the one after \p
/// last_attempt.
void add_steps(job& it, const schema::job_spec& spec, std::uint32_t last_attempt,
               const speed_model& speeds)
{
    std::vector<absl::Duration> critical_paths;
    for (const auto& step_spec : spec.steps())
    {
        job_step step;
        step.spec = step_spec;
        step.demand = {step_spec.cpu_milli(), step_spec.memory_mb(), step_spec.gpu()};
        step.declared = absl::Milliseconds(std::max(step_spec.estimated_ms(), min_declared_ms));
        step.unfinished = step_spec.count();
        step.tasks.resize(step_spec.count());
        for (auto& each : step.tasks)
        {
            each.attempt = last_attempt;
        }
        auto critical_path = absl::ZeroDuration();
        for (const auto earlier : step_spec.depends_on())
        {
            critical_path = std::max(critical_path, critical_paths[earlier]);
        }
        critical_paths.push_back(critical_path + speeds.expected(it.queue.name(), step.declared));
        it.critical_path = std::max(it.critical_path, critical_paths.back());
        it.work += task_work(step) * step_spec.count();
        it.steps.push_back(std::move(step));
    }
}

} // namespace

dispatcher::dispatcher(const base::clock& clock, dispatch_port& port, observe::event_sink& events,
                       observe::metrics& metrics, const fleet_store& store,
                       const dispatcher_options& options)
    : clock_(clock), port_(port), events_(events), metrics_(metrics), store_(store),
      options_(options)
{
}

void dispatcher::lead(std::uint64_t term, absl::Time earlier_contact)
{
    assert(!leading_);
    leading_ = true;
    term_ = term;
    const auto now = clock_.now();
    led_at_ = now;
    prior_runs_.begin(now, {store_.hosts().begin(), store_.hosts().end()});
    orphans_expire_at_ = now + orphan_retention;
    router_.load(store_.config());
    applied_version_ = store_.config().version();
    obeyed_evacuations_ = store_.evacuated();
    earlier_contact = std::min(earlier_contact, now);
    earlier_leases_end_at_ = std::max(earlier_contact + host_gone_after, now + min_listing_time);
    for (const auto& it : store_.hosts())
    {
        auto& target = endpoints_.get(it);
        target.registered = true;
        // An earlier dispatcher may have ordered starts until its lease ended, and a host must not
        // leave the log sooner than prior_runs::min_departure_time after its last start.
        target.gone_at = earlier_leases_end_at_ + keeper::leader_lease;
    }
    events_.record("dispatcher_started",
                   {{"term", absl::StrCat(term)},
                    {"earlier_contact_ms", ms_text(now - earlier_contact)},
                    {"hosts", absl::StrCat(store_.hosts().size())},
                    {"config_version", absl::StrCat(store_.config().version())},
                    {"evacuated", absl::StrJoin(store_.evacuated(), ",")}});
}

void dispatcher::stop_leading()
{
    if (!leading_)
    {
        return;
    }
    events_.record("dispatcher_stopped",
                   {{"term", absl::StrCat(term_)}, {"jobs", absl::StrCat(jobs_.size())}});
    leading_ = false;
    capacity_known_ = false;
    has_started_ = false;
    prior_runs_ = {};
    rate_valid_until_ = absl::InfinitePast();
    invalidate_index();
    endpoints_.clear();
    jobs_.clear();
    orders_.clear();
    active_runs_.clear();
    ended_.clear();
    ended_order_.clear();
    refused_.clear();
    refused_order_.clear();
    orphan_ends_.clear();
    pending_changes_.clear();
    pending_cancels_.clear();
    departures_.clear();
    evacuation_orders_.clear();
    speeds_ = {};
    offered_ = {};
}

void dispatcher::answer(const request_ref& origin, schema::answer_kind kind,
                        const std::string& reason)
{
    schema::front_answer out;
    out.set_kind(kind);
    out.set_reason(reason);
    send_answer(origin, std::move(out));
}

void dispatcher::send_answer(const request_ref& origin, schema::front_answer out)
{
    out.set_number(origin.number);
    out.set_term(term_);
    port_.answer(origin.front, std::move(out));
}

void dispatcher::send_refusal(const request_ref& origin, schema::answer_kind kind,
                              absl::Duration retry_after, const std::string& reason)
{
    schema::front_answer out;
    out.set_kind(kind);
    out.set_retry_after_ms(static_cast<std::uint32_t>(absl::ToInt64Milliseconds(retry_after)));
    out.set_reason(reason);
    send_answer(origin, std::move(out));
    if (refused_.try_emplace(origin, kind).second)
    {
        refused_order_.push_back({origin, clock_.now() + answer_retention});
    }
}

absl::Duration dispatcher::drain_time()
{
    if (!obeyed_evacuations_.empty() && rate() <= 0.0)
    {
        return max_retry;
    }
    const double work = jobs_.work_waiting() + jobs_.deferred_work();
    return std::min(listing_wait() + absl::Seconds(work / std::max(rate(), 1.0)), max_retry);
}

void dispatcher::on_front_request(const std::string& front, const schema::front_request& request)
{
    if (!leading_ || request.term() != term_)
    {
        return;
    }
    const request_ref origin{front, request.number()};
    if (request.abandoned())
    {
        abandon(origin);
        return;
    }
    switch (request.body_case())
    {
    case schema::front_request::kSubmit:
        submit(origin, request.submit(), request.may_have_run());
        break;
    case schema::front_request::kCancel:
        cancel(origin, request.cancel());
        break;
    case schema::front_request::kPending:
        count_pending(origin, request.pending());
        break;
    case schema::front_request::kApply:
        apply_config(origin, request.apply());
        break;
    case schema::front_request::kEvacuation:
        order_evacuation(origin, request);
        break;
    case schema::front_request::kRead:
    {
        schema::front_answer out;
        out.set_kind(store_.config().version() == 0 ? schema::answer_not_ready
                                                    : schema::answer_done);
        out.set_reason(store_.config().version() == 0 ? "no configuration yet" : "");
        out.set_document(store_.config().document());
        send_answer(origin, std::move(out));
        break;
    }
    case schema::front_request::kFind:
        find_job(origin, request.find());
        break;
    default:
        answer(origin, schema::answer_invalid, "no known request");
    }
}

// ---- submission ----

void dispatcher::submit(const request_ref& origin, const schema::submit_job& request,
                        bool may_have_run)
{
    if (const auto it = refused_.find(origin); it != refused_.end())
    {
        // The refusal is in transit, or was lost with a link.
        send_refusal(origin, it->second, drain_time(), "refused before");
        return;
    }
    const auto id = request.spec().id();
    // The client may have sent the job through another front before.
    may_have_run = may_have_run || prior_runs_.contains(id);
    if (may_have_run && !ended_.contains(id) &&
        prior_runs_.has_never_run(id, earliest_read_at(request)))
    {
        may_have_run = false;
    }
    const auto* queue = router_.find(request.host(), request.path());
    const bool has_queue =
        queue != nullptr && request.path() == absl::StrCat(queue->path_prefix(), format_job_id(id));
    // A newer configuration may have removed the queue of a job that runs or has ended.
    if (auto* known = jobs_.find(id);
        known != nullptr && (has_queue || known->has_address(request.host(), request.path())))
    {
        if (std::ranges::find(known->waiters, origin) == known->waiters.end())
        {
            known->waiters.push_back(origin);
        }
        return;
    }
    if (const auto it = ended_.find(id); it != ended_.end() &&
                                         it->second.kind != schema::answer_unspecified &&
                                         (has_queue || may_have_run))
    {
        answer(origin, it->second.kind, "ended before");
        return;
    }
    if (is_cancelled({request.host(), request.path()}))
    {
        stop_orphans(id);
        answer(origin, schema::answer_failed, "cancelled before");
        return;
    }
    if (!has_queue)
    {
        reject_without_queue(origin, request, may_have_run);
        return;
    }
    if (const auto reason = find_spec_error(request.spec()))
    {
        if (may_have_run)
        {
            answer(origin, schema::answer_unknown, *reason);
            return;
        }
        refuse(origin, id, schema::answer_refused, not_ready_retry, *reason);
        return;
    }
    accept(origin, request, *queue, may_have_run);
}

void dispatcher::reject_without_queue(const request_ref& origin, const schema::submit_job& request,
                                      bool may_have_run)
{
    const auto id = request.spec().id();
    if (may_have_run)
    {
        events_.record("job_unknown", {{"submission", format_job_id(id)},
                                       {"reason", "its queue is not in the configuration"}});
        answer(origin, schema::answer_unknown, "the job's queue has been removed");
        return;
    }
    if (store_.config().version() == 0)
    {
        refuse(origin, id, schema::answer_not_ready, not_ready_retry, "no configuration yet");
        return;
    }
    if (router_.find(request.host(), request.path()) == nullptr)
    {
        refuse(origin, id, schema::answer_no_queue, absl::ZeroDuration(), "no such queue");
        return;
    }
    refuse(origin, id, schema::answer_invalid, absl::ZeroDuration(),
           "the path does not end with the id of a job");
}

std::optional<std::string> dispatcher::find_spec_error(const schema::job_spec& spec)
{
    std::size_t tasks = 0;
    for (int n = 0; n < spec.steps_size(); ++n)
    {
        tasks += spec.steps(n).count();
        for (const auto earlier : spec.steps(n).depends_on())
        {
            if (earlier >= static_cast<std::uint32_t>(n))
            {
                return "a step depends on a later one";
            }
        }
        const resources demand{spec.steps(n).cpu_milli(), spec.steps(n).memory_mb(),
                               spec.steps(n).gpu()};
        const bool fits = std::ranges::any_of(
            endpoints_.all(), [&demand](const auto& it)
            { return !it.second->known || demand.fits_into(it.second->capacity); });
        // A host that is absent may have room, as may an endpoint that was not heard.
        if (!fits && !endpoints_.all().empty() && prior_runs_.are_listed())
        {
            return "no endpoint has room for a task of the job";
        }
    }
    if (tasks == 0 || tasks > max_tasks)
    {
        return "number of tasks out of range";
    }
    return std::nullopt;
}

void dispatcher::refuse(const request_ref& origin, std::uint64_t id, schema::answer_kind kind,
                        absl::Duration retry_after, const std::string& reason)
{
    ++counts_.refused;
    events_.record("job_refused", {{"submission", format_job_id(id)},
                                   {"reason", reason},
                                   {"retry_ms", ms_text(retry_after)}});
    send_refusal(origin, kind, retry_after, reason);
}

void dispatcher::accept(const request_ref& origin, const schema::submit_job& request,
                        const schema::queue_config& queue, bool may_have_run)
{
    const auto now = clock_.now();
    job it;
    it.id = request.spec().id();
    it.queue = queue;
    it.payload = request.spec().payload();
    it.arrived_at = now - absl::Milliseconds(request.age_ms());
    const auto before = ended_.find(it.id);
    add_steps(it, request.spec(), before != ended_.end() ? before->second.last_attempt : 0,
              speeds_);
    const auto objective = it.critical_path * std::max(queue.slack_factor(), 1.0) +
                           absl::Milliseconds(queue.target_ms());
    it.objective_at = it.arrived_at + objective;
    it.may_have_run = may_have_run;
    it.earliest_read_at = earliest_read_at(request);
    apply_priority(it);
    it.answer_deadline = std::min(it.arrived_at + objective * deadline_factor,
                                  now + absl::Milliseconds(request.remaining_ms()));
    const bool refusable = !may_have_run;
    const auto first_start_at = now + listing_wait();
    if (refusable && first_start_at + it.critical_path > it.answer_deadline)
    {
        refuse(origin, it.id, schema::answer_refused, drain_time(),
               "it would end too late to be of use");
        return;
    }
    if (refusable && prior_runs_.are_listed() && is_evacuated(queue.service()))
    {
        refuse(origin, it.id, schema::answer_refused, max_retry, "all endpoints are evacuated");
        return;
    }
    it.deferred = !can_meet_objective(it, first_start_at);
    const auto usable_rate = rate();
    offered_.add(queue.name(), it.work, now);
    const double share = offered_.share(
        queue.name(), usable_rate * usable_share(jobs_.work_waiting() / std::max(usable_rate, 1.0)),
        now);
    const bool has_share = offered_.admit(queue.name(), share);
    const auto decision = decide_admission(
        admission_inputs_of(it, has_share, usable_rate, first_start_at), first_start_at);
    if (!decision.accepted && refusable && is_capacity_known())
    {
        refuse(origin, it.id, schema::answer_refused, decision.retry_at - now,
               absl::StrCat("expected wait of ", ms_text(decision.expected_wait), " ms",
                            has_share ? "" : ", queue over its share of the capacity"));
        return;
    }
    ++counts_.accepted;
    it.waiters.push_back(origin);
    events_.record("job_accepted", {{"submission", format_job_id(it.id)},
                                    {"queue", queue.name()},
                                    {"expected_wait_ms", ms_text(decision.expected_wait)},
                                    {"objective_ms", ms_text(objective)},
                                    {"config_version", absl::StrCat(store_.config().version())}});
    auto& added = jobs_.add(std::move(it));
    adopt_runs(added);
    release_ready_steps(added);
    placement_due_ = true;
    finish_if_done(added);
}

void dispatcher::apply_priority(job& it) const
{
    it.plans_room = router_.owns_room(it.queue.service());
    const auto rank = std::min(router_.priority_rank(it.queue), max_priority_ranks);
    if (it.plans_room && rank > 0)
    {
        it.order_at = it.objective_at + (it.objective_at - it.arrived_at) *
                                            (priority_step * static_cast<double>(rank));
    }
}

/// A deferred job starts after all waiting jobs, and has until its answer deadline.
admission_inputs dispatcher::admission_inputs_of(const job& it, bool has_share, double rate,
                                                 absl::Time first_start_at) const
{
    if (!it.deferred)
    {
        return {jobs_.work_ahead(it.order_time()),
                jobs_.work_waiting(),
                has_share,
                rate,
                it.critical_path,
                it.objective_at - first_start_at};
    }
    const double work = jobs_.work_waiting() + jobs_.deferred_work();
    return {work, work, has_share, rate, it.critical_path, it.answer_deadline - first_start_at};
}

/// Adopts runs and ends of a job that an earlier dispatcher accepted.
void dispatcher::adopt_runs(job& it)
{
    for (std::uint32_t s = 0; s < it.steps.size(); ++s)
    {
        auto& step = it.steps[s];
        for (std::uint32_t n = 0; n < step.tasks.size(); ++n)
        {
            const task_id id{it.id, s, n};
            auto& task = step.tasks[n];
            if (const auto end = orphan_ends_.find(id); end != orphan_ends_.end())
            {
                it.adopted = it.may_have_run = true;
                if (end->second == schema::run_done)
                {
                    task.current_state = job_task::state::done;
                    it.had_success = true;
                    --step.unfinished;
                }
                orphan_ends_.erase(end);
                continue;
            }
            if (!active_runs_.contains(id))
            {
                continue;
            }
            for (auto& [host, target] : endpoints_.all())
            {
                const auto found = target->runs.find(id);
                if (found != target->runs.end() && !found->second.stopping)
                {
                    it.adopted = it.may_have_run = true;
                    task.current_state = job_task::state::placed;
                    task.host = host;
                    task.attempt = found->second.attempt;
                    found->second.queue = it.queue.name();
                    found->second.declared = step.declared;
                }
            }
        }
    }
}

/// Releases the tasks of the steps whose dependencies are done.
void dispatcher::release_ready_steps(job& it)
{
    for (auto& step : it.steps)
    {
        const bool ready = std::ranges::all_of(step.spec.depends_on(), [&it](std::uint32_t earlier)
                                               { return it.steps[earlier].unfinished == 0; });
        if (!ready || step.released)
        {
            continue;
        }
        step.released = true;
        const auto n =
            std::ranges::count(step.tasks, job_task::state::waiting, &job_task::current_state);
        jobs_.adjust_waiting(it, step, static_cast<int>(n));
        placement_due_ = true;
    }
}

void dispatcher::abandon(const request_ref& origin)
{
    for (const auto& [id, it] : jobs_.all())
    {
        const auto found = std::ranges::find(it->waiters, origin);
        if (found != it->waiters.end())
        {
            it->waiters.erase(found);
            if (it->waiters.empty())
            {
                ++counts_.cancelled;
                end_job(id, schema::answer_unspecified, "the client has left");
            }
            return;
        }
    }
}

void dispatcher::count_pending(const request_ref& origin, const schema::count_pending& request)
{
    const auto* queue = router_.find(request.host(), request.path());
    if (store_.config().version() == 0 || queue == nullptr ||
        request.path() != queue->path_prefix())
    {
        answer(origin,
               store_.config().version() == 0 ? schema::answer_not_ready : schema::answer_no_queue);
        return;
    }
    schema::front_answer out;
    out.set_kind(schema::answer_done);
    out.set_pending(static_cast<std::uint32_t>(jobs_.count_unstarted(queue->name())));
    send_answer(origin, std::move(out));
}

// ---- configuration ----

void dispatcher::apply_config(const request_ref& origin, const schema::apply_fleet_config& request)
{
    const auto& config = request.config();
    if (config.version() <= store_.config().version())
    {
        answer(origin, schema::answer_done, "not newer than the version in force");
        return;
    }
    schema::command command;
    *command.mutable_fleet_config() = config;
    if (const auto index = port_.propose(std::move(command)))
    {
        pending_changes_.push_back({*index, origin});
    }
}

void dispatcher::on_applied(std::uint64_t index)
{
    if (!leading_)
    {
        return;
    }
    if (store_.config().version() != applied_version_)
    {
        applied_version_ = store_.config().version();
        router_.load(store_.config());
        events_.record("config_in_force",
                       {{"version", absl::StrCat(applied_version_)},
                        {"queues", absl::StrCat(store_.config().queues_size())}});
    }
    if (store_.evacuated() != obeyed_evacuations_)
    {
        obey_evacuations();
    }
    for (const auto& it : evacuation_orders_.on_applied(index))
    {
        answer(it, schema::answer_done);
    }
    std::erase_if(pending_changes_,
                  [&](const pending_change& it)
                  {
                      if (it.index <= index)
                      {
                          answer(it.origin, schema::answer_done);
                      }
                      return it.index <= index;
                  });
    std::erase_if(pending_cancels_,
                  [&](const pending_cancel& it)
                  {
                      if (it.index <= index)
                      {
                          answer(it.origin, it.kind);
                      }
                      return it.index <= index;
                  });
    absl::erase_if(departures_, [index](const auto& it) { return it.second <= index; });
    for (auto& [host, it] : endpoints_.all())
    {
        it->registered = is_registered(host);
        if (!it->registered && !it->peer.empty() && !it->registering)
        {
            register_host(*it);
        }
        if (it->registered && it->registering)
        {
            it->registering = false;
            placement_due_ = true;
        }
    }
}

// ---- jobs ----

void dispatcher::end_job(std::uint64_t id, schema::answer_kind kind, const std::string& reason)
{
    auto* it = jobs_.find(id);
    assert(it != nullptr);
    std::uint32_t attempt = 0;
    for (std::uint32_t s = 0; s < it->steps.size(); ++s)
    {
        for (std::uint32_t n = 0; n < it->steps[s].tasks.size(); ++n)
        {
            const auto& task = it->steps[s].tasks[n];
            attempt = std::max(attempt, task.attempt);
            if (task.current_state == job_task::state::placed)
            {
                if (auto* target = endpoints_.find(task.host))
                {
                    stop_run(*target, {id, s, n}, task.attempt);
                }
            }
        }
    }
    const auto now = clock_.now();
    for (const auto& origin : it->waiters)
    {
        if (kind == schema::answer_refused)
        {
            send_refusal(origin, kind, drain_time(), reason);
        }
        else
        {
            schema::front_answer out;
            out.set_kind(kind);
            out.set_reason(reason);
            out.set_slack_factor(it->queue.slack_factor());
            out.set_target_ms(it->queue.target_ms());
            send_answer(origin, std::move(out));
        }
    }
    events_.record("job_ended",
                   {{"submission", format_job_id(id)},
                    {"queue", it->queue.name()},
                    {"outcome", schema::answer_kind_Name(kind)},
                    {"reason", reason},
                    {"ms", ms_text(now - it->arrived_at)},
                    {"wait_ms", ms_text(std::min(it->first_start_at, now) - it->arrived_at)},
                    {"late", now > it->objective_at ? "1" : "0"}});
    metrics_
        .histogram_of("savoryreach_job_seconds",
                      "from the arrival of a job to its end, by queue and outcome",
                      {{"queue", it->queue.name()}, {"outcome", schema::answer_kind_Name(kind)}})
        .observe(absl::ToDoubleSeconds(now - it->arrived_at));
    // A refused job may be submitted again.
    const bool final = kind != schema::answer_refused && kind != schema::answer_unknown;
    ended_[id] = {final ? kind : schema::answer_unspecified, now + answer_retention, attempt};
    ended_order_.push_back(id);
    jobs_.remove(id);
    placement_due_ = true;
}

void dispatcher::finish_if_done(job& it)
{
    if (std::ranges::all_of(it.steps, [](const job_step& step) { return step.unfinished == 0; }))
    {
        ++counts_.completed;
        end_job(it.id, schema::answer_completed, "");
    }
}

absl::Time dispatcher::earliest_read_at(const schema::submit_job& request) const
{
    return prior_runs_.earliest_read_at(absl::Milliseconds(request.age_ms()));
}

// ---- time ----

void dispatcher::tick()
{
    if (!leading_)
    {
        return;
    }
    const auto now = clock_.now();
    if (now >= next_check_at_)
    {
        next_check_at_ = now + check_interval;
        remove_expired();
        for (const auto& [host, it] : endpoints_.all())
        {
            update_coldness(*it);
        }
        check_runs();
        placement_due_ = placement_due_ || jobs_.has_waiting();
    }
    if (placement_due_)
    {
        place_tasks();
    }
    flush_orders();
}

void dispatcher::flush_orders()
{
    auto orders = std::move(orders_);
    orders_.clear();
    for (auto& [host, it] : orders)
    {
        if (const auto* target = endpoints_.find(host); target != nullptr && !target->peer.empty())
        {
            port_.send_orders(target->peer, std::move(it));
        }
    }
}

dispatcher_counts dispatcher::counts() const
{
    auto out = counts_;
    out.jobs = jobs_.size();
    out.endpoints = endpoints_.all().size();
    return out;
}

} // namespace savoryreach::dispatch
