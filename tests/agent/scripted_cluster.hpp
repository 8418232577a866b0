#ifndef SAVORYREACH_AGENT_SCRIPTED_CLUSTER_HPP
#define SAVORYREACH_AGENT_SCRIPTED_CLUSTER_HPP

#include "savoryreach/agent/agent_core.hpp"
#include "savoryreach/base/seeded_random.hpp"
#include "savoryreach/net/session.hpp"
#include "tests/simulation/counting_sink.hpp"
#include "tests/simulation/fake_network.hpp"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace savoryreach::agent
{

/// Endpoint that records run and stop requests. A test ends a run with scripted_cluster::end_run().
class scripted_endpoint final : public endpoint_port
{
public:
    void run(const run_request& request) override
    {
        runs.push_back(request);
        if (on_run)
        {
            on_run(request);
        }
    }
    void stop(std::uint64_t run_id) override { stopped_run_ids.insert(run_id); }

    std::vector<run_request> runs; ///< requested runs; a test may erase ended ones
    std::set<std::uint64_t> stopped_run_ids;
    std::function<void(const run_request&)> on_run; ///< called with each run request
};

/// Scripted entry with one epoch: grants leases and records the messages of the agent.
struct scripted_entry
{
    base::node_name name;
    std::uint64_t epoch = 0;
    std::uint32_t lease_ms = 2000; ///< 0: does not reply to hellos
    schema::cluster_view view;     ///< sent with each hello reply
    std::unique_ptr<net::session> session;
    std::vector<schema::agent_hello> hellos;
    std::vector<schema::task_result> results;
    std::vector<schema::recall_result> recall_results;
    std::vector<schema::inquiry_reply> inquiry_replies;
    std::uint64_t credit_limit = 0; ///< highest limit received
};

/// Agent core with scripted keepers, entries and endpoint on the fake network.
class scripted_cluster
{
public:
    explicit scripted_cluster(std::uint64_t seed = 1, std::uint32_t slots = 2);

    /// Adds an entry to the keepers' view; the agent gets it with the next keeper reply.
    scripted_entry& add_entry(const std::string& name, std::uint64_t epoch);
    /// Adds an entry and runs the simulation for 6 s, in which the agent opens a session.
    scripted_entry& open_entry(const std::string& name, std::uint64_t epoch);
    /// Removes the entry of an epoch from the keepers' view and lists the epoch as fenced.
    void fence_in_view(std::uint64_t epoch);

    void send_item(scripted_entry& entry, schema::session_item item);
    void send_start(scripted_entry& entry, const schema::task_start& start);
    void send_recall(scripted_entry& entry, const std::string& submission, std::uint32_t task);
    void send_inquiry(const scripted_entry& asker, std::uint64_t dead_epoch);
    void end_run(std::size_t run,
                 const run_outcome& outcome = {run_outcome::result::succeeded, "out", ""});

    /// Advances the simulation by a duration in steps of 1 ms.
    void run_for(absl::Duration duration);

    simulation::virtual_clock clock;
    base::seeded_random random;
    simulation::fake_network network;
    scripted_endpoint endpoint;
    simulation::counting_sink events;
    schema::cluster_view keeper_view; ///< sent with each keeper reply
    std::uint64_t incarnation = 50;   ///< assigned at registration; each expiry adds 1
    bool expire_next_renewal = false;
    std::vector<std::string> keeper_requests;      ///< kinds, in order of arrival at the leader
    std::vector<std::uint64_t> process_nonces;     ///< of the registrations
    std::map<std::string, scripted_entry> entries; ///< by name
    absl::btree_map<std::uint64_t, absl::Time> lease_ends; ///< by epoch, on the entry's side
    std::unique_ptr<net::transport> agent_transport;
    std::unique_ptr<agent_core> agent;

private:
    void on_keeper_request(const base::node_name& keeper, const schema::keeper_request& request);
    void on_entry_message(scripted_entry& entry, const schema::envelope& message);
    void on_session_item(scripted_entry& entry, const schema::session_item& item);
    void step();
};

schema::task_start make_start(const std::string& submission, std::uint32_t task = 0,
                              std::uint32_t attempt = 0);

} // namespace savoryreach::agent

#endif
