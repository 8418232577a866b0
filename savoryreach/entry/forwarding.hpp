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

/// What a caller asks of a submission's home.
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
    std::uint64_t request_id = 0;  ///< at the caller port
    schema::submission submission; ///< only the id is set for lookup and cancel
    bool wait = true;
    absl::Time answer_by;
    std::uint32_t hops = 0; ///< times it was forwarded
};

/// Carries callers' requests to homes at other entries, and sends them again until they are
/// answered or their deadline has passed. Not thread-safe.
class forwarding
{
public:
    struct hooks
    {
        std::function<void(std::uint64_t request_id, const schema::job_answer&)> answered;
        /// This entry is the home now.
        std::function<void(caller_request)> handle_here;
    };

    forwarding(entry_context& context, membership& members, router& routes, hooks call);

    /// Forwards \p request to \p home. \p is_owner: the ledger has named it the owner.
    void start(caller_request request, const base::node_name& home, bool is_owner);
    void receive(const base::node_name& from, const schema::forward_answer& answer);
    void caller_disconnected(std::uint64_t request_id);
    void tick();

    [[nodiscard]] std::size_t size() const { return requests_.size(); }

    static constexpr std::uint32_t max_hops = 4;
    /// A request that arrives after this many hops is handled where it arrives: the ledger's claim
    /// decides then, and not one more view of the membership.
    static constexpr std::uint32_t hops_to_owner = 2;
    static constexpr absl::Duration resend_interval = absl::Milliseconds(200);
    /// The interval doubles up to this: a resend carries the whole submission, and most resends
    /// meet a job that runs. A change of the membership sends all requests again at once.
    static constexpr absl::Duration longest_resend_interval = absl::Seconds(2);
    /// Kept from the remaining time, so that the home's answer arrives before the deadline here.
    static constexpr absl::Duration return_time = absl::Milliseconds(20);

private:
    struct pending
    {
        caller_request request;
        base::node_name home;
        bool is_owner = false;
        absl::Time send_at;
        std::uint32_t sendings = 0; ///< to this home, for the interval
    };
    using request_map = absl::btree_map<std::uint64_t, pending>;

    void send(std::uint64_t id, pending& it);
    void redirect(request_map::iterator found, const base::node_name& owner,
                  std::uint32_t least_hops);
    void send_all_after_change();
    /// False when the request is now handled here.
    bool choose_home(request_map::iterator found);
    void erase(request_map::iterator found);

    entry_context& context_;                ///< ports
    membership& members_;                   ///< live entries
    router& routes_;                        ///< homes
    hooks call_;                            ///< receives answers
    std::uint64_t last_id_;                 ///< request ids continue from here
    std::uint64_t membership_revision_ = 0; ///< for which the homes were chosen
    request_map requests_;                  ///< by request id
    absl::flat_hash_map<std::uint64_t, std::uint64_t> by_caller_; ///< caller's request id
};

} // namespace savoryreach::entry

#endif
