#ifndef SAVORYREACH_TESTS_ENTRY_ENTRY_FIXTURE_HPP
#define SAVORYREACH_TESTS_ENTRY_ENTRY_FIXTURE_HPP

#include "savoryreach/base/error.hpp"
#include "savoryreach/base/seeded_random.hpp"
#include "savoryreach/entry/entry_core.hpp"
#include "tests/entry/fake_agent.hpp"
#include "tests/entry/fake_keeper.hpp"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace savoryreach::entry
{

/// An entry core on the fake network that records its answers and events.
class entry_node final : public caller_port, public observe::event_sink
{
public:
    entry_node(simulation::fake_network& network, simulation::virtual_clock& clock,
               base::random_source& random, const std::string& name);

    void answer(std::uint64_t request_id, const schema::job_answer& answer) override;
    void record(std::string_view kind, std::initializer_list<observe::event_field>) override;

    /// Destroys the core and detaches it from the network without leaving the cluster.
    void kill();
    [[nodiscard]] bool has(std::uint64_t request_id) const { return answers.contains(request_id); }
    [[nodiscard]] base::error_kind kind_of(std::uint64_t request_id) const;

    std::string name;
    std::map<std::uint64_t, schema::job_answer> answers; ///< by request id
    std::vector<std::string> events;
    std::unique_ptr<entry_core> core; ///< null once killed

private:
    simulation::fake_network& network_;
    std::unique_ptr<net::transport> transport_;
};

/// Runs entries, one keeper and agents in virtual time with a fixed seed.
class entry_fixture : public testing::Test
{
protected:
    entry_node& add_entry(const std::string& name);
    fake_agent& add_agent(const std::string& name, std::uint64_t incarnation = 100);
    /// Advances the cluster by \p time in steps of 1 ms.
    void run(absl::Duration time);
    /// Starts entry "e1" with agent "a1" and returns the entry when it is ready.
    entry_node& start_one();

    /// Makes a submission whose tasks have the payloads "0", "1", ...
    static schema::submission make(const std::string& id, int tasks, bool idempotent = false);
    /// Submits and returns the request id.
    std::uint64_t submit(entry_node& entry, const schema::submission& submission,
                         absl::Duration within = absl::Seconds(20), bool wait = true);
    /// Returns an id of the form prefix<n> whose home among \p entries is \p home.
    std::string id_with_home(const std::string& home, const std::string& prefix,
                             const std::vector<std::string>& entries) const;

    simulation::virtual_clock clock;
    base::seeded_random random{20261204};
    simulation::fake_network network{clock, random};
    fake_keeper keeper{network};
    std::map<std::string, std::unique_ptr<entry_node>> entries;
    std::map<std::string, std::unique_ptr<fake_agent>> agents;
    std::uint64_t last_request = 0;
};

} // namespace savoryreach::entry

#endif
