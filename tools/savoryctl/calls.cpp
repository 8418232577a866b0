#include "savoryreach/base/json_line.hpp"
#include "savoryreach/daemon/json_rpc.hpp"
#include "tools/savoryctl/command.hpp"

#include <absl/strings/str_cat.h>

#include <chrono>
#include <iostream>
#include <thread>

namespace savoryreach::savoryctl
{
namespace
{

using base::error_kind;

/// Rounds over all keepers before giving up; an election takes about 1 s.
constexpr int max_rounds = 20;
constexpr auto pause_between_rounds = std::chrono::milliseconds(200);
constexpr auto drain_poll_interval = std::chrono::milliseconds(500);

const char* advice_for(error_kind kind)
{
    switch (kind)
    {
    case error_kind::version_conflict:
        return "compare the two contents with `savoryctl diff`, then apply under a higher version";
    case error_kind::version_too_low:
        return "raise the version above the one in force";
    case error_kind::unreachable:
    case error_kind::not_leader:
        return "check --keepers and that a majority of keepers runs, then send the same call again";
    default:
        return "correct the input and call again";
    }
}

exit_code code_for(error_kind kind)
{
    switch (kind)
    {
    case error_kind::version_conflict:
    case error_kind::version_too_low:
        return exit_conflict;
    case error_kind::unreachable:
    case error_kind::not_leader:
        return exit_unreachable;
    case error_kind::storage_failed:
    case error_kind::internal:
        return exit_failed;
    default:
        return exit_bad_input;
    }
}

} // namespace

int report_failure(const base::reason& why)
{
    std::cerr << "savoryctl: " << base::traits_of(why.kind).name << ": " << why.text
              << "\nnext: " << advice_for(why.kind) << "\n";
    return code_for(why.kind);
}

int call_leader(const context& at, const std::string& method, const Json::Value& params,
                Json::Value& result)
{
    base::reason last{error_kind::unreachable, "no keeper is named; set --keepers"};
    for (int round = 0; round < max_rounds && !at.keepers.empty(); ++round)
    {
        for (const auto& it : at.keepers)
        {
            auto answer = daemon::json_rpc_client(it).call(method, params);
            if (auto* value = std::get_if<Json::Value>(&answer))
            {
                result = std::move(*value);
                return exit_ok;
            }
            last = std::get<base::reason>(answer);
            if (last.kind != error_kind::not_leader && last.kind != error_kind::unreachable)
            {
                return report_failure(last);
            }
        }
        std::this_thread::sleep_for(pause_between_rounds);
    }
    return report_failure(last);
}

int status(const context& at, const std::vector<std::string>&)
{
    Json::Value view;
    if (const int code = call_leader(at, "view", Json::objectValue, view); code != exit_ok)
    {
        return code;
    }
    if (at.as_json)
    {
        std::cout << view;
        return exit_ok;
    }
    const auto in_force = view["view"]["config_revision"].asString();
    std::cout << "configuration revision " << in_force << "\n";
    for (const auto& it : view["keepers"])
    {
        std::cout << "keeper " << it["name"].asString() << " voter=" << it["voter"].asString()
                  << " match_index=" << it["match_index"].asString() << "\n";
    }
    for (const auto& it : view["entries"])
    {
        const auto revision = it["config_revision"].asString();
        std::cout << "entry " << it["name"].asString() << " epoch=" << it["epoch"].asString()
                  << " config_revision=" << revision << (revision == in_force ? "" : " LAGS")
                  << " slowest_agent_revision=" << it["slowest_agent_revision"].asString()
                  << " lagging_agents=" << it["lagging_agents"].asString() << "\n";
    }
    return exit_ok;
}

int describe(const context& at, const std::string& subject)
{
    Json::Value params;
    params["subject"] = subject;
    for (const auto& it : at.nodes)
    {
        const auto answer = daemon::json_rpc_client(it).call("describe", params);
        if (const auto* why = std::get_if<base::reason>(&answer))
        {
            return report_failure(*why);
        }
        const auto& text = std::get<Json::Value>(answer);
        if (at.as_json)
        {
            Json::Value out;
            out["node"] = it;
            out[subject] = text;
            std::cout << base::json_line(out) << "\n";
        }
        else
        {
            std::cout << "node " << it << "\n" << text.asString();
        }
    }
    return exit_ok;
}

int drain(const context& at, const std::vector<std::string>&)
{
    for (const auto& it : at.nodes)
    {
        bool drained = false;
        while (!drained)
        {
            const auto answer = daemon::json_rpc_client(it).call("drain", Json::objectValue);
            if (const auto* why = std::get_if<base::reason>(&answer))
            {
                return report_failure(*why);
            }
            drained = std::get<Json::Value>(answer)["drained"].asBool();
            std::cout << it << (drained ? " drained\n" : " draining\n") << std::flush;
            if (!drained)
            {
                std::this_thread::sleep_for(drain_poll_interval);
            }
        }
    }
    return exit_ok;
}

int cancel(const context& at, const std::vector<std::string>& words)
{
    if (words.size() != 1 || at.nodes.empty())
    {
        std::cerr << "savoryctl: cancel takes one submission id and --nodes=IP:PORT of an entry\n";
        return exit_usage;
    }
    httplib::Client client(absl::StrCat("http://", at.nodes.front()));
    const auto res = client.Delete("/v1/jobs/" + words[0]);
    if (!res)
    {
        return report_failure({error_kind::unreachable, at.nodes.front()});
    }
    std::cout << res->body;
    return exit_ok;
}

int change_keepers(const context& at, const std::vector<std::string>& words)
{
    const bool adds = words.size() == 3 && words[0] == "add";
    const bool removes = words.size() == 2 && words[0] == "remove";
    if (!adds && !removes)
    {
        std::cerr << "savoryctl: keepers add NAME IP:PORT | keepers remove NAME\n";
        return exit_usage;
    }
    Json::Value params;
    params["name"] = words[1];
    params["address"] = adds ? words[2] : "";
    params["remove"] = removes;
    Json::Value result;
    const int code = call_leader(at, "change_keepers", params, result);
    if (code == exit_ok)
    {
        std::cout << (adds ? "added " : "removed ") << words[1]
                  << "; watch `savoryctl status` until it is a voter\n";
    }
    return code;
}

} // namespace savoryreach::savoryctl
