#ifndef SAVORYREACH_SIMULATION_CLUSTER_CHECKER_HPP
#define SAVORYREACH_SIMULATION_CLUSTER_CHECKER_HPP

#include "savoryreach/keeper/keeper_core.hpp"
#include "schema/generated/wire.pb.h"
#include "tests/simulation/run_journal.hpp"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <string>
#include <utility>

namespace savoryreach::simulation
{

/// Asserts the invariants of the replicated log and of the configuration: I8 of docs/design.md.
class cluster_checker
{
public:
    explicit cluster_checker(run_journal& journal) : journal_(journal) {}

    /// Called for all keepers between begin_round() and end_round().
    void begin_round() { serving_ = 0; }
    void keeper(const std::string& name, const keeper::keeper_core& core);
    void end_round() const;
    void keeper_restarted(const std::string& name) { applied_.erase(name); }

    /// The revision that a process has in effect; \p life differs between its processes.
    void revision(const std::string& node, std::uint64_t life, std::uint64_t revision);
    /// A view on its way to a process.
    void view(const schema::cluster_view& view);
    /// An operator was told that \p declaration is accepted.
    void accepted(const schema::declaration& declaration, std::uint64_t revision);

private:
    struct accepted_version
    {
        std::uint64_t version = 0;
        std::uint64_t digest = 0;
        friend bool operator==(const accepted_version&, const accepted_version&) = default;
    };

    void declared(std::uint64_t revision, const schema::declaration& declaration);

    run_journal& journal_;
    int serving_ = 0; ///< leaders with a valid lease in this round
    absl::btree_map<std::uint64_t, std::string> leader_of_term_;
    absl::btree_map<std::uint64_t, std::uint64_t> hash_at_; ///< by applied index
    absl::btree_map<std::string, std::uint64_t> applied_;   ///< by keeper
    absl::btree_map<std::string, std::pair<std::uint64_t, std::uint64_t>> revisions_;
    absl::btree_map<std::uint64_t, std::pair<std::string, accepted_version>> by_revision_;
    absl::btree_map<std::string, absl::btree_map<std::uint64_t, accepted_version>> by_name_;
};

} // namespace savoryreach::simulation

#endif
