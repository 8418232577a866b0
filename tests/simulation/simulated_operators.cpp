#include "tests/simulation/simulated_operators.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace savoryreach::simulation
{
namespace
{

constexpr absl::Duration max_pause = absl::Seconds(3);
constexpr absl::Duration resend_interval = absl::Milliseconds(300);

} // namespace

simulated_operators::simulated_operators(simulated_cluster& cluster) : cluster_(cluster)
{
    for (const std::string name : {"o1", "o2"})
    {
        calls_[name] = {};
        cluster_.network().attach(base::node_name(name),
                                  [this, name](const base::node_name&, const auto& message)
                                  { receive(name, message); });
        schedule(name);
    }
}

void simulated_operators::set_applying(bool is_applying)
{
    is_applying_ = is_applying;
}

void simulated_operators::apply_now()
{
    for (const auto& [name, it] : calls_)
    {
        if (it.id == 0)
        {
            apply(name);
            return;
        }
    }
}

void simulated_operators::schedule(const std::string& name)
{
    cluster_.timers().after(max_pause * cluster_.random().unit(),
                            [this, name]
                            {
                                if (is_applying_ && calls_.at(name).id == 0)
                                {
                                    apply(name);
                                }
                                schedule(name);
                            });
}

schema::declaration simulated_operators::draw_declaration()
{
    auto& random = cluster_.random();
    schema::declaration it;
    it.set_schema_version(1);
    const auto weight = static_cast<std::uint32_t>(1 + random.below(10));
    switch (random.below(3))
    {
    case 0:
        it.set_name("kind-proof");
        it.mutable_kind_policy()->set_kind("proof");
        it.mutable_kind_policy()->set_weight(weight);
        it.mutable_kind_policy()->set_urgency_bound_ms(100);
        break;
    case 1:
        it.set_name("team-one");
        it.mutable_team_quota()->set_team("team1");
        it.mutable_team_quota()->set_weight(weight);
        break;
    default:
        it.set_name("endpoints");
        it.mutable_endpoint_policy()->set_retry_budget_percent(10 + weight);
        it.mutable_endpoint_policy()->set_max_set_aside_percent(30);
        break;
    }
    it.set_version(versions_[it.name()] + 1);
    const auto known = last_.find(it.name());
    // Sometimes an accepted declaration again, or one of an older version.
    if (known != last_.end() && random.below(4) == 0)
    {
        return known->second;
    }
    if (random.below(10) == 0 && it.version() > 2)
    {
        it.set_version(it.version() - 2);
    }
    return it;
}

void simulated_operators::apply(const std::string& name)
{
    auto& it = calls_.at(name);
    it.id = ++last_id_;
    it.declaration = draw_declaration();
    it.sendings = 0;
    send(name);
}

void simulated_operators::send(const std::string& name)
{
    auto& it = calls_.at(name);
    const auto id = it.id;
    schema::envelope message;
    auto& request = *message.mutable_keeper_request();
    request.set_request_id(id);
    request.set_sender(name);
    *request.mutable_apply_config()->mutable_declaration() = it.declaration;
    const auto& keepers = cluster_.keepers();
    cluster_.network().send(base::node_name(name),
                            base::node_name(keepers[(id + it.sendings++) % keepers.size()]),
                            std::move(message));
    cluster_.timers().after(resend_interval,
                            [this, name, id]
                            {
                                if (calls_.at(name).id == id)
                                {
                                    send(name);
                                }
                            });
}

void simulated_operators::receive(const std::string& name, const schema::envelope& message)
{
    auto& it = calls_.at(name);
    const auto& reply = message.keeper_reply();
    if (!message.has_keeper_reply() || reply.request_id() != it.id || reply.not_leader() ||
        !reply.has_apply_config())
    {
        return;
    }
    const auto declaration = it.declaration;
    it.id = 0;
    auto& version = versions_[declaration.name()];
    version = std::max(version, declaration.version());
    const auto& outcome = reply.apply_config();
    cluster_.journal().note(
        absl::StrCat("operator ", name, " declaration=", declaration.name(),
                     " version=", declaration.version(), " accepted=", outcome.accepted(),
                     " revision=", outcome.config_revision(), " ", outcome.reason()));
    if (!outcome.accepted())
    {
        ++refused_;
        return;
    }
    ++accepted_;
    cluster_.ledger_checker().accepted(declaration, outcome.config_revision());
    auto& last = last_[declaration.name()];
    if (last.version() <= declaration.version())
    {
        last = declaration;
    }
    last_revision_ = std::max(last_revision_, outcome.config_revision());
}

} // namespace savoryreach::simulation
