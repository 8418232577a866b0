#ifndef SAVORYREACH_DISPATCH_PAUSE_POLICY_HPP
#define SAVORYREACH_DISPATCH_PAUSE_POLICY_HPP

#include "schema/generated/dispatch.pb.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace savoryreach::dispatch
{

/// A job that a front has read while no dispatcher answers.
struct held_job
{
    std::string queue; ///< host and path prefix
    absl::Time read_at;
    absl::Time answer_by;
    absl::Duration chain; ///< longest chain of dependent declared run times
    double work = 0.0;    ///< declared core-seconds

    friend bool operator==(const held_job&, const held_job&) = default;
};

/// The job that \p request submits, read at \p read_at.
[[nodiscard]] held_job held_job_of(const schema::submit_job& request, absl::Time read_at,
                                   absl::Time answer_by);

/// Decides which jobs a front holds while no dispatcher answers, and when the refused ones may
/// return.
///
/// Answers the load of a change of the dispatcher under a burst: requests arrive at the full rate
/// for the length of the pause. A job that can't end in time to be of use once the pause is over,
/// or that the endpoints have no room for then, is refused at once; the clients return over a
/// period in which that room exists instead of in one burst.
class pause_policy
{
public:
    /// Begins with the pause until the process, started at \p started_at, finds a dispatcher.
    explicit pause_policy(absl::Time started_at) : began_at_(started_at) {}

    /// No dispatcher answers since \p since.
    void begin(absl::Time since);
    /// A dispatcher answers again. Learns the length of the pause, but for the one after the start.
    void end(absl::Time now);
    [[nodiscard]] bool is_paused() const { return began_at_ != absl::InfiniteFuture(); }

    /// A job of \p queue has ended: its core-seconds, and how its objective was computed.
    void on_job_done(const held_job& it, const schema::front_answer& answer, absl::Time now);

    /// When the pause is expected to end, from the lengths of earlier ones and from its own.
    [[nodiscard]] absl::Time expected_end(absl::Time now) const;
    /// Until when a dispatcher must answer for \p it to end in time to be of use.
    [[nodiscard]] absl::Time needed_by(const held_job& it) const;
    /// True if the job is worth holding beside jobs of \p held_work core-seconds.
    [[nodiscard]] bool is_worth_holding(const held_job& it, double held_work, absl::Time now) const;
    /// Time after which a refused client should return; \p spread, in [0, 1), tells clients apart.
    [[nodiscard]] absl::Duration retry_after(double held_work, double spread, absl::Time now) const;

private:
    /// How the objective of a queue's jobs follows from their longest chain of work.
    struct objective_rule
    {
        double slack_factor = 1.0;
        absl::Duration target;

        friend bool operator==(const objective_rule&, const objective_rule&) = default;
    };

    [[nodiscard]] double served_rate(absl::Time now) const;

    absl::flat_hash_map<std::string, objective_rule> objectives_; ///< by queue
    absl::Time began_at_; ///< of the current pause; infinite future while there is none
    bool is_first_ = true;
    absl::Duration usual_length_ = default_length;
    double served_work_ = 0.0; ///< core-seconds, decayed exponentially
    absl::Time served_at_ = absl::InfinitePast();

    /// An election, the lists of the hosts' runs, and the first view of the new dispatcher.
    static constexpr absl::Duration default_length = absl::Milliseconds(1200);
};

} // namespace savoryreach::dispatch

#endif
