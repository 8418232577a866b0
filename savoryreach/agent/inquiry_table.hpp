#ifndef SAVORYREACH_AGENT_INQUIRY_TABLE_HPP
#define SAVORYREACH_AGENT_INQUIRY_TABLE_HPP

#include "savoryreach/agent/start_record.hpp"
#include "savoryreach/base/node_name.hpp"
#include "schema/generated/wire.pb.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace savoryreach::agent
{

/// The inquiries of entries about the tasks of fenced epochs, and the replies that are due. Every
/// reply lists all started tasks of the epoch, so that replies may be lost or reordered; the asker
/// repeats its inquiry until it has all results.
class inquiry_table
{
public:
    void add_inquiry(const base::node_name& asker, const schema::inquiry& inquiry, absl::Time now);
    /// Schedules a further reply to each asker of \p epoch because one of its tasks has ended.
    void task_ended(std::uint64_t epoch);

    /// True while an asker repeats its inquiry, that is, waits for the epoch's running tasks.
    [[nodiscard]] bool has_active_inquiry(std::uint64_t epoch, absl::Time now) const;

    /// Returns the replies that are due, with their receivers, and marks them as sent.
    [[nodiscard]] std::vector<std::pair<base::node_name, schema::inquiry_reply>>
    take_replies(const start_record& records);

    void expire(absl::Time now);
    void clear() { askers_.clear(); }

private:
    struct asker_state
    {
        std::uint64_t request_id = 0; ///< request id of the latest inquiry
        absl::Time asked_at;
        bool is_reply_due = false;
        /// Last result that fitted into the previous reply; the next reply continues after it.
        std::optional<base::attempt_id> continue_after;
    };

    [[nodiscard]] static schema::inquiry_reply make_reply(std::uint64_t epoch, asker_state& asker,
                                                          const start_record& records);

    /// Askers by epoch and name.
    absl::btree_map<std::pair<std::uint64_t, base::node_name>, asker_state> askers_;
};

} // namespace savoryreach::agent

#endif
