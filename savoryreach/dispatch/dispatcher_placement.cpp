// Which tasks start where, and when a new dispatcher knows enough to decide it.

#include "savoryreach/dispatch/dispatcher.hpp"
#include "savoryreach/dispatch/event_text.hpp"
#include "savoryreach/dispatch/placement.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace savoryreach::dispatch
{
namespace
{

/// Time from the beginning of a term within which all linked agents have listed their runs: they
/// learn of the dispatcher at once, and a list takes a call to the endpoint.
constexpr absl::Duration listing_time = absl::Milliseconds(150);
/// Room is reserved for a task only against tasks that need at most this part of its cores: tasks
/// of similar demand fit into each other's place, so that no gaps build up.
constexpr std::int64_t min_width_ratio = 2;

} // namespace

bool dispatcher::is_capacity_known()
{
    if (!capacity_known_ &&
        (prior_runs_.are_listed() || (clock_.now() >= led_at_ + listing_time && rate() > 0.0)))
    {
        capacity_known_ = true;
        review_admissions();
    }
    return capacity_known_;
}

void dispatcher::on_hosts_listed()
{
    std::size_t never_ran = 0;
    for (const auto& [id, it] : jobs_.all())
    {
        if (it->may_have_run && !it->started && !it->adopted &&
            prior_runs_.has_never_run(id, it->earliest_read_at))
        {
            it->may_have_run = false;
            ++never_ran;
        }
    }
    events_.record("hosts_listed", {{"term", absl::StrCat(term_)},
                                    {"ms", ms_text(clock_.now() - led_at_)},
                                    {"jobs_never_run", absl::StrCat(never_ran)}});
    capacity_known_ = true;
    rate_valid_until_ = absl::InfinitePast();
    review_admissions();
}

void dispatcher::review_admissions()
{
    place_tasks();
    // Late jobs start after all new ones: without room now, most would find none in time.
    for (const auto id : jobs_.waiting_order(clock_.now()))
    {
        const auto& it = *jobs_.find(id);
        const bool is_held = it.deferred && it.arrived_at < led_at_;
        if (is_held && !it.may_have_run && !it.started && !it.adopted)
        {
            ++counts_.refused;
            end_job(id, schema::answer_refused, "it was held for too long to find room");
        }
    }
}

double dispatcher::rate()
{
    const auto now = clock_.now();
    if (now < rate_valid_until_)
    {
        return rate_;
    }
    double sum = 0.0;
    for (const auto& [host, it] : endpoints_.all())
    {
        if (it->is_usable() && it->health.allowed_runs(now) > 0)
        {
            constexpr double milli = 1000.0;
            constexpr double probed_share = 0.1; // one run at a time instead of about ten
            const double share = it->health.allowed_runs(now) > 1 ? 1.0 : probed_share;
            sum += static_cast<double>(it->capacity.cpu_milli) / milli * speeds_.throughput(host) *
                   share;
        }
    }
    /// Shorter than the time in which the set of endpoints changes, some 50 ms.
    constexpr absl::Duration rate_valid_for = absl::Milliseconds(10);
    rate_ = sum;
    rate_valid_until_ = now + rate_valid_for;
    return sum;
}

bool dispatcher::drop_if_too_late(const job& it, absl::Duration wait)
{
    if (it.started || it.adopted || clock_.now() + wait + it.critical_path <= it.answer_deadline)
    {
        return false;
    }
    ++counts_.refused;
    // This dispatcher has started none of its tasks; an earlier one may have.
    end_job(it.id, it.may_have_run ? schema::answer_unknown : schema::answer_refused,
            "it would end too late to be of use");
    return true;
}

absl::Duration dispatcher::listing_wait() const
{
    const auto now = clock_.now();
    const auto is_absent = [this](const std::string& host)
    {
        const auto it = endpoints_.all().find(host);
        return it != endpoints_.all().end() && it->second->peer.empty();
    };
    const bool waits = now >= led_at_ + listing_time && now < earlier_leases_end_at_ &&
                       std::ranges::any_of(prior_runs_.unlisted(), is_absent);
    return waits ? earlier_leases_end_at_ - now : absl::ZeroDuration();
}

void dispatcher::invalidate_index()
{
    index_.clear();
    reservations_.clear();
    index_valid_until_ = absl::InfinitePast();
}

void dispatcher::place_tasks()
{
    placement_due_ = false;
    const bool has_rate = is_capacity_known();
    if (clock_.now() >= index_valid_until_)
    {
        index_valid_until_ = clock_.now() + check_interval;
        index_.rebuild(endpoints_, speeds_);
        reservations_.refresh();
    }
    const bool can_start = prior_runs_.are_listed();
    const auto first_start_in = listing_wait();
    placement_pass pass;
    double work_ahead = 0.0; // of the jobs in this order that still wait, core-seconds
    for (const auto id : jobs_.waiting_order(clock_.now()))
    {
        auto& it = *jobs_.find(id);
        if (!can_start && it.may_have_run)
        {
            continue;
        }
        const auto wait = has_rate ? work_ahead / std::max(rate(), 1.0) : 0.0;
        if (!drop_if_too_late(it, first_start_in + absl::Seconds(wait)))
        {
            if (can_start)
            {
                place_job(it, pass);
            }
            work_ahead += waiting_work(it);
        }
    }
}

void dispatcher::place_job(job& it, placement_pass& pass)
{
    const auto now = clock_.now();
    auto& unplaced = pass[it.queue.service()];
    const bool may_reserve = it.plans_room && can_meet_objective(it, now);
    std::string placed;
    for (std::uint32_t s = 0; s < it.steps.size(); ++s)
    {
        auto& step = it.steps[s];
        for (std::uint32_t n = 0; n < step.tasks.size() && step.waiting > 0; ++n)
        {
            auto& task = step.tasks[n];
            if (!step.released || task.current_state != job_task::state::waiting ||
                active_runs_.contains({it.id, s, n}))
            {
                continue;
            }
            const bool is_reservable =
                may_reserve && unplaced.reservable.size() < reservation_plan::max_reservations;
            if (step.demand.cpu_milli >= unplaced.min_cpu_milli)
            {
                if (is_reservable)
                {
                    unplaced.reservable.push_back({it.id, s, n});
                }
                continue;
            }
            if (step.demand.cpu_milli * min_width_ratio <= unplaced.min_cpu_milli)
            {
                reserve_room(std::exchange(unplaced.reservable, {}));
            }
            const auto chosen = choose_endpoint(index_, speeds_, it, step, task, s, now, options_,
                                                &reservations_, {it.id, s, n});
            if (chosen.target != nullptr)
            {
                start(it, s, n, *chosen.target);
                absl::StrAppend(&placed, placed.empty() ? "" : " ", s, ".", n, "/", task.attempt,
                                "@", chosen.target->host);
            }
            else if (chosen.no_capacity && task.avoided.empty() &&
                     step.spec.required_label().empty() && step.spec.max_per_endpoint() == 0)
            {
                unplaced.min_cpu_milli = step.demand.cpu_milli;
                if (is_reservable)
                {
                    unplaced.reservable.push_back({it.id, s, n});
                }
            }
            else if (chosen.no_capacity && !task.avoided.empty())
            {
                // Rather the same endpoint again than none.
                task.avoided.clear();
            }
        }
    }
    if (!placed.empty())
    {
        events_.record("tasks_placed", {{"submission", format_job_id(it.id)},
                                        {"age_ms", ms_text(now - it.arrived_at)},
                                        {"tasks", placed}});
    }
}

void dispatcher::reserve_room(const std::vector<task_id>& unplaced)
{
    for (const auto& id : unplaced)
    {
        const auto& owner = *jobs_.find(id.job);
        if (const auto* ranking = index_.find(owner.queue.service()))
        {
            const auto now = clock_.now();
            if (const auto room =
                    reservations_.reserve(id, owner, owner.steps[id.step], *ranking, speeds_, now))
            {
                events_.record("room_reserved",
                               {{"submission", format_job_id(id.job)},
                                {"task", absl::StrCat(id.step, ".", id.index)},
                                {"peer", room->host},
                                {"expected_wait_ms", ms_text(room->start_at - now)}});
            }
        }
    }
}

void dispatcher::start(job& it, std::uint32_t step_number, std::uint32_t index, endpoint& target)
{
    const auto now = clock_.now();
    auto& step = it.steps[step_number];
    auto& task = step.tasks[index];
    const task_id id{it.id, step_number, index};
    task.current_state = job_task::state::placed;
    task.host = target.host;
    ++task.attempt;
    jobs_.adjust_waiting(it, step, -1);
    task_run started;
    started.attempt = task.attempt;
    started.queue = it.queue.name();
    started.demand = step.demand;
    started.declared = step.declared;
    started.sent_at = now;
    started.confirmed_at = absl::InfiniteFuture();
    started.session = target.session;
    started.process = target.agent_process;
    add_run(target, id, started);
    reservations_.on_start(target, id, step.demand,
                           now + speeds_.expected(target.host, it.queue.name(), step.declared));
    if (!it.started)
    {
        metrics_
            .histogram_of("savoryreach_job_wait_seconds",
                          "from the arrival of a job to its first start, by queue",
                          {{"queue", it.queue.name()}})
            .observe(absl::ToDoubleSeconds(now - it.arrived_at));
    }
    it.started = true;
    it.first_start_at = std::min(it.first_start_at, now);
    ++counts_.starts;
    if (!has_started_)
    {
        has_started_ = true;
        events_.record("first_start",
                       {{"term", absl::StrCat(term_)}, {"ms", ms_text(now - led_at_)}});
    }
    auto& orders = orders_for(target);
    auto& order = *orders.add_starts();
    set_key(*order.mutable_task(), id);
    order.set_attempt(task.attempt);
    order.set_cpu_milli(step.spec.cpu_milli());
    order.set_memory_mb(step.spec.memory_mb());
    order.set_gpu(step.spec.gpu());
    order.set_declared_ms(static_cast<std::uint32_t>(absl::ToInt64Milliseconds(step.declared)));
    const bool has_payload = std::ranges::any_of(orders.payloads(), [&it](const auto& sent)
                                                 { return sent.job() == it.id; });
    if (!has_payload)
    {
        auto& payload = *orders.add_payloads();
        payload.set_job(it.id);
        payload.set_payload(it.payload);
    }
}

} // namespace savoryreach::dispatch
