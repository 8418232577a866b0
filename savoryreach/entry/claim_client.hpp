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

/// Sends claims and finish reports to the ledger in batches. One batch of each kind is in flight;
/// requests that arrive meanwhile form the next batch. Not thread-safe.
class claim_client
{
public:
    using claim_handler =
        std::function<void(const schema::claim& claim, const schema::claim_result& result)>;
    using finish_handler = std::function<void(const std::string& submission_id)>;

    claim_client(entry_context& context, keeper_client& keepers, claim_handler on_claim,
                 finish_handler on_finish);

    /// Discards all pending and sent requests and continues as \p epoch; 0 stops sending.
    void restart(std::uint64_t epoch);

    void claim(const std::string& submission_id, const std::string& digest);
    void finish(const std::string& submission_id);

    /// Sends the next batches when none is in flight.
    void tick();

    /// True when no claim or finish report is pending or in flight.
    [[nodiscard]] bool is_idle() const;

    /// Keeps a log entry with a batch of claims below 1 MB at the maximum length of submission ids.
    static constexpr std::size_t max_batch = 4096;
    /// Finish reports are collected for this time to save log entries and messages; no caller waits
    /// for them. Must stay well below the minimum retention of answers, 1 s.
    static constexpr absl::Duration finish_delay = absl::Milliseconds(500);

private:
    void send_claims();
    void send_finishes();
    void claims_answered(const schema::keeper_reply& reply);
    void finishes_answered();

    entry_context& context_;           ///< clock and events
    keeper_client& keepers_;           ///< sends the batches
    claim_handler on_claim_;           ///< receives the result of each claim
    finish_handler on_finish_;         ///< receives each acknowledged finish report
    std::uint64_t epoch_ = 0;          ///< owner of the claims; nothing is sent while 0
    std::deque<schema::claim> claims_; ///< waiting for the next batch
    std::deque<std::string> finishes_; ///< waiting for the next batch
    absl::Time send_finishes_at_ = absl::InfinitePast(); ///< when finishes_ are sent
    std::vector<schema::claim> sent_claims_;             ///< the batch in flight
    std::vector<std::string> sent_finishes_;             ///< the batch in flight
};

} // namespace savoryreach::entry

#endif
