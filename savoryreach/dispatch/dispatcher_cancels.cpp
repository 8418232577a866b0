// Cancels of jobs and questions for them, which may come before the dispatcher knows all jobs.

#include "savoryreach/dispatch/dispatcher.hpp"

#include <algorithm>

namespace savoryreach::dispatch
{
namespace
{

bool has_job_id(const std::string& path, const std::string& prefix)
{
    std::uint64_t id = 0;
    return parse_job_id(path, prefix, id);
}

} // namespace

void dispatcher::cancel(const request_ref& origin, const schema::cancel_job& request)
{
    const job_address address{request.host(), request.path()};
    const auto* known = jobs_.find(address.host, address.path);
    auto kind = known != nullptr || !knows_all_jobs() ? schema::answer_done : schema::answer_gone;
    if (known != nullptr)
    {
        ++counts_.cancelled;
        end_job(known->id, schema::answer_failed, "cancelled");
    }
    else if (const auto* queue = router_.find(address.host, address.path);
             queue == nullptr || !has_job_id(address.path, queue->path_prefix()))
    {
        answer(origin, schema::answer_gone);
        return;
    }
    for (const auto& it : pending_cancels_)
    {
        if (it.origin == origin)
        {
            return; // a copy
        }
        kind = it.job == address ? it.kind : kind;
    }
    if (known == nullptr)
    {
        events_.record("cancel_unknown",
                       {{"path", address.path}, {"answer", schema::answer_kind_Name(kind)}});
    }
    if (store_.is_cancelled(address))
    {
        answer(origin, kind);
        return;
    }
    schema::command command;
    *command.mutable_cancel_job() = request;
    if (const auto index = port_.propose(std::move(command)))
    {
        pending_cancels_.push_back({*index, origin, address, kind});
    }
}

bool dispatcher::is_cancelled(const job_address& it) const
{
    return store_.is_cancelled(it) ||
           std::ranges::find(pending_cancels_, it, &pending_cancel::job) != pending_cancels_.end();
}

bool dispatcher::knows_all_jobs() const
{
    return prior_runs_.are_listed() && clock_.now() >= orphans_expire_at_;
}

void dispatcher::find_job(const request_ref& origin, const schema::find_job& request)
{
    if (jobs_.find(request.host(), request.path()) != nullptr)
    {
        answer(origin, schema::answer_done);
    }
    else if (knows_all_jobs())
    {
        answer(origin, schema::answer_gone);
    }
    // Otherwise the front repeats the request.
}

void dispatcher::stop_orphans(std::uint64_t id)
{
    for (auto& [host, it] : endpoints_.all())
    {
        for (auto run = it->runs.lower_bound({id, 0, 0});
             run != it->runs.end() && run->first.job == id; ++run)
        {
            if (!run->second.stopping)
            {
                stop_run(*it, run->first, run->second.attempt);
            }
        }
    }
}

} // namespace savoryreach::dispatch
