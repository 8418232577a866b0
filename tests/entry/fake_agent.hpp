#ifndef SAVORYREACH_TESTS_ENTRY_FAKE_AGENT_HPP
#define SAVORYREACH_TESTS_ENTRY_FAKE_AGENT_HPP

#include "savoryreach/net/session.hpp"
#include "tests/simulation/fake_network.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace savoryreach::entry
{

/// An agent that announces itself to entries and handles starts as set by start_behaviour.
class fake_agent
{
public:
    enum class behaviour
    {
        succeed, ///< runs each task for run_time and answers "<payload>-done"
        fail,    ///< fails each task at once
        run,     ///< starts each task and never ends it
        queue,   ///< leaves each task unstarted and returns it on a recall or cancel
        reject   ///< answers at once that the task will not start
    };

    struct start
    {
        schema::task_start task;
        std::uint64_t epoch = 0;
        absl::Time due;
        bool is_started = false;
        bool is_ended = false;
    };

    fake_agent(simulation::fake_network& network, simulation::virtual_clock& clock,
               std::string name, std::uint64_t incarnation, std::vector<std::string> entries);

    void tick();
    /// Ends a running task of any epoch and reports it to the session and to a pending inquiry.
    void end_task(const std::string& submission_id, std::uint32_t task);
    void stop();
    [[nodiscard]] std::size_t count_starts(const std::string& submission_id) const;

    behaviour start_behaviour = behaviour::succeed;
    absl::Duration run_time = absl::Milliseconds(10);
    std::uint32_t credit = 1000;
    bool is_draining = false;
    std::string data_centre;
    std::uint32_t round_trip_us = 0; ///< as reported
    bool answers_inquiries = true;
    std::vector<start> starts;                   ///< all starts received
    std::vector<std::string> released;           ///< submissions released
    std::map<std::string, std::uint32_t> leases; ///< last lease granted, by entry
    std::size_t inquiries = 0;

private:
    struct link
    {
        base::node_name entry;
        std::unique_ptr<net::session> session;
    };

    void receive(const base::node_name& from, const schema::envelope& message);
    void receive_item(std::uint64_t epoch, const schema::session_item& item);
    void report(const start& it, schema::task_outcome outcome);
    void answer_inquiry(const base::node_name& from, const schema::inquiry& inquiry);

    simulation::fake_network& network_;
    simulation::virtual_clock& clock_;
    std::string name_;
    std::uint64_t incarnation_;
    std::vector<std::string> entries_;
    std::unique_ptr<net::transport> transport_;
    std::map<std::uint64_t, link> links_; ///< by epoch
    std::map<std::uint64_t, std::pair<base::node_name, schema::inquiry>>
        last_inquiries_; ///< by dead epoch
    absl::Time next_hello_at_ = absl::InfinitePast();
    std::uint64_t hellos_ = 0;
};

} // namespace savoryreach::entry

#endif
