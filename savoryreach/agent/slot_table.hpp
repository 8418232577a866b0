#ifndef SAVORYREACH_AGENT_SLOT_TABLE_HPP
#define SAVORYREACH_AGENT_SLOT_TABLE_HPP

#include "savoryreach/base/attempt_id.hpp"
#include "schema/generated/wire.pb.h"

#include <absl/container/btree_map.h>
#include <absl/functional/function_ref.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace savoryreach::agent
{

/// A start that waits for a slot.
struct waiting_start
{
    base::attempt_id id;
    std::uint64_t epoch = 0;
    bool is_credited = false; ///< see credit_book
    schema::task_start start;
    absl::Time received_at;
    absl::Time start_by; ///< the task must not start at or after this time
};

/// A start that occupies a slot.
struct running_start
{
    base::attempt_id id;
    std::uint64_t epoch = 0;
    bool is_abandoned = false; ///< from an earlier incarnation; holds its slot until it ends
    bool is_credited = false;  ///< see credit_book
    std::string kind;
    bool is_idempotent = false;
    bool is_stop_requested = false;
    absl::Time received_at;
    absl::Time started_at;
    absl::Time stop_at; ///< when the run limit is reached
};

/// The endpoint's slots: the running starts, and the starts that wait for a slot, by urgency and
/// then arrival. Not thread-safe.
class slot_table
{
public:
    explicit slot_table(std::uint32_t slots) : slots_(slots) {}

    void add_waiting(waiting_start start);
    [[nodiscard]] bool is_waiting(const base::attempt_id& id) const;
    /// Removes and returns the waiting starts for which \p matches holds, in queue order.
    [[nodiscard]] std::vector<waiting_start>
    remove_waiting(absl::FunctionRef<bool(const waiting_start&)> matches);
    /// Removes and returns the first waiting start; nullopt when none waits or no slot is free.
    [[nodiscard]] std::optional<waiting_start> pop_next();

    /// Occupies a slot; one must be free.
    void add_running(std::uint64_t run_id, running_start start);
    /// Frees the slot of \p run_id and returns the start; nullopt when there is no such run.
    [[nodiscard]] std::optional<running_start> remove_running(std::uint64_t run_id);
    void for_each_running(absl::FunctionRef<void(std::uint64_t run_id, running_start&)> visit);

    [[nodiscard]] std::size_t running() const { return running_.size(); }
    [[nodiscard]] std::size_t running_of(std::uint64_t epoch) const;
    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }

private:
    /// Negated urgency, then arrival number.
    using queue_key = std::pair<std::int64_t, std::uint64_t>;

    std::uint32_t slots_;
    std::uint64_t last_arrival_ = 0;
    absl::btree_map<queue_key, waiting_start> waiting_;
    absl::btree_map<std::uint64_t, running_start> running_; ///< by run id
};

} // namespace savoryreach::agent

#endif
