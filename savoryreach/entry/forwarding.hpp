#ifndef SAVORYREACH_ENTRY_FORWARDING_HPP
#define SAVORYREACH_ENTRY_FORWARDING_HPP

#include "savoryreach/entry/entry_context.hpp"
#include "savoryreach/entry/membership.hpp"
#include "savoryreach/entry/router.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>

namespace savoryreach::entry
{

/// Kind of a caller's request.
enum class request_kind
{
    submit,
    lookup,
    cancel,
};

/// A caller's request at this process.
struct caller_request
{
    request_kind kind = request_kind::submit;
    std::uint64_t request_id = 0;  ///< id given by the caller interface
    schema::submission submission; ///< contains only the id for lookup and cancel
    bool wait = true;
    absl::Time answer_by;
    std::uint32_t hops = 0; ///< number of times the request was forwarded
};

/// Forwards callers' requests to the home entries of their submissions, and resends them until they
/// are answered or their deadline has passed. Not thread-safe.
class forwarding
{
public:
    struct hooks
    {
        std::function<void(std::uint64_t request_id, const schema::job_answer&)> answered;
        /// This entry has become the home of the submission.
        std::function<void(caller_request)> handle_locally;
    };

    forwarding(entry_context& context, membership& members, router& routes, hooks handlers);

    /// Forwards \p request to \p home. \p is_owner: the ledger or a redirect has named it as the
    /// owner.
    void start(caller_request request, const base::node_name& home, bool is_owner);
    void receive(const base::node_name& from, const schema::forward_answer& answer);
    void caller_disconnected(std::uint64_t request_id);
    void tick();

    [[nodiscard]] std::size_t size() const { return requests_.size(); }

    static constexpr std::uint32_t max_hops = 4;
    /// A request that arrives after this many hops is handled where it arrives. Its owner is then
    /// determined by the claim in the ledger instead of by another view of the membership.
    static constexpr std::uint32_t hops_to_owner = 2;
    static constexpr absl::Duration resend_interval = absl::Milliseconds(200);
    /// The interval doubles up to this bound, because a resend contains the whole submission and
    /// most resends reach a job that is already running. A membership change resends all requests
    /// at once.
    static constexpr absl::Duration max_resend_interval = absl::Seconds(2);
    /// Subtracted from the remaining time that is sent to the home, so that its answer arrives
    /// before the deadline here.
    static constexpr absl::Duration return_margin = absl::Milliseconds(20);

private:
    struct pending
    {
        caller_request request;
        base::node_name home;
        bool is_owner = false;
        absl::Time send_at;
        std::uint32_t send_count = 0; ///< number of sends to this home, determines the interval
    };
    using request_map = absl::btree_map<std::uint64_t, pending>;

    void send(std::uint64_t id, pending& it);
    void redirect(request_map::iterator found, const base::node_name& owner,
                  std::uint32_t min_hops);
    void resend_after_membership_change();
    /// Selects the home for the next send. False when this entry has become the home and handles
    /// the request.
    bool choose_home(request_map::iterator found);
    void erase(request_map::iterator found);

    entry_context& context_;                ///< interfaces to the environment
    membership& members_;                   ///< live entries
    router& routes_;                        ///< home entries
    hooks hooks_;                           ///< receives answers and requests to handle locally
    std::uint64_t last_id_;                 ///< request ids continue from here
    std::uint64_t membership_revision_ = 0; ///< revision for which the homes were chosen
    request_map requests_;                  ///< by request id
    absl::flat_hash_map<std::uint64_t, std::uint64_t> by_caller_; ///< by the caller's request id
};

} // namespace savoryreach::entry

#endif
