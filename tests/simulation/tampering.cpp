#include "tests/simulation/tampering.hpp"

namespace savoryreach::simulation
{

schema::cluster_view* view_in(schema::envelope& message)
{
    switch (message.body_case())
    {
    case schema::envelope::kViewPush:
        return message.mutable_view_push()->mutable_view();
    case schema::envelope::kAgentHelloReply:
        return message.mutable_agent_hello_reply()->mutable_view();
    case schema::envelope::kKeeperReply:
        break;
    default:
        return nullptr;
    }
    auto& reply = *message.mutable_keeper_reply();
    switch (reply.body_case())
    {
    case schema::keeper_reply::kJoin:
        return reply.mutable_join()->mutable_view();
    case schema::keeper_reply::kRenew:
        return reply.mutable_renew()->mutable_view();
    case schema::keeper_reply::kView:
        return reply.mutable_view()->mutable_view();
    case schema::keeper_reply::kRegisterAgent:
        return reply.mutable_register_agent()->mutable_view();
    case schema::keeper_reply::kRenewAgent:
        return reply.mutable_renew_agent()->mutable_view();
    default:
        return nullptr;
    }
}

bool tampering::is_active() const
{
    return broken_ == breakage::altered_output || broken_ == breakage::altered_view ||
           broken_ == breakage::altered_append || broken_ == breakage::withheld_config;
}

void tampering::alter(const std::string& to, schema::envelope& message) const
{
    if (broken_ == breakage::altered_output && message.has_session())
    {
        for (auto& item : *message.mutable_session()->mutable_items())
        {
            if (item.has_result() && !item.result().output().empty())
            {
                item.mutable_result()->mutable_output()->append("?");
            }
        }
    }
    if (broken_ == breakage::altered_append && to == "k1" && message.has_append_request())
    {
        for (auto& entry : *message.mutable_append_request()->mutable_entries())
        {
            if (entry.command().has_claims() && entry.command().claims().claims_size() > 0)
            {
                entry.mutable_command()->mutable_claims()->mutable_claims(0)->set_submission_id(
                    "altered");
            }
        }
    }
    auto* view = view_in(message);
    if (view == nullptr)
    {
        return;
    }
    if (broken_ == breakage::altered_view && to == "e1")
    {
        for (auto& it : *view->mutable_config())
        {
            it.mutable_declaration()->mutable_kind_policy()->set_weight(999);
        }
    }
    if (broken_ == breakage::withheld_config && to == "a1")
    {
        view->clear_config();
        view->set_config_revision(0);
    }
}

} // namespace savoryreach::simulation
