#include "savoryreach/config/declaration.hpp"
#include "savoryreach/keeper/keeper_service.hpp"
#include "savoryreach/keeper/keeper_times.hpp"

namespace savoryreach::keeper
{
namespace
{

/// Limits the memory of requests in progress; further requests are dropped and their senders
/// resend them.
constexpr std::size_t max_in_progress = 65'536;

} // namespace

void keeper_service::on_request(const base::node_name& from, const schema::keeper_request& request)
{
    const request_key key{from, request.request_id()};
    update_leadership();
    if (draining_ || !log_.can_serve())
    {
        reply_not_leader(key);
        return;
    }
    if (in_progress_.contains(key))
    {
        return;
    }
    bool should_reply = true;
    schema::keeper_reply out;
    switch (request.body_case())
    {
    case schema::keeper_request::kRenewEntry:
        out = handle_renew_entry(request.renew_entry(), should_reply);
        break;
    case schema::keeper_request::kRenewAgent:
        out = handle_renew_agent(request.renew_agent());
        break;
    case schema::keeper_request::kView:
        out = handle_view_request(request.view());
        break;
    case schema::keeper_request::kFenceInfo:
        *out.mutable_fence_info() = ledger_.fence_info(request.fence_info().epoch());
        break;
    default:
        should_reply = false;
        if (in_progress_.size() < max_in_progress)
        {
            on_proposal(key, request);
        }
        break;
    }
    if (should_reply)
    {
        reply(key, std::move(out));
    }
}

void keeper_service::on_proposal(const request_key& key, const schema::keeper_request& request)
{
    schema::command command;
    switch (request.body_case())
    {
    case schema::keeper_request::kClaims:
        on_claims(key, request.claims());
        return;
    case schema::keeper_request::kApplyConfig:
        on_config(key, request.apply_config());
        return;
    case schema::keeper_request::kChangeKeepers:
        on_change_keepers(key, request.change_keepers());
        return;
    case schema::keeper_request::kJoinEntry:
        *command.mutable_join_entry() = request.join_entry();
        break;
    case schema::keeper_request::kLeaveEntry:
        *command.mutable_leave_entry() = request.leave_entry();
        break;
    case schema::keeper_request::kRegisterAgent:
        *command.mutable_register_agent() = request.register_agent();
        break;
    case schema::keeper_request::kLeaveAgent:
        *command.mutable_leave_agent() = request.leave_agent();
        break;
    case schema::keeper_request::kFinishes:
        *command.mutable_finishes() = request.finishes();
        break;
    default:
        return; // empty, or of an unknown kind from a later version
    }
    propose_for(key, std::move(command));
}

void keeper_service::on_claims(const request_key& key, const schema::claim_batch& batch)
{
    if (batcher_.add(key, batch))
    {
        in_progress_.insert(key);
    }
}

void keeper_service::on_config(const request_key& key, const schema::apply_config& apply)
{
    if (const auto error = config::validate(apply.declaration()))
    {
        schema::keeper_reply out;
        out.mutable_apply_config()->set_error_kind(static_cast<std::uint32_t>(error->kind));
        out.mutable_apply_config()->set_reason(error->text);
        reply(key, std::move(out));
        return;
    }
    schema::command command;
    *command.mutable_apply_config() = apply;
    propose_for(key, std::move(command));
}

void keeper_service::on_change_keepers(const request_key& key, const schema::change_keepers& change)
{
    std::string reason;
    const auto index = log_.change_members(change, reason);
    if (index && *index > log_.applied_index())
    {
        in_progress_.insert(key);
        pending_replies_[*index].emplace_back(key, 0);
        return;
    }
    schema::keeper_reply out;
    out.mutable_change_keepers()->set_accepted(index.has_value());
    out.mutable_change_keepers()->set_reason(reason);
    reply(key, std::move(out));
}

schema::keeper_reply keeper_service::handle_renew_entry(const schema::renew_entry& renewal,
                                                        bool& should_reply)
{
    schema::keeper_reply out;
    auto& renew = *out.mutable_renew();
    if (ledger_.epochs().status(renewal.epoch()) != epoch_status::live)
    {
        renew.set_fenced(true);
        return out;
    }
    // While the expiry is proposed but not applied, no reply is sent: the epoch has no lease and is
    // not fenced yet.
    should_reply = leases_.renew_entry(renewal.epoch(), ports_.clock.now());
    leases_.record_report(renewal);
    renew.set_lease_ms(static_cast<std::uint32_t>(absl::ToInt64Milliseconds(entry_lease_time)));
    *renew.mutable_view() =
        ledger_.view_since(renewal.membership_revision(), renewal.config_revision());
    return out;
}

schema::keeper_reply keeper_service::handle_renew_agent(const schema::renew_agent& renewal)
{
    schema::keeper_reply out;
    auto& renew = *out.mutable_renew_agent();
    if (!ledger_.agents().is_registered(renewal.name(), renewal.incarnation()))
    {
        renew.set_expired(true);
        return out;
    }
    leases_.renew_agent(renewal.name(), renewal.incarnation(), ports_.clock.now());
    *renew.mutable_view() = ledger_.membership_view();
    return out;
}

schema::keeper_reply keeper_service::handle_view_request(const schema::view_request& request) const
{
    schema::keeper_reply out;
    auto& view = *out.mutable_view();
    *view.mutable_view() =
        ledger_.view_since(request.membership_revision(), request.config_revision());
    for (const auto epoch : ledger_.epochs().live())
    {
        const auto& renewal = leases_.last_renewal(epoch);
        auto& entry = *view.add_entries();
        entry.set_name(ledger_.epochs().find(epoch)->join().name());
        entry.set_epoch(epoch);
        entry.set_config_revision(renewal.config_revision());
        entry.set_slowest_agent_revision(renewal.slowest_agent_revision());
        entry.set_lagging_agents(renewal.lagging_agents());
    }
    for (const auto& member : log_.members().current().members())
    {
        auto& keeper = *view.add_keepers();
        keeper.set_name(member.name());
        keeper.set_voter(member.voter());
        keeper.set_match_index(log_.match_index(member.name()));
    }
    return out;
}

} // namespace savoryreach::keeper
