#ifndef SAVORYREACH_DISPATCH_REQUEST_FORWARDER_HPP
#define SAVORYREACH_DISPATCH_REQUEST_FORWARDER_HPP

#include "savoryreach/base/clock.hpp"
#include "savoryreach/dispatch/core_locator.hpp"
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

/// Where requests go.
class request_port
{
public:
    virtual ~request_port() = default;

    virtual void send_request(const std::string& dispatcher, schema::front_request request) = 0;
};

/// The requests that a front process has read and not answered. Passes each on to the dispatcher,
/// again after a change of the dispatcher or a lost message, and answers for itself only what it
/// knows: "not run" for a request that was never passed on, "unknown" otherwise.
class request_forwarder
{
public:
    using answer_handler = std::function<void(const schema::front_answer&)>;

    request_forwarder(const base::clock& clock, request_port& port, observe::event_sink& events,
                      observe::metrics& measures, std::uint64_t first_number);

    /// Takes a request that must be answered by \p answer_by; gives its number. \p on_answer is
    /// called once, perhaps before this returns.
    std::uint64_t add(schema::front_request request, absl::Time answer_by,
                      answer_handler on_answer);
    /// The client has closed its connection.
    void abandon(std::uint64_t number);
    void on_answer(const schema::front_answer& answer);
    /// The dispatcher is \p who now, or unknown.
    void set_dispatcher(const std::optional<dispatcher_ref>& who);
    void tick();

    [[nodiscard]] std::size_t pending() const { return requests_.size(); }
    [[nodiscard]] bool has_dispatcher() const { return dispatcher_.has_value(); }

    /// Without a dispatcher for longer than this, requests are refused at once: an election takes
    /// 0.5 to 0.9 s and the first word of the leader 0.1 s.
    static constexpr absl::Duration waits_for_dispatcher = absl::Milliseconds(1200);

private:
    struct open_request
    {
        schema::front_request request;
        absl::Time read_at;
        absl::Time answer_by;
        absl::Time resend_at = absl::InfinitePast();
        std::uint64_t term = 0; ///< of the dispatcher that it was passed on to last; 0 for none
        answer_handler handler;
    };

    void pass_on(open_request& it);
    void finish(std::uint64_t number, const schema::front_answer& answer);
    void note_answer(const open_request& it, schema::answer_kind kind);
    /// Answers a request that was passed on to nobody.
    void refuse(std::uint64_t number);

    const base::clock& clock_;
    request_port& port_;
    observe::event_sink& events_;
    observe::metrics& measures_;
    std::uint64_t last_number_;
    std::optional<dispatcher_ref> dispatcher_;
    absl::Time lost_at_;
    absl::btree_map<std::uint64_t, open_request> requests_;
};

} // namespace savoryreach::dispatch

#endif
