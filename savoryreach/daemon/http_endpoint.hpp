#ifndef SAVORYREACH_DAEMON_HTTP_ENDPOINT_HPP
#define SAVORYREACH_DAEMON_HTTP_ENDPOINT_HPP

#include "savoryreach/agent/endpoint_port.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace savoryreach::daemon
{

/// Runs tasks at the endpoint's HTTP service: POST /run with the task's payload as the body and its
/// identity in X-Savoryreach-* headers. Status 200 means success, any other status a failure with
/// the body as its reason. Each slot has one thread and one persistent connection.
class http_endpoint final : public agent::endpoint_port
{
public:
    /// Called on a slot's thread.
    using end_handler = std::function<void(std::uint64_t run_id, const agent::run_outcome&)>;

    http_endpoint(std::string ip, int port, std::size_t slots, end_handler on_end);
    ~http_endpoint() override;
    http_endpoint(const http_endpoint&) = delete;
    http_endpoint& operator=(const http_endpoint&) = delete;

    void run(const agent::run_request& request) override;
    void stop(std::uint64_t run_id) override;

    /// Aborts all runs and joins the threads.
    void close();

private:
    void run_worker();
    agent::run_outcome execute(httplib::Client& client, const agent::run_request& request);

    std::string ip_;
    int port_;
    end_handler on_end_;
    std::mutex mutex_; ///< guards all below
    std::condition_variable wake_;
    std::deque<agent::run_request> queue_;
    absl::flat_hash_map<std::uint64_t, httplib::Client*> running_; ///< by run id, for stop()
    absl::flat_hash_set<std::uint64_t> stopped_before_start_;      ///< ids of queued runs
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace savoryreach::daemon

#endif
