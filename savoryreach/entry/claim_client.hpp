#ifndef SAVORYREACH_ENTRY_CLAIM_CLIENT_HPP
#define SAVORYREACH_ENTRY_CLAIM_CLIENT_HPP

#include "savoryreach/entry/keeper_client.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace savoryreach::entry
{

/// Claims submissions and reports finished ones in batches: one batch of each is in flight, and all
/// that arrive meanwhile form the next one. Not thread-safe.
class claim_client
{
public:
    using claim_handler =
        std::function<void(const schema::claim& claim, const schema::claim_result& result)>;
    using finish_handler = std::function<void(const std::string& submission_id)>;

    claim_client(entry_context& context, keeper_client& keepers, claim_handler on_claim,
                 finish_handler on_finish);

    /// Drops everything and continues as \p epoch.
    void restart(std::uint64_t epoch);

    void claim(const std::string& submission_id, const std::string& digest);
    void finish(const std::string& submission_id);

    /// Sends the next batches when none is in flight.
    void tick();

    /// True when no claim or finish waits or is in flight.
    [[nodiscard]] bool is_idle() const;

    /// Keeps one log entry of claims below 1 MB at the longest submission ids.
    static constexpr std::size_t max_batch = 4096;
    /// Nobody waits for a finish: collecting them for a while spares log entries and messages. Far
    /// below the retention of answers, 1 s at least.
    static constexpr absl::Duration finish_delay = absl::Milliseconds(500);

private:
    void send_claims();
    void send_finishes();
    void claims_answered(const schema::keeper_reply& reply);
    void finishes_answered();

    entry_context& context_;                        ///< events
    keeper_client& keepers_;                        ///< carries the batches
    claim_handler on_claim_;                        ///< told each result
    finish_handler on_finish_;                      ///< told each acknowledged finish
    std::uint64_t epoch_ = 0;                       ///< owner of the claims; 0 sends nothing
    std::deque<schema::claim> claims_;              ///< waiting for the next batch
    std::deque<std::string> finishes_;              ///< waiting for the next batch
    absl::Time finishes_at_ = absl::InfinitePast(); ///< when they are sent
    std::vector<schema::claim> sent_claims_;        ///< the batch in flight
    std::vector<std::string> sent_finishes_;        ///< the batch in flight
};

} // namespace savoryreach::entry

#endif
