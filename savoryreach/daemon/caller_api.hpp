#ifndef SAVORYREACH_DAEMON_CALLER_API_HPP
#define SAVORYREACH_DAEMON_CALLER_API_HPP

#include "savoryreach/daemon/answer_waiters.hpp"
#include "savoryreach/daemon/control_loop.hpp"
#include "savoryreach/daemon/http_server.hpp"
#include "savoryreach/entry/entry_core.hpp"

namespace savoryreach::daemon
{

/// The callers' interface over HTTP: POST /v1/jobs, GET and DELETE /v1/jobs/{submission_id}.
class caller_api
{
public:
    caller_api(http_server& server, control_loop& loop, entry::entry_core& core,
               answer_waiters& waiters);

private:
    void post_job(const httplib::Request& req, httplib::Response& res);
    void get_job(const httplib::Request& req, httplib::Response& res);
    void delete_job(const httplib::Request& req, httplib::Response& res);
    void wait_and_respond(std::uint64_t request_id, const std::string& submission_id,
                          absl::Time deadline, httplib::Response& res);

    control_loop& loop_;
    entry::entry_core& core_; ///< used on the control thread only
    answer_waiters& waiters_;
};

} // namespace savoryreach::daemon

#endif
