#ifndef SAVORYREACH_AGENT_TASK_RUNNER_HPP
#define SAVORYREACH_AGENT_TASK_RUNNER_HPP

#include "savoryreach/agent/credit_book.hpp"
#include "savoryreach/agent/endpoint_port.hpp"
#include "savoryreach/agent/run_counters.hpp"
#include "savoryreach/agent/session_directory.hpp"
#include "savoryreach/agent/slot_table.hpp"
#include "savoryreach/agent/start_record.hpp"
#include "savoryreach/base/clock.hpp"
#include "savoryreach/observe/event_sink.hpp"

#include <absl/functional/function_ref.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savoryreach::agent
{

/// Starts each attempt at most once, and a task that is not idempotent in one attempt only, and
/// reports the results. Decides whether a start is admissible, assigns slots, enforces start
/// deadlines and run limits, and handles recalls.
class task_runner
{
public:
    struct ports
    {
        const base::clock& clock;
        endpoint_port& endpoint;
        observe::event_sink& events;
        session_directory& sessions;
        credit_book& credits;
    };

    task_runner(std::uint32_t slots, std::size_t max_result_bytes, ports ports);

    void receive_start(std::uint64_t epoch, const schema::task_start& start);
    void receive_recall(std::uint64_t epoch, const schema::task_recall& recall);
    void receive_cancel(std::uint64_t epoch, const schema::task_cancel& cancel);
    /// Releases the job's records of \p epoch and of the epochs for which \p is_fenced holds: the
    /// releasing entry has taken those over.
    void receive_release(std::uint64_t epoch, const schema::job_release& release,
                         absl::FunctionRef<bool(std::uint64_t)> is_fenced);

    /// Rejects all waiting starts of \p epoch as not started.
    void discard_waiting(std::uint64_t epoch, std::string_view reason);
    /// Asks the endpoint to stop all runs of \p epoch.
    void stop_running(std::uint64_t epoch);
    /// Refuses all further starts and rejects the waiting ones as not started.
    void begin_drain();
    /// Called when the incarnation has ended: discards all records and waiting starts and stops all
    /// runs. Their slots stay occupied until the endpoint reports that the runs have ended.
    void abandon_all();

    /// Returns the epoch of the run; nullopt when the run is unknown or belongs to an earlier
    /// incarnation.
    std::optional<std::uint64_t> run_ended(std::uint64_t run_id, const run_outcome& outcome);
    /// Enforces start deadlines and run limits, and starts waiting tasks while slots are free.
    void tick();

    [[nodiscard]] const slot_table& slots() const { return slots_; }
    [[nodiscard]] const start_record& records() const { return records_; }
    [[nodiscard]] const run_counters& counters() const { return counters_; }
    [[nodiscard]] std::uint64_t starts() const { return starts_; }

private:
    /// The reason why the attempt must not start now; nullopt when it may start.
    [[nodiscard]] std::optional<std::string_view>
    refusal_reason(const base::attempt_id& id, std::uint64_t epoch, bool is_idempotent) const;
    void answer_duplicate_start(std::uint64_t epoch, const start_record::attempt& attempt);
    void refuse(std::uint64_t epoch, const base::attempt_id& id, std::string_view reason,
                absl::Duration waited);
    void refuse(const waiting_start& waiting, std::string_view reason);
    template <typename Start>
    void release_credit(const Start& start);
    void start_run(waiting_start next);
    void request_stop(std::uint64_t run_id, running_start& run);
    void record_event(std::string_view event, const base::attempt_id& id, std::uint64_t epoch,
                      std::string_view detail = {});

    ports ports_;
    slot_table slots_;
    start_record records_;
    run_counters counters_;
    std::uint64_t starts_ = 0;      ///< starts since the process began
    std::uint64_t last_run_id_ = 0; ///< latest run id; ids are unique within the process
    bool is_draining_ = false;
};

} // namespace savoryreach::agent

#endif
