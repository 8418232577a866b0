#ifndef SAVORYREACH_DISPATCH_REQUEST_FORWARDER_HPP
#define SAVORYREACH_DISPATCH_REQUEST_FORWARDER_HPP

#include "savoryreach/base/clock.hpp"
#include "savoryreach/dispatch/core_locator.hpp"
#include "savoryreach/dispatch/pause_policy.hpp"
#include "savoryreach/observe/event_sink.hpp"
#include "savoryreach/observe/metrics.hpp"
#include "schema/generated/dispatch.pb.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace savoryreach::dispatch
{

/// Output of a front: requests to the dispatcher.
class request_port
{
public:
    virtual ~request_port() = default;

    virtual void send_request(const std::string& dispatcher, schema::front_request request) = 0;
};

/// Holds the requests that a front process has read and not answered, and forwards them to the
/// dispatcher. Forwards a request again when the dispatcher changes and at intervals, in case a
/// message was lost. Answers a request by itself only when it times out or has no dispatcher: "not
/// run" if the request was never forwarded, "unknown" otherwise.
class request_forwarder
{
public:
    using answer_handler = std::function<void(const schema::front_answer&)>;

    /// With \p weighs_jobs, jobs that arrive while no dispatcher answers are held or refused by the
    /// pause_policy; otherwise all are held for max_dispatcher_wait.
    request_forwarder(const base::clock& clock, request_port& port, observe::event_sink& events,
                      observe::metrics& metrics, std::uint64_t first_number,
                      bool weighs_jobs = false);

    /// Adds a request that must be answered by \p answer_by, and returns its number. Calls
    /// \p on_answer once, possibly before this function returns; never after abandon().
    std::uint64_t add(schema::front_request request, absl::Time answer_by,
                      answer_handler on_answer);
    /// Drops a request whose client has closed its connection.
    void abandon(std::uint64_t number);
    void on_answer(const schema::front_answer& answer);
    /// Sets the current dispatcher; nullopt if it is unknown.
    void set_dispatcher(const std::optional<dispatcher_ref>& current);
    /// Sets when the current dispatcher was last heard. Jobs are not forwarded to one that is
    /// silent, so that they can still be refused or go to the next one.
    void set_heard_at(absl::Time it) { heard_at_ = it; }
    /// The process ends: all requests are answered by \p at. A job that can't end before is refused
    /// at once; one that has not ended then goes on, since its client will repeat it elsewhere.
    void end_by(absl::Time at);
    void tick();

    [[nodiscard]] std::size_t pending() const { return requests_.size(); }
    [[nodiscard]] bool has_dispatcher() const { return dispatcher_.has_value(); }

    /// Requests are refused at once when no dispatcher has been known for this time: an election
    /// takes 0.5 to 0.9 s, and the first message of the new leader 0.1 s.
    static constexpr absl::Duration max_dispatcher_wait = absl::Milliseconds(1200);
    /// A dispatcher of which nothing was heard for this time is silent: it sends its view of the
    /// core every 250 ms.
    static constexpr absl::Duration max_silence = absl::Milliseconds(450);

private:
    struct open_request
    {
        schema::front_request request;
        absl::Time read_at;
        absl::Time answer_by;
        absl::Time resend_at = absl::InfinitePast();
        std::uint64_t term = 0; ///< of the dispatcher it was last forwarded to; 0 for none
        held_job job;           ///< only of a submission
        answer_handler handler;
    };

    /// Forwards to the current dispatcher, with its stamp if it asked for a confirmation.
    void forward(open_request& it, std::int64_t confirmed_stamp_us = 0);
    /// The dispatcher asks whether \p it is still held.
    void confirm(open_request& it, const schema::front_answer& question);
    void finish(std::uint64_t number, const schema::front_answer& answer);
    void record_answer(const open_request& it, schema::answer_kind kind);
    /// Answers a request that was never forwarded.
    void refuse(std::uint64_t number, const std::string& reason);
    [[nodiscard]] bool is_answering() const;
    /// True for a job that was never forwarded and that the pause policy judges.
    [[nodiscard]] bool is_weighed(const open_request& it) const;
    /// Core-seconds of the jobs that are held.
    [[nodiscard]] double held_work() const;
    /// Begins or ends the pause when the dispatcher falls silent or is heard again.
    void update_pause();

    const base::clock& clock_;
    request_port& port_;
    observe::event_sink& events_;
    observe::metrics& metrics_;
    std::uint64_t last_number_;
    bool weighs_jobs_;
    std::optional<dispatcher_ref> dispatcher_;
    absl::Time dispatcher_lost_at_;
    absl::Time ends_at_ = absl::InfiniteFuture(); ///< of the process
    absl::Time heard_at_ = absl::InfiniteFuture();
    pause_policy pause_;
    absl::btree_map<std::uint64_t, open_request> requests_;
};

} // namespace savoryreach::dispatch

#endif
