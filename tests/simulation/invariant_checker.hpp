#ifndef SAVORYREACH_SIMULATION_INVARIANT_CHECKER_HPP
#define SAVORYREACH_SIMULATION_INVARIANT_CHECKER_HPP

#include "schema/generated/job.pb.h"
#include "tests/simulation/run_journal.hpp"
#include "tests/simulation/task_content.hpp"
#include "tests/simulation/virtual_clock.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace savoryreach::simulation
{

/// What a caller asked of an entry.
enum class ask
{
    submit,
    lookup,
    cancel,
};

/// A caller's request at one entry.
struct caller_request
{
    std::uint64_t id = 0;
    ask kind = ask::submit;
    std::string submission_id;
    std::uint32_t variant = 0;
    std::string entry;
    bool wait = true;
    absl::Time answer_by;
};

/// Asserts what callers and endpoints may see: I1 to I6 of docs/design.md.
class invariant_checker
{
public:
    invariant_checker(const virtual_clock& clock, run_journal& journal)
        : clock_(clock), journal_(journal)
    {
    }

    /// Makes \p submission known as content \p variant of its id.
    void knows(const schema::submission& submission, std::uint32_t variant);
    void asked(const caller_request& request);
    /// The caller no longer waits.
    void withdrawn(std::uint64_t request_id);
    void answered(std::uint64_t request_id, const schema::job_answer& answer);

    void run_started(const std::string& agent, const std::string& payload);
    void run_ended(const std::string& payload, bool has_succeeded);
    /// Runs at \p agent later than 3 s from now are violations, until drain_over().
    void drain_began(const std::string& agent);
    void drain_over(const std::string& agent);
    /// An entry's epoch may have ended; the next owner does not know the answers of its jobs.
    void epoch_ended() { last_epoch_end_ = clock_.now(); }

    [[nodiscard]] std::uint64_t starts() const { return starts_; }
    [[nodiscard]] const absl::btree_map<std::string, std::uint64_t>& answers() const
    {
        return answers_;
    }

private:
    struct task_record
    {
        std::uint32_t starts = 0;
        bool is_running = false;
        bool has_succeeded = false;
    };

    struct settled_answer
    {
        schema::job_answer answer;
        absl::Time at;
    };

    struct content_record
    {
        schema::submission submission;
        std::vector<task_record> tasks;
        std::uint32_t open_copies = 0;
        absl::Time last_open = absl::InfinitePast();     ///< when the last open copy closed
        absl::Time not_run_until = absl::InfinitePast(); ///< latest retry deadline of a refusal
        std::optional<settled_answer> settled;
    };

    using content_key = std::pair<std::string, std::uint32_t>;

    void close(const caller_request& request);
    void check_running(const caller_request& request, const content_record& content) const;
    void check_complete(const content_record& content, const schema::job_answer& answer) const;
    void check_failed(content_record& content, const schema::job_answer& answer);
    void check_agreement(content_record& content, const schema::job_answer& answer);
    void check_refusals_kept(const content_record& content, const task_content& key) const;

    const virtual_clock& clock_;
    run_journal& journal_;
    absl::btree_map<content_key, content_record> contents_;
    absl::btree_map<std::string, std::uint32_t> running_variant_; ///< content that ran, by id
    absl::btree_map<std::uint64_t, caller_request> open_;
    absl::btree_set<std::uint64_t> answered_; ///< requests that have had their answer
    absl::btree_map<std::string, absl::Time> draining_;
    absl::btree_map<std::string, std::uint64_t> answers_; ///< by kind
    absl::Time last_epoch_end_ = absl::InfinitePast();
    std::uint64_t starts_ = 0;
};

} // namespace savoryreach::simulation

#endif
