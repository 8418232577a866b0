#include "savoryreach/daemon/status_pages.hpp"

#include <absl/strings/str_cat.h>

namespace savoryreach::daemon
{
namespace
{

Json::Value number(std::uint64_t n)
{
    return Json::Value(Json::UInt64(n));
}

} // namespace

Json::Value to_json(const entry::entry_status& status)
{
    Json::Value out(Json::objectValue);
    out["epoch"] = number(status.epoch);
    out["config_revision"] = number(status.config_revision);
    out["jobs"] = number(status.jobs);
    out["waiting_tasks"] = number(status.waiting_tasks);
    out["agents"] = number(status.agents);
    out["submissions"] = number(status.submissions);
    out["joined"] = number(status.joined);
    out["refused"] = number(status.refused);
    out["completed"] = number(status.completed);
    out["failed"] = number(status.failed);
    out["starts"] = number(status.starts);
    out["retries"] = number(status.retries);
    out["frames_sent"] = number(status.frames_sent);
    out["frames_received"] = number(status.frames_received);
    return out;
}

Json::Value to_json(const agent::agent_status& status)
{
    Json::Value out(Json::objectValue);
    out["incarnation"] = number(status.incarnation);
    out["config_revision"] = number(status.config_revision);
    out["sessions"] = number(status.sessions);
    out["running"] = number(status.running);
    out["waiting"] = number(status.waiting);
    out["start_records"] = number(status.start_records);
    out["result_bytes"] = number(status.result_bytes);
    out["starts"] = number(status.starts);
    out["succeeded"] = number(status.succeeded);
    out["failed"] = number(status.failed);
    out["frames_sent"] = number(status.frames_sent);
    out["frames_received"] = number(status.frames_received);
    return out;
}

Json::Value to_json(const keeper::keeper_status& status)
{
    Json::Value out(Json::objectValue);
    out["role"] = status.role;
    out["leader"] = status.leader;
    out["term"] = number(status.term);
    out["last_index"] = number(status.last_index);
    out["commit_index"] = number(status.commit_index);
    out["applied_index"] = number(status.applied_index);
    out["config_revision"] = number(status.config_revision);
    out["claims"] = number(status.claims);
    out["entries"] = number(status.entries);
    out["agents"] = number(status.agents);
    return out;
}

std::string metrics_text(const std::string& role, const Json::Value& status)
{
    std::string out;
    for (const auto& name : status.getMemberNames())
    {
        if (status[name].isUInt64())
        {
            absl::StrAppend(&out, "savoryreach_", role, "_", name, " ", status[name].asUInt64(),
                            "\n");
        }
    }
    return out;
}

} // namespace savoryreach::daemon
