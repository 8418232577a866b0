#include "savoryreach/entry/entry_state.hpp"

#include "savoryreach/entry/answers.hpp"

#include <algorithm>
#include <utility>

namespace savoryreach::entry
{
namespace
{

constexpr std::size_t default_max_jobs = 100'000;

std::size_t max_jobs(const schema::entry_settings& settings)
{
    return settings.max_jobs() != 0 ? settings.max_jobs() : default_max_jobs;
}

} // namespace

entry_core::state::state(const schema::entry_settings& settings, entry_ports ports)
    : context(settings, ports), keepers(context), members(context, keepers, membership_hooks()),
      jobs(max_jobs(settings)), agents(context, members, endpoints, agent_hooks()),
      claims(
          context, keepers,
          [this](const schema::claim& claim, const schema::claim_result& result)
          { lifecycle.claim_answered(claim, result); },
          [this](const std::string& id) { lifecycle.finish_acknowledged(id); }),
      starts(shared_parts(), [this](job& it) { return lifecycle.refuse_if_late(it); }),
      results(shared_parts(), result_hooks()),
      takeovers(context, members, keepers, jobs, results, recovery_hooks()),
      policy(shared_parts(), routes),
      lifecycle({shared_parts(), routes, claims, starts, takeovers, policy}, lifecycle_hooks()),
      forwards(context, members, routes, forward_hooks())
{
}

dispatcher::dependencies entry_core::state::shared_parts()
{
    return {context, members, jobs, agents, queue, endpoints, retries};
}

membership::hooks entry_core::state::membership_hooks()
{
    return {
        [this] { joined(); },
        [this] { fenced(); },
        [this] { lifecycle.lease_lost(); },
        [this]
        {
            routes.update(members.members(), context.now());
            policy.view_changed();
        },
        [this](const schema::declaration& declaration) { policy.apply(declaration); },
    };
}

agent_table::hooks entry_core::state::agent_hooks()
{
    return {
        [this](agent_link& link, const schema::session_item& item) { results.receive(link, item); },
        [this](agent_link& link) { results.agent_lost(link); },
        [this](const std::vector<std::string>& kinds)
        {
            if (kinds.empty())
            {
                return static_cast<std::uint32_t>(queue.waiting());
            }
            std::size_t waiting = 0;
            for (const auto& kind : kinds)
            {
                waiting += queue.waiting(kind);
            }
            return static_cast<std::uint32_t>(waiting);
        },
    };
}

task_results::hooks entry_core::state::result_hooks()
{
    return {
        [this](job& it) { lifecycle.task_ended(it); },
        [this](job& it, const base::reason& why) { lifecycle.fail(it, why); },
    };
}

recovery::hooks entry_core::state::recovery_hooks()
{
    return {[this](job& it)
            {
                lifecycle.resume(it);
            }};
}

job_lifecycle::hooks entry_core::state::lifecycle_hooks()
{
    return {
        [this](const job_waiter& waiter, const schema::job_answer& answer)
        { deliver(waiter, answer); },
        [this](const job_waiter& waiter, const schema::submission& submission,
               const base::node_name& owner)
        {
            if (!waiter.entry.empty())
            {
                redirect(waiter.entry, waiter.request_id, owner);
                return;
            }
            forwards.start({request_kind::submit, waiter.request_id, submission,
                            !waiter.respond_now, waiter.answer_by, waiter.hops},
                           owner, true);
        },
    };
}

forwarding::hooks entry_core::state::forward_hooks()
{
    return {
        [this](std::uint64_t request_id, const schema::job_answer& answer)
        { context.ports.callers.answer(request_id, answer); },
        [this](caller_request request) { handle(std::move(request)); },
    };
}

void entry_core::state::joined()
{
    routes.restart(members.members(), members.has_predecessors(), context.now());
    policy.view_changed();
    claims.restart(members.epoch());
}

void entry_core::state::fenced()
{
    lifecycle.epoch_ended();
    results.clear();
    agents.clear();
    claims.restart(0);
}

base::node_name entry_core::state::remote_home(const std::string& submission_id, std::uint32_t hops)
{
    const auto home = routes.home_of(submission_id);
    const bool is_here = !home || home->name == context.self || hops >= forwarding::hops_to_owner;
    return is_here ? base::node_name() : home->name;
}

base::node_name entry_core::state::successor(const std::string& submission_id, std::uint32_t hops)
{
    if (!lifecycle.is_draining() || hops >= forwarding::hops_to_owner ||
        routes.had_other_home_without(context.self, submission_id, context.now()))
    {
        return {};
    }
    const auto next = routes.home_without(context.self, submission_id);
    if (!next)
    {
        return {};
    }
    lifecycle.mark_run_elsewhere(submission_id);
    return next->name;
}

bool entry_core::state::refuse_draining(const std::string& submission_id, const job_waiter& waiter)
{
    const bool has_no_successor =
        !routes.home_without(context.self, submission_id) &&
        !routes.had_other_home_without(context.self, submission_id, context.now());
    if (!lifecycle.is_draining() || has_no_successor)
    {
        return false;
    }
    // The successor returned the request, or the successor has just changed. A third entry may
    // accept the next copy at any time, so this entry cannot claim that nothing runs.
    const auto why =
        make_refusal(base::error_kind::draining, "the entry is draining", context.ports.random);
    ++context.counters.refused;
    deliver(waiter,
            error_answer(submission_id, why.reason, base::not_run::unknown, why.retry_after));
    return true;
}

bool entry_core::state::check_ready(const std::string& submission_id, const job_waiter& waiter)
{
    if (members.has_lease() && !members.is_leaving())
    {
        return true;
    }
    // Another entry may already run the job, so this entry cannot claim that nothing ran.
    const auto why =
        members.is_leaving() || members.has_left()
            ? make_refusal(base::error_kind::draining, "the entry is leaving", context.ports.random)
            : make_refusal(base::error_kind::not_ready, "the entry has no lease",
                           context.ports.random);
    ++context.counters.refused;
    deliver(waiter,
            error_answer(submission_id, why.reason, base::not_run::unknown, why.retry_after));
    return false;
}

void entry_core::state::handle(caller_request request)
{
    const auto& id = request.submission.submission_id();
    const job_waiter waiter{base::node_name(), request.request_id, request.answer_by, !request.wait,
                            request.hops};
    if (!lifecycle.knows(id))
    {
        if (!check_ready(id, waiter))
        {
            return;
        }
        const auto home = remote_home(id, request.hops);
        const auto next = successor(id, request.hops);
        if (!home.empty() || !next.empty())
        {
            forwards.start(std::move(request), home.empty() ? next : home, home.empty());
            return;
        }
        if (refuse_draining(id, waiter))
        {
            return;
        }
    }
    handle_locally(std::move(request), waiter);
}

void entry_core::state::handle_locally(caller_request request, const job_waiter& waiter)
{
    switch (request.kind)
    {
    case request_kind::submit:
        lifecycle.submit(std::move(request.submission), waiter);
        break;
    case request_kind::lookup:
        lifecycle.lookup(request.submission.submission_id(), waiter);
        break;
    case request_kind::cancel:
        lifecycle.cancel(request.submission.submission_id(), waiter);
        break;
    }
}

void entry_core::state::handle_by_id(request_kind kind, std::uint64_t request_id,
                                     const std::string& submission_id)
{
    caller_request request;
    request.kind = kind;
    request.request_id = request_id;
    request.submission.set_submission_id(submission_id);
    request.answer_by = context.now() + short_request_timeout;
    handle(std::move(request));
}

void entry_core::state::deliver(const job_waiter& waiter, const schema::job_answer& answer)
{
    if (waiter.entry.empty())
    {
        context.ports.callers.answer(waiter.request_id, answer);
        return;
    }
    refused.remember(waiter.entry, waiter.request_id, answer, context.now());
    schema::envelope message;
    message.mutable_forward_answer()->set_request_id(waiter.request_id);
    *message.mutable_forward_answer()->mutable_answer() = answer;
    context.send(waiter.entry, std::move(message));
}

void entry_core::state::redirect(const base::node_name& to, std::uint64_t request_id,
                                 const base::node_name& owner, std::uint32_t hops)
{
    schema::envelope message;
    message.mutable_forward_answer()->set_request_id(request_id);
    message.mutable_forward_answer()->set_owner(owner.value());
    message.mutable_forward_answer()->set_hops(hops);
    context.send(to, std::move(message));
}

void entry_core::state::receive_submit(const base::node_name& from,
                                       const schema::forward_submit& message)
{
    const auto& id = message.submission().submission_id();
    const job_waiter waiter{from, message.request_id(),
                            context.now() + absl::Milliseconds(message.remaining_ms()),
                            message.respond_now(), message.hops()};
    if (const auto answer = refused.find(from, message.request_id(), context.now()))
    {
        deliver(waiter, *answer);
        return;
    }
    if (message.takes_over())
    {
        lifecycle.claimed_by_new_home(id);
        lifecycle.lookup(id, waiter);
        return;
    }
    if (!lifecycle.knows(id))
    {
        if (!check_ready(id, waiter))
        {
            return;
        }
        const auto home = remote_home(id, message.hops());
        const auto next = successor(id, message.hops());
        if (!home.empty() || !next.empty())
        {
            redirect(from, message.request_id(), home.empty() ? next : home,
                     home.empty() ? forwarding::hops_to_owner : 0);
            return;
        }
        if (refuse_draining(id, waiter))
        {
            return;
        }
    }
    if (message.lookup_only())
    {
        lifecycle.lookup(id, waiter);
        return;
    }
    lifecycle.submit(message.submission(), waiter);
}

void entry_core::state::receive_cancel(const base::node_name& from,
                                       const schema::forward_cancel& message)
{
    const auto& id = message.submission_id();
    const job_waiter waiter{from, message.request_id(), context.now() + short_request_timeout,
                            false, message.hops()};
    if (!lifecycle.knows(id))
    {
        const auto home = remote_home(id, message.hops());
        const auto next = successor(id, message.hops());
        if (!home.empty() || !next.empty())
        {
            redirect(from, message.request_id(), home.empty() ? next : home,
                     home.empty() ? forwarding::hops_to_owner : 0);
            return;
        }
    }
    lifecycle.cancel(id, waiter);
}

void entry_core::state::receive(const base::node_name& from, const schema::envelope& message)
{
    ++context.counters.frames_received;
    switch (message.body_case())
    {
    case schema::envelope::kForwardSubmit:
        receive_submit(from, message.forward_submit());
        break;
    case schema::envelope::kForwardAnswer:
        if (!lifecycle.former_home_answered(message.forward_answer()))
        {
            forwards.receive(from, message.forward_answer());
        }
        break;
    case schema::envelope::kForwardCancel:
        receive_cancel(from, message.forward_cancel());
        break;
    case schema::envelope::kSession:
        agents.receive_frame(from, message.session());
        break;
    case schema::envelope::kAgentHello:
        agents.receive_hello(from, message.agent_hello());
        break;
    case schema::envelope::kInquiryReply:
        takeovers.receive(from, message.inquiry_reply());
        break;
    case schema::envelope::kKeeperReply:
        keepers.receive(message.keeper_reply());
        break;
    case schema::envelope::kViewPush:
        members.receive_pushed_view(message.view_push().view());
        break;
    default:
        break;
    }
}

void entry_core::state::tick()
{
    members.tick([this] { return agents.progress(); });
    keepers.tick();
    agents.tick();
    takeovers.tick();
    results.tick();
    lifecycle.tick();
    forwards.tick();
    starts.tick();
    claims.tick();
    agents.flush();
    leave_when_idle();
}

void entry_core::state::leave_when_idle()
{
    if (jobs.open_jobs() > 0 || !claims.is_idle() || forwards.size() > 0)
    {
        last_busy_at_ = context.now();
    }
    if (lifecycle.is_draining() && last_busy_at_ + drain_linger <= context.now())
    {
        members.leave();
    }
}

entry_status entry_core::state::status() const
{
    auto status = context.counters;
    status.epoch = members.epoch();
    status.config_revision = members.config_revision();
    status.jobs = jobs.open_jobs();
    status.waiting_tasks = queue.waiting();
    status.agents = agents.live_agents();
    return status;
}

} // namespace savoryreach::entry
