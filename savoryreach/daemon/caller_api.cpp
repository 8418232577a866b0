#include "savoryreach/daemon/caller_api.hpp"

#include "savoryreach/base/system_clock.hpp"
#include "savoryreach/daemon/submission_json.hpp"

#include <absl/strings/str_cat.h>

namespace savoryreach::daemon
{
namespace
{

/// The core answers within the job's time budget; the margin lets the answer reach this thread.
constexpr auto response_margin = absl::Seconds(2);
/// Time to answer a lookup, a cancellation or a submission that does not wait for its job.
constexpr auto short_request_timeout = absl::Seconds(5);
constexpr int status_accepted = 202;

void write_answer(const schema::job_answer& answer, httplib::Response& res)
{
    res.status = 200;
    if (answer.state() == schema::job_state_running)
    {
        res.status = status_accepted;
    }
    if (answer.state() == schema::job_state_failed)
    {
        const auto kind = base::error_kind_from(answer.error_kind());
        res.status = base::traits_of(kind).http_status;
        if (answer.retry_after_ms() > 0)
        {
            constexpr std::uint32_t ms_per_s = 1000;
            res.set_header("Retry-After",
                           std::to_string((answer.retry_after_ms() + ms_per_s - 1) / ms_per_s));
        }
    }
    res.set_content(answer_to_json(answer), "application/json");
}

} // namespace

caller_api::caller_api(http_server& server, control_loop& loop, entry::entry_core& core,
                       answer_waiters& waiters)
    : loop_(loop), core_(core), waiters_(waiters)
{
    auto& routes = server.routes();
    routes.Post("/v1/jobs", [this](const httplib::Request& req, httplib::Response& res)
                { post_job(req, res); });
    routes.Get(R"(/v1/jobs/(.+))",
               [this](const httplib::Request& req, httplib::Response& res) { get_job(req, res); });
    routes.Delete(R"(/v1/jobs/(.+))", [this](const httplib::Request& req, httplib::Response& res)
                  { delete_job(req, res); });
    // Called for too large bodies, unknown paths and malformed requests, which no handler has
    // served.
    routes.set_error_handler(
        [](const httplib::Request&, httplib::Response& res)
        {
            if (!res.body.empty())
            {
                return;
            }
            const auto kind =
                res.status == 413 ? base::error_kind::too_large : base::error_kind::not_found;
            const auto status = res.status;
            write_answer(refused_answer("", {kind, absl::StrCat("HTTP status ", status)}), res);
            res.status = status;
        });
}

void caller_api::post_job(const httplib::Request& req, httplib::Response& res)
{
    submission_reader reader;
    auto submission = reader.read(req.body);
    if (!submission)
    {
        write_answer(refused_answer("", reader.last_reason()), res);
        return;
    }
    const bool wait = req.get_header_value("Prefer") != "respond-async";
    const auto answer_by =
        base::steady_now() +
        (wait ? absl::Milliseconds(submission->time_budget_ms()) : short_request_timeout);
    const auto id = submission->submission_id();
    const auto request_id = waiters_.open();
    const bool posted =
        loop_.try_post([this, request_id, wait, answer_by, job = std::move(*submission)]
                       { core_.submit(request_id, job, wait, answer_by); });
    if (!posted)
    {
        waiters_.answer(request_id, refused_answer(id, {base::error_kind::queue_full,
                                                        "the entry's event queue is full"}));
    }
    wait_and_respond(request_id, id, answer_by + response_margin, res);
}

void caller_api::get_job(const httplib::Request& req, httplib::Response& res)
{
    const std::string id = req.matches[1];
    const auto request_id = waiters_.open();
    loop_.post([this, request_id, id] { core_.lookup(request_id, id); });
    wait_and_respond(request_id, id, base::steady_now() + short_request_timeout, res);
}

void caller_api::delete_job(const httplib::Request& req, httplib::Response& res)
{
    const std::string id = req.matches[1];
    const auto request_id = waiters_.open();
    loop_.post([this, request_id, id] { core_.cancel(request_id, id); });
    wait_and_respond(request_id, id, base::steady_now() + short_request_timeout, res);
}

void caller_api::wait_and_respond(std::uint64_t request_id, const std::string& submission_id,
                                  absl::Time deadline, httplib::Response& res)
{
    const auto answer = waiters_.wait(request_id, deadline);
    if (!answer)
    {
        loop_.post([this, request_id] { core_.caller_disconnected(request_id); });
        write_answer(refused_answer(submission_id, {base::error_kind::unreachable,
                                                    "no answer within the request's deadline"}),
                     res);
        return;
    }
    write_answer(*answer, res);
}

} // namespace savoryreach::daemon
