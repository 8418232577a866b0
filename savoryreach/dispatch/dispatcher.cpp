// Requests, jobs and the start of tasks. What agents report is handled in dispatcher_endpoints.cpp.

#include "savoryreach/dispatch/dispatcher.hpp"

#include "savoryreach/dispatch/admission.hpp"
#include "savoryreach/dispatch/placement.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>

namespace savoryreach::dispatch
{
namespace
{

/// An ended job's answer is repeated to a front that asks again within this time: twice the
/// interval at which clients send again, and the fronts' resend interval.
constexpr absl::Duration answer_kept_for = absl::Seconds(6);
/// Runs of jobs that no front has asked for are stopped this long after a term began: fronts
/// repeat their requests to a new dispatcher within a second.
constexpr absl::Duration orphans_kept_for = absl::Milliseconds(2500);
/// Where a step's declared time is 0.
constexpr std::uint32_t least_declared_ms = 1;
/// A refused client of a system without endpoints or configuration is asked to return after this.
constexpr absl::Duration not_ready_retry = absl::Seconds(1);
constexpr absl::Duration longest_retry = absl::Seconds(5);
constexpr std::size_t max_tasks = 10'000;
/// An answer after this many times the objective is of no use.
constexpr double late_factor = 3.0;

std::string ms_text(absl::Duration it)
{
    return absl::StrCat(absl::ToInt64Milliseconds(it));
}

} // namespace

dispatcher::dispatcher(const base::clock& clock, dispatch_port& port, observe::event_sink& events,
                       observe::metrics& measures, const fleet_store& store)
    : clock_(clock), port_(port), events_(events), measures_(measures), store_(store)
{
}

void dispatcher::lead(std::uint64_t term)
{
    assert(!leading_);
    leading_ = true;
    term_ = term;
    const auto now = clock_.now();
    orphans_until_ = now + orphans_kept_for;
    router_.load(store_.config());
    applied_version_ = store_.config().version();
    for (const auto& it : store_.hosts())
    {
        auto& place = endpoints_.get(it);
        place.registered = true;
        place.from_before = true;
        place.gone_at = now + host_gone_after;
    }
    events_.record("dispatcher_started",
                   {{"term", absl::StrCat(term)},
                    {"hosts", absl::StrCat(store_.hosts().size())},
                    {"config_version", absl::StrCat(store_.config().version())}});
}

void dispatcher::stop_leading()
{
    if (!leading_)
    {
        return;
    }
    events_.record("dispatcher_stopped",
                   {{"term", absl::StrCat(term_)}, {"jobs", absl::StrCat(board_.size())}});
    leading_ = false;
    settled_ = false;
    rate_until_ = absl::InfinitePast();
    forget_index();
    endpoints_.clear();
    board_.clear();
    orders_.clear();
    under_way_.clear();
    ended_.clear();
    ended_order_.clear();
    refused_.clear();
    refused_order_.clear();
    orphan_ends_.clear();
    pending_changes_.clear();
    speeds_ = {};
    offered_ = {};
}

void dispatcher::answer(const waiter& who, schema::answer_kind kind, const std::string& reason)
{
    schema::front_answer out;
    out.set_kind(kind);
    out.set_reason(reason);
    send_answer(who, std::move(out));
}

void dispatcher::send_answer(const waiter& who, schema::front_answer out)
{
    out.set_number(who.number);
    out.set_term(term_);
    port_.answer(who.front, std::move(out));
}

void dispatcher::send_refusal(const waiter& who, absl::Duration retry_after, const std::string& why)
{
    schema::front_answer out;
    out.set_kind(schema::answer_refused);
    out.set_retry_after_ms(static_cast<std::uint32_t>(absl::ToInt64Milliseconds(retry_after)));
    out.set_reason(why);
    send_answer(who, std::move(out));
    if (refused_.insert(who).second)
    {
        refused_order_.push_back({who, clock_.now() + answer_kept_for});
    }
}

absl::Duration dispatcher::drain_time()
{
    return std::min(absl::Seconds(board_.work_waiting() / std::max(rate(), 1.0)), longest_retry);
}

void dispatcher::on_front_request(const std::string& front, const schema::front_request& request)
{
    if (!leading_ || request.term() != term_)
    {
        return;
    }
    const waiter who{front, request.number()};
    if (request.abandoned())
    {
        abandon(who);
        return;
    }
    switch (request.body_case())
    {
    case schema::front_request::kSubmit:
        submit(who, request.submit(), request.may_have_run());
        break;
    case schema::front_request::kCancel:
        cancel(who, request.cancel());
        break;
    case schema::front_request::kPending:
        count_pending(who, request.pending());
        break;
    case schema::front_request::kApply:
        apply_config(who, request.apply());
        break;
    case schema::front_request::kRead:
    {
        schema::front_answer out;
        out.set_kind(store_.config().version() == 0 ? schema::answer_not_ready
                                                    : schema::answer_done);
        out.set_document(store_.config().document());
        send_answer(who, std::move(out));
        break;
    }
    case schema::front_request::kFind:
    {
        const auto* queue = router_.find(request.find().host(), request.find().path());
        std::uint64_t id = 0;
        const bool known = queue != nullptr &&
                           parse_job_id(request.find().path(), queue->path_prefix(), id) &&
                           board_.find(id) != nullptr;
        answer(who, known ? schema::answer_done : schema::answer_gone);
        break;
    }
    default:
        answer(who, schema::answer_invalid, "no known request");
    }
}

// ---- submission ----

void dispatcher::submit(const waiter& who, const schema::submit_job& request, bool may_have_run)
{
    if (store_.config().version() == 0)
    {
        answer(who, schema::answer_not_ready, "no configuration yet");
        return;
    }
    const auto* queue = router_.find(request.host(), request.path());
    if (queue == nullptr)
    {
        answer(who, schema::answer_no_queue);
        return;
    }
    if (refused_.contains(who))
    {
        // The refusal is on its way, or got lost with a link.
        send_refusal(who, drain_time(), "refused before");
        return;
    }
    const auto id = request.spec().id();
    if (request.path() != absl::StrCat(queue->path_prefix(), format_job_id(id)))
    {
        answer(who, schema::answer_invalid, "the path does not end with the id of a job");
        return;
    }
    if (auto* known = board_.find(id))
    {
        if (std::ranges::find(known->waiters, who) == known->waiters.end())
        {
            known->waiters.push_back(who);
        }
        return;
    }
    if (const auto it = ended_.find(id);
        it != ended_.end() && it->second.kind != schema::answer_unspecified)
    {
        answer(who, it->second.kind, "ended before");
        return;
    }
    if (const auto why = refusal_by_spec(request.spec()))
    {
        if (may_have_run)
        {
            answer(who, schema::answer_unknown, *why);
            return;
        }
        refuse(who, id, not_ready_retry, *why);
        return;
    }
    accept(who, request, *queue, may_have_run);
}

std::optional<std::string> dispatcher::refusal_by_spec(const schema::job_spec& spec)
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
        const room takes{spec.steps(n).cpu_milli(), spec.steps(n).memory_mb(), spec.steps(n).gpu()};
        const bool fits =
            std::ranges::any_of(endpoints_.all(),
                                [&takes](const auto& it)
                                {
                                    return takes.cpu_milli <= it.second->capacity.cpu_milli &&
                                           takes.memory_mb <= it.second->capacity.memory_mb &&
                                           takes.gpu <= it.second->capacity.gpu;
                                });
        if (!fits && !endpoints_.all().empty() && may_start())
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

void dispatcher::refuse(const waiter& who, std::uint64_t id, absl::Duration retry_after,
                        const std::string& why)
{
    ++counts_.refused;
    events_.record(
        "job_refused",
        {{"submission", format_job_id(id)}, {"reason", why}, {"retry_ms", ms_text(retry_after)}});
    send_refusal(who, retry_after, why);
}

void dispatcher::accept(const waiter& who, const schema::submit_job& request,
                        const schema::queue_config& queue, bool may_have_run)
{
    const auto now = clock_.now();
    job it;
    it.id = request.spec().id();
    it.queue = queue;
    it.payload = request.spec().payload();
    it.arrived_at = now - absl::Milliseconds(request.age_ms());
    std::vector<absl::Duration> chains;
    std::uint32_t first_attempt = 0;
    if (const auto before = ended_.find(it.id); before != ended_.end())
    {
        first_attempt = before->second.last_attempt;
    }
    for (const auto& spec : request.spec().steps())
    {
        step of;
        of.spec = spec;
        of.takes = {spec.cpu_milli(), spec.memory_mb(), spec.gpu()};
        of.declared = absl::Milliseconds(std::max(spec.estimated_ms(), least_declared_ms));
        of.open = spec.count();
        of.tasks.resize(spec.count());
        for (auto& each : of.tasks)
        {
            each.attempt = first_attempt;
        }
        auto chain = absl::ZeroDuration();
        for (const auto earlier : spec.depends_on())
        {
            chain = std::max(chain, chains[earlier]);
        }
        chains.push_back(chain + speeds_.expected(queue.name(), of.declared));
        it.chain = std::max(it.chain, chains.back());
        it.work += task_work(of) * spec.count();
        it.steps.push_back(std::move(of));
    }
    const auto objective =
        it.chain * std::max(queue.slack_factor(), 1.0) + absl::Milliseconds(queue.target_ms());
    it.objective_at = it.arrived_at + objective;
    it.may_have_run = may_have_run;
    it.useful_until = std::min(it.arrived_at + objective * late_factor,
                               now + absl::Milliseconds(request.remaining_ms()));
    const auto usable_rate = rate();
    offered_.note(queue.name(), it.work, now);
    const double share = offered_.share(
        queue.name(),
        usable_rate * usable_share(board_.work_waiting() / std::max(usable_rate, 1.0)), now);
    const bool has_share = offered_.take(queue.name(), share);
    const auto verdict =
        decide_admission({board_.work_ahead(it.objective_at), board_.work_waiting(), has_share,
                          usable_rate, it.chain, it.objective_at - now},
                         now);
    if (!verdict.accepted && !may_have_run && may_start())
    {
        refuse(who, it.id, verdict.retry_at - now,
               absl::StrCat("expected wait of ", ms_text(verdict.expected_wait), " ms",
                            has_share ? "" : ", queue over its share of the capacity"));
        return;
    }
    ++counts_.accepted;
    it.waiters.push_back(who);
    events_.record("job_accepted", {{"submission", format_job_id(it.id)},
                                    {"queue", queue.name()},
                                    {"expected_wait_ms", ms_text(verdict.expected_wait)},
                                    {"objective_ms", ms_text(objective)},
                                    {"config_version", absl::StrCat(store_.config().version())}});
    auto& added = board_.add(std::move(it));
    adopt_runs(added);
    release_ready_steps(added);
    place_due_ = true;
    finish_if_done(added);
}

/// Takes over what runs or has ended of a job that an earlier dispatcher accepted.
void dispatcher::adopt_runs(job& it)
{
    for (std::uint32_t s = 0; s < it.steps.size(); ++s)
    {
        auto& of = it.steps[s];
        for (std::uint32_t n = 0; n < of.tasks.size(); ++n)
        {
            const task_id id{it.id, s, n};
            auto& what = of.tasks[n];
            if (const auto end = orphan_ends_.find(id); end != orphan_ends_.end())
            {
                it.adopted = true;
                if (end->second == schema::run_done)
                {
                    what.now = task::state::done;
                    it.had_success = true;
                    --of.open;
                }
                orphan_ends_.erase(end);
                continue;
            }
            if (!under_way_.contains(id))
            {
                continue;
            }
            for (auto& [host, place] : endpoints_.all())
            {
                const auto found = place->runs.find(id);
                if (found != place->runs.end() && !found->second.stopping)
                {
                    it.adopted = true;
                    what.now = task::state::out;
                    what.host = host;
                    what.attempt = found->second.attempt;
                    found->second.queue = it.queue.name();
                    found->second.declared = of.declared;
                }
            }
        }
    }
}

/// Lets the tasks of steps wait for a place whose earlier steps are done.
void dispatcher::release_ready_steps(job& it)
{
    for (auto& of : it.steps)
    {
        const bool ready = std::ranges::all_of(of.spec.depends_on(), [&it](std::uint32_t earlier)
                                               { return it.steps[earlier].open == 0; });
        if (!ready || of.released)
        {
            continue;
        }
        of.released = true;
        const auto n = std::ranges::count(of.tasks, task::state::waiting, &task::now);
        board_.add_waiting(it, of, static_cast<int>(n));
        place_due_ = true;
    }
}

void dispatcher::abandon(const waiter& who)
{
    for (const auto& [id, it] : board_.all())
    {
        const auto found = std::ranges::find(it->waiters, who);
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

void dispatcher::cancel(const waiter& who, const schema::cancel_job& request)
{
    const auto* queue = router_.find(request.host(), request.path());
    std::uint64_t id = 0;
    if (queue == nullptr || !parse_job_id(request.path(), queue->path_prefix(), id) ||
        board_.find(id) == nullptr)
    {
        answer(who, schema::answer_gone);
        return;
    }
    ++counts_.cancelled;
    end_job(id, schema::answer_failed, "cancelled");
    answer(who, schema::answer_done);
}

void dispatcher::count_pending(const waiter& who, const schema::count_pending& request)
{
    const auto* queue = router_.find(request.host(), request.path());
    if (store_.config().version() == 0 || queue == nullptr ||
        request.path() != queue->path_prefix())
    {
        answer(who,
               store_.config().version() == 0 ? schema::answer_not_ready : schema::answer_no_queue);
        return;
    }
    schema::front_answer out;
    out.set_kind(schema::answer_done);
    out.set_pending(static_cast<std::uint32_t>(board_.unstarted(queue->name())));
    send_answer(who, std::move(out));
}

// ---- configuration ----

void dispatcher::apply_config(const waiter& who, const schema::apply_fleet_config& request)
{
    const auto& config = request.config();
    if (config.version() <= store_.config().version())
    {
        answer(who, schema::answer_done, "not newer than the version in force");
        return;
    }
    schema::command command;
    *command.mutable_fleet_config() = config;
    if (const auto index = port_.propose(std::move(command)))
    {
        pending_changes_.push_back({*index, who});
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
    std::erase_if(pending_changes_,
                  [&](const pending_change& it)
                  {
                      if (it.index <= index)
                      {
                          answer(it.who, schema::answer_done);
                      }
                      return it.index <= index;
                  });
    for (auto& [host, it] : endpoints_.all())
    {
        it->registered = store_.hosts().contains(host);
        if (!it->registered && !it->peer.empty() && !it->joining)
        {
            register_host(*it);
        }
        if (it->registered && it->joining)
        {
            it->joining = false;
            place_due_ = true;
        }
    }
}

// ---- jobs ----

void dispatcher::end_job(std::uint64_t id, schema::answer_kind kind, const std::string& why)
{
    auto* it = board_.find(id);
    assert(it != nullptr);
    std::uint32_t attempt = 0;
    for (std::uint32_t s = 0; s < it->steps.size(); ++s)
    {
        for (std::uint32_t n = 0; n < it->steps[s].tasks.size(); ++n)
        {
            const auto& what = it->steps[s].tasks[n];
            attempt = std::max(attempt, what.attempt);
            if (what.now == task::state::out)
            {
                if (auto* place = endpoints_.find(what.host))
                {
                    stop_run(*place, {id, s, n}, what.attempt);
                }
            }
        }
    }
    const auto now = clock_.now();
    for (const auto& who : it->waiters)
    {
        if (kind == schema::answer_refused)
        {
            send_refusal(who, drain_time(), why);
        }
        else
        {
            answer(who, kind, why);
        }
    }
    events_.record("job_ended",
                   {{"submission", format_job_id(id)},
                    {"queue", it->queue.name()},
                    {"outcome", schema::answer_kind_Name(kind)},
                    {"reason", why},
                    {"ms", ms_text(now - it->arrived_at)},
                    {"wait_ms", ms_text(std::min(it->first_start_at, now) - it->arrived_at)},
                    {"late", now > it->objective_at ? "1" : "0"}});
    measures_
        .histogram_of("savoryreach_job_seconds",
                      "from the arrival of a job to its end, by queue and outcome",
                      {{"queue", it->queue.name()}, {"outcome", schema::answer_kind_Name(kind)}})
        .observe(absl::ToDoubleSeconds(now - it->arrived_at));
    // A refused job may be handed in again.
    const bool final = kind != schema::answer_refused && kind != schema::answer_unknown;
    ended_[id] = {final ? kind : schema::answer_unspecified, now + answer_kept_for, attempt};
    ended_order_.push_back(id);
    board_.remove(id);
    place_due_ = true;
}

void dispatcher::finish_if_done(job& it)
{
    if (std::ranges::all_of(it.steps, [](const step& of) { return of.open == 0; }))
    {
        ++counts_.completed;
        end_job(it.id, schema::answer_completed, "");
    }
}

bool dispatcher::may_start()
{
    settled_ = settled_ || std::ranges::none_of(endpoints_.all(), [](const auto& it)
                                                { return it.second->from_before; });
    return settled_;
}

double dispatcher::rate()
{
    const auto now = clock_.now();
    if (now < rate_until_)
    {
        return rate_;
    }
    double sum = 0.0;
    for (const auto& [host, it] : endpoints_.all())
    {
        if (it->is_usable() && it->health.allowed_runs(now) > 0)
        {
            constexpr double milli = 1000.0;
            constexpr double probed_share = 0.1; // one run at a time, of about ten
            const double share = it->health.allowed_runs(now) > 1 ? 1.0 : probed_share;
            sum += static_cast<double>(it->capacity.cpu_milli) / milli * speeds_.throughput(host) *
                   share;
        }
    }
    /// Shorter than what changes the rate: endpoints come and go within some 50 ms.
    constexpr absl::Duration rate_holds = absl::Milliseconds(10);
    rate_ = sum;
    rate_until_ = now + rate_holds;
    return sum;
}

bool dispatcher::drop_if_hopeless(const job& it)
{
    if (it.started || it.adopted || clock_.now() + it.chain <= it.useful_until)
    {
        return false;
    }
    ++counts_.refused;
    // Nothing has run here; of an earlier dispatcher's starts nothing is known.
    end_job(it.id, it.may_have_run ? schema::answer_unknown : schema::answer_refused,
            "it would end too late to be of use");
    return true;
}

void dispatcher::forget_index()
{
    index_.clear();
    index_until_ = absl::InfinitePast();
}

void dispatcher::place_tasks()
{
    if (!may_start())
    {
        return;
    }
    place_due_ = false;
    if (clock_.now() >= index_until_)
    {
        index_until_ = clock_.now() + watch_interval;
        index_.rebuild(endpoints_, speeds_);
    }
    absl::flat_hash_map<std::string, std::int64_t> full;
    for (const auto id : board_.waiting_order(clock_.now()))
    {
        auto& it = *board_.find(id);
        if (!drop_if_hopeless(it))
        {
            place_job(it, full);
        }
    }
}

/// \p full: by service, the least processor share for which no endpoint had room in this pass.
void dispatcher::place_job(job& it, absl::flat_hash_map<std::string, std::int64_t>& full)
{
    const auto now = clock_.now();
    const auto found = full.find(it.queue.service());
    auto limit = found == full.end() ? INT64_MAX : found->second;
    std::string placed;
    for (std::uint32_t s = 0; s < it.steps.size(); ++s)
    {
        auto& of = it.steps[s];
        for (std::uint32_t n = 0; n < of.tasks.size() && of.waiting > 0; ++n)
        {
            auto& what = of.tasks[n];
            if (!of.released || what.now != task::state::waiting || of.takes.cpu_milli >= limit ||
                under_way_.contains({it.id, s, n}))
            {
                continue;
            }
            const auto chosen = choose_endpoint(index_, speeds_, it, of, what, s, now);
            if (chosen.place != nullptr)
            {
                start(it, s, n, *chosen.place);
                absl::StrAppend(&placed, placed.empty() ? "" : " ", s, ".", n, "/", what.attempt,
                                "@", chosen.place->host);
            }
            else if (chosen.room_missing && what.avoided.empty() &&
                     of.spec.required_label().empty() && of.spec.max_per_endpoint() == 0)
            {
                limit = of.takes.cpu_milli;
                full[it.queue.service()] = limit;
            }
            else if (chosen.room_missing && !what.avoided.empty())
            {
                // Better the same endpoint again than none.
                what.avoided.clear();
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

void dispatcher::start(job& it, std::uint32_t step_number, std::uint32_t index, endpoint& place)
{
    const auto now = clock_.now();
    auto& of = it.steps[step_number];
    auto& what = of.tasks[index];
    const task_id id{it.id, step_number, index};
    what.now = task::state::out;
    what.host = place.host;
    ++what.attempt;
    board_.add_waiting(it, of, -1);
    run started;
    started.attempt = what.attempt;
    started.queue = it.queue.name();
    started.takes = of.takes;
    started.declared = of.declared;
    started.sent_at = now;
    started.confirmed_at = absl::InfiniteFuture();
    started.session = place.session;
    started.process = place.agent_process;
    add_run(place, id, started);
    if (!it.started)
    {
        measures_
            .histogram_of("savoryreach_job_wait_seconds",
                          "from the arrival of a job to its first start, by queue",
                          {{"queue", it.queue.name()}})
            .observe(absl::ToDoubleSeconds(now - it.arrived_at));
    }
    it.started = true;
    it.first_start_at = std::min(it.first_start_at, now);
    ++counts_.starts;
    auto& orders = orders_for(place);
    auto& order = *orders.add_starts();
    fill(*order.mutable_task(), id);
    order.set_attempt(what.attempt);
    order.set_cpu_milli(of.spec.cpu_milli());
    order.set_memory_mb(of.spec.memory_mb());
    order.set_gpu(of.spec.gpu());
    order.set_declared_ms(static_cast<std::uint32_t>(absl::ToInt64Milliseconds(of.declared)));
    const bool has_payload = std::ranges::any_of(orders.payloads(), [&it](const auto& sent)
                                                 { return sent.job() == it.id; });
    if (!has_payload)
    {
        auto& payload = *orders.add_payloads();
        payload.set_job(it.id);
        payload.set_payload(it.payload);
    }
}

// ---- time ----

void dispatcher::tick()
{
    if (!leading_)
    {
        return;
    }
    const auto now = clock_.now();
    if (now >= watch_at_)
    {
        watch_at_ = now + watch_interval;
        expire();
        watch_runs();
        place_due_ = place_due_ || board_.work_waiting() > 0.0;
    }
    if (place_due_)
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
        if (const auto* place = endpoints_.find(host); place != nullptr && !place->peer.empty())
        {
            port_.send_orders(place->peer, std::move(it));
        }
    }
}

dispatcher_counts dispatcher::counts() const
{
    auto out = counts_;
    out.jobs = board_.size();
    out.endpoints = endpoints_.all().size();
    return out;
}

} // namespace savoryreach::dispatch
