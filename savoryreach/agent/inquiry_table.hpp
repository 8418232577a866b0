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

/// Who asked about which dead epoch. Every reply lists all started tasks of the epoch, so that a
/// lost or overtaken reply does no harm; the asker repeats its inquiry until it knows all results.
class inquiry_table
{
public:
    void add_inquiry(const base::node_name& asker, const schema::inquiry& inquiry, absl::Time now);
    /// A task of \p epoch has ended; its askers are due a further reply.
    void task_ended(std::uint64_t epoch);

    /// True while some asker repeats its inquiry: the epoch's running tasks are awaited.
    [[nodiscard]] bool has_active_inquiry(std::uint64_t epoch, absl::Time now) const;

    /// The replies that are due, with their receivers.
    [[nodiscard]] std::vector<std::pair<base::node_name, schema::inquiry_reply>>
    take_replies(const start_record& records);

    void expire(absl::Time now);
    void clear() { askers_.clear(); }

private:
    struct asker_state
    {
        std::uint64_t request_id = 0; ///< of the latest inquiry
        absl::Time asked_at;
        bool is_reply_due = false;
        /// Last result that fitted into the previous reply; the next one goes on behind it.
        std::optional<base::attempt_id> continue_after;
    };

    [[nodiscard]] static schema::inquiry_reply make_reply(std::uint64_t epoch, asker_state& asker,
                                                          const start_record& records);

    /// By epoch and asker.
    absl::btree_map<std::pair<std::uint64_t, base::node_name>, asker_state> askers_;
};

} // namespace savoryreach::agent

#endif
