#ifndef SAVORYREACH_SIMULATION_SIMULATED_CALLERS_HPP
#define SAVORYREACH_SIMULATION_SIMULATED_CALLERS_HPP

#include "tests/simulation/simulated_cluster.hpp"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <string>
#include <vector>

namespace savoryreach::simulation
{

/// Callers that submit jobs, resend whatever gets no answer to any entry, cancel some jobs and
/// sometimes reuse an id with other content.
class simulated_callers
{
public:
    explicit simulated_callers(simulated_cluster& cluster);

    /// New jobs are submitted while this is set.
    void set_submitting(bool is_submitting);
    /// All requests at \p entry are lost with its process; their jobs are resent at once.
    void entry_lost(const std::string& entry);
    /// Jobs whose callers still wait for an answer.
    [[nodiscard]] std::vector<std::string> unanswered() const;
    [[nodiscard]] std::uint64_t submissions() const { return submissions_; }

private:
    /// One content of one submission id, and what its caller knows of it.
    struct order
    {
        schema::submission submission;
        std::uint32_t variant = 0;
        bool is_done = false;
        std::uint32_t refusals = 0;
        std::uint64_t attempt = 0; ///< number of the latest request round
    };

    using order_key = std::pair<std::string, std::uint32_t>;

    struct pending
    {
        caller_request request;
        bool is_extra = false; ///< a copy beside the caller's main request
    };

    void schedule_submission();
    void submit_new();
    schema::submission draw_submission(const std::string& id, std::uint32_t variant);
    void add(const schema::submission& submission, std::uint32_t variant);
    void send(const order_key& key, bool is_extra);
    void send_later(const order_key& key, absl::Duration delay, bool is_extra);
    void ask_about(const order_key& key, ask kind);
    void lose_patience(std::uint64_t request_id);
    void resend(const pending& lost);
    void answered(const std::string& entry, std::uint64_t request_id, schema::job_answer answer);
    void react(const pending& asked, const schema::job_answer& answer);
    void react_to_failure(const order_key& key, const schema::job_answer& answer);
    void finish(const order_key& key);
    [[nodiscard]] std::string draw_entry();
    [[nodiscard]] schema::job_answer break_answer(const pending& asked, schema::job_answer answer);
    bool chance(double probability) { return cluster_.random().unit() < probability; }

    simulated_cluster& cluster_;
    bool is_submitting_ = false;
    bool is_scheduled_ = false;
    std::uint64_t submissions_ = 0;
    std::uint64_t last_request_ = 0;
    absl::btree_map<order_key, order> orders_;
    absl::btree_map<order_key, bool> waiting_; ///< orders that are not done
    absl::btree_map<std::uint64_t, pending> requests_;
};

} // namespace savoryreach::simulation

#endif
