#ifndef SAVORYREACH_ENTRY_FORMER_HOME_CLIENT_HPP
#define SAVORYREACH_ENTRY_FORMER_HOME_CLIENT_HPP

#include "savoryreach/entry/entry_context.hpp"
#include "savoryreach/entry/job_number.hpp"
#include "savoryreach/entry/router.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace savoryreach::entry
{

/// Queries the former home entries of claimed submissions for refusals in force. Covers the former
/// homes that are still live and may not have the newer view yet. Not thread-safe.
class former_home_client
{
public:
    struct hooks
    {
        /// A former home has refused the submission. The other queries of the job are dropped.
        std::function<void(job_number, const schema::job_answer&)> refused;
        /// No former home has a refusal in force. \p not_before: when one of them has left, the
        /// time by which its refusals have expired; otherwise InfinitePast.
        std::function<void(job_number, absl::Time not_before)> cleared;
    };

    former_home_client(entry_context& context, const router& routes, hooks handlers);

    /// Queries the former homes of the job. False when there are none.
    bool ask(job_number job, const std::string& submission_id);
    /// Drops the queries of a job that has ended.
    void remove(job_number job);
    void clear();

    /// Handles an answer. False when it belongs to another request.
    bool receive(const schema::forward_answer& answer);
    /// Resends unanswered queries and detects former homes that have left.
    void tick();

    static constexpr absl::Duration resend_interval = absl::Milliseconds(200);

private:
    struct query
    {
        job_number job{};
        std::string submission_id;
        route_member home;
        absl::Time send_at;
    };
    struct open_job
    {
        std::vector<std::uint64_t> queries;
        absl::Time not_before = absl::InfinitePast();
    };

    void send(std::uint64_t id, query& it);
    void finish_query(std::uint64_t id, absl::Time not_before);

    entry_context& context_;                        ///< interfaces to the environment
    const router& routes_;                          ///< former and live entries
    hooks hooks_;                                   ///< notified of the outcome
    std::uint64_t last_id_;                         ///< request ids continue from here
    absl::btree_map<std::uint64_t, query> queries_; ///< by request id
    absl::btree_map<job_number, open_job> jobs_;    ///< jobs with open queries
};

} // namespace savoryreach::entry

#endif
