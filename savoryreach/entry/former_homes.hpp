#ifndef SAVORYREACH_ENTRY_FORMER_HOMES_HPP
#define SAVORYREACH_ENTRY_FORMER_HOMES_HPP

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

/// Asks the former homes of claimed submissions that are still live, and may not know the newer
/// view yet, for refusals in force. Not thread-safe.
class former_homes
{
public:
    struct hooks
    {
        /// The refusal of a former home; the job's other questions are dropped.
        std::function<void(job_number, const schema::job_answer&)> refused;
        /// No former home has a refusal in force. \p not_before: one of them is gone, and its
        /// refusals lapse by then; otherwise InfinitePast.
        std::function<void(job_number, absl::Time not_before)> cleared;
    };

    former_homes(entry_context& context, const router& routes, hooks call);

    /// Asks the former homes of the job; false when there are none to ask.
    bool ask(job_number job, const std::string& submission_id);
    /// The job has ended.
    void remove(job_number job);
    void clear();

    /// Takes an answer; false when it belongs to another request.
    bool receive(const schema::forward_answer& answer);
    /// Sends again what was not answered in time, and notices former homes that are gone.
    void tick();

    static constexpr absl::Duration resend_interval = absl::Milliseconds(200);

private:
    struct question
    {
        job_number job{};
        std::string submission_id;
        route_member home;
        absl::Time send_at;
    };
    struct open_job
    {
        std::vector<std::uint64_t> questions;
        absl::Time not_before = absl::InfinitePast();
    };

    void send(std::uint64_t id, question& it);
    void settle(std::uint64_t id, absl::Time not_before);

    entry_context& context_;                             ///< ports
    const router& routes_;                               ///< former and live entries
    hooks call_;                                         ///< told the outcome
    std::uint64_t last_id_;                              ///< request ids continue from here
    absl::btree_map<std::uint64_t, question> questions_; ///< by request id
    absl::btree_map<job_number, open_job> jobs_;         ///< with open questions
};

} // namespace savoryreach::entry

#endif
