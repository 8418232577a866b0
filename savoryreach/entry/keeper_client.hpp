#ifndef SAVORYREACH_ENTRY_KEEPER_CLIENT_HPP
#define SAVORYREACH_ENTRY_KEEPER_CLIENT_HPP

#include "savoryreach/entry/entry_context.hpp"
#include "schema/generated/wire.pb.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <vector>

namespace savoryreach::entry
{

/// Sends requests to the keepers until one of them answers: to the last known leader first, to the
/// next keeper when a deadline passes, and to the hinted leader when a keeper is not the leader.
/// Requests are idempotent. Not thread-safe.
class keeper_client
{
public:
    /// Receives the reply and the time at which the request was first sent.
    using reply_handler = std::function<void(const schema::keeper_reply&, absl::Time first_sent)>;

    explicit keeper_client(entry_context& context);

    /// Sends \p request and returns its id.
    std::uint64_t call(schema::keeper_request request, reply_handler handler);
    /// Forgets a request; its reply is ignored.
    void cancel(std::uint64_t request_id);
    void cancel_all();

    void receive(const schema::keeper_reply& reply);
    /// Sends again what was not answered in time.
    void tick();

    /// A keeper answers within one synced write on a quorum, several ms; a dead leader is replaced
    /// within about 1 s.
    static constexpr absl::Duration reply_deadline = absl::Milliseconds(300);
    /// Pause between two attempts while no keeper knows a leader.
    static constexpr absl::Duration redirect_pause = absl::Milliseconds(20);

private:
    struct pending
    {
        schema::keeper_request request;
        reply_handler handler;
        absl::Time first_sent;
        absl::Time send_at; ///< next sending
        std::size_t target = 0;
        absl::Time redirected_at = absl::InfinitePast();
        bool is_redirected = false; ///< target is set for the next sending
    };

    void send(pending& it);
    void redirect(pending& it, const std::string& hint);

    entry_context& context_;                           ///< settings and ports
    std::vector<base::node_name> keepers_;             ///< as configured
    std::size_t leader_ = 0;                           ///< index of the last keeper that answered
    std::uint64_t last_id_;                            ///< request ids continue from here
    absl::btree_map<std::uint64_t, pending> requests_; ///< by request id
};

} // namespace savoryreach::entry

#endif
