#include "savoryreach/daemon/http_endpoint.hpp"

#include "savoryreach/base/system_clock.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace savoryreach::daemon
{
namespace
{

using result = agent::run_outcome::result;

constexpr auto connect_timeout = std::chrono::seconds(1);
/// A connection attempt that timed out has sent nothing, so even a task that must run at most once
/// may be sent again.
constexpr int max_connect_attempts = 3;

httplib::Headers headers_of(const agent::run_request& request, absl::Duration limit)
{
    return {{"X-Savoryreach-Submission", request.attempt.submission_id},
            {"X-Savoryreach-Task", std::to_string(request.attempt.task)},
            {"X-Savoryreach-Attempt", std::to_string(request.attempt.attempt)},
            {"X-Savoryreach-Kind", request.kind},
            {"X-Savoryreach-Run-Limit-Ms", std::to_string(absl::ToInt64Milliseconds(limit))}};
}

bool is_connect_timeout(const httplib::Result& res)
{
    return !res && res.error() == httplib::Error::ConnectionTimeout;
}

} // namespace

http_endpoint::http_endpoint(std::string ip, int port, std::size_t slots, end_handler on_end)
    : ip_(std::move(ip)), port_(port), on_end_(std::move(on_end))
{
    for (std::size_t n = 0; n < slots; ++n)
    {
        threads_.emplace_back([this] { run_worker(); });
    }
}

http_endpoint::~http_endpoint()
{
    close();
}

void http_endpoint::close()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        for (const auto& [run_id, client] : running_)
        {
            client->stop();
        }
    }
    wake_.notify_all();
    for (auto& it : threads_)
    {
        it.join();
    }
    threads_.clear();
}

void http_endpoint::run(const agent::run_request& request)
{
    {
        const std::lock_guard lock(mutex_);
        queue_.push_back(request);
    }
    wake_.notify_one();
}

void http_endpoint::stop(std::uint64_t run_id)
{
    const std::lock_guard lock(mutex_);
    const auto it = running_.find(run_id);
    if (it != running_.end())
    {
        // The endpoint stops a run when its connection closes.
        it->second->stop();
        return;
    }
    const bool queued =
        std::ranges::any_of(queue_, [run_id](const auto& each) { return each.run_id == run_id; });
    if (queued)
    {
        stopped_before_start_.insert(run_id);
    }
}

void http_endpoint::run_worker()
{
    httplib::Client client(ip_, port_);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(connect_timeout);
    std::unique_lock lock(mutex_);
    while (true)
    {
        wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
        if (stopping_)
        {
            return;
        }
        const auto request = std::move(queue_.front());
        queue_.pop_front();
        const bool stopped_before_start = stopped_before_start_.erase(request.run_id) > 0;
        running_.emplace(request.run_id, &client);
        lock.unlock();
        const auto outcome = stopped_before_start
                                 ? agent::run_outcome{result::failed, "", "stopped before it began"}
                                 : execute(client, request);
        lock.lock();
        running_.erase(request.run_id);
        lock.unlock();
        on_end_(request.run_id, outcome);
        lock.lock();
    }
}

agent::run_outcome http_endpoint::execute(httplib::Client& client,
                                          const agent::run_request& request)
{
    const auto limit = request.stop_at - base::steady_now();
    if (limit <= absl::ZeroDuration())
    {
        return {result::failed, "", "run limit passed before the run began"};
    }
    client.set_read_timeout(absl::ToChronoMicroseconds(limit));
    const auto post = [&]
    {
        return client.Post("/run", headers_of(request, limit), request.payload,
                           "application/octet-stream");
    };
    auto res = post();
    for (int n = 1; n < max_connect_attempts && is_connect_timeout(res); ++n)
    {
        res = post();
    }
    if (!res)
    {
        const auto text =
            absl::StrCat("endpoint ", ip_, ":", port_, ": ", httplib::to_string(res.error()));
        // Without a connection the endpoint has received nothing, so the task has not run.
        const bool not_connected = res.error() == httplib::Error::Connection ||
                                   res.error() == httplib::Error::ConnectionTimeout;
        return {not_connected ? result::failed : result::unknown, "", text};
    }
    constexpr int status_ok = 200;
    if (res->status != status_ok)
    {
        return {result::failed, "", absl::StrCat("endpoint status ", res->status, ": ", res->body)};
    }
    return {result::succeeded, res->body, ""};
}

} // namespace savoryreach::daemon
