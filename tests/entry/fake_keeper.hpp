#ifndef SAVORYREACH_TESTS_ENTRY_FAKE_KEEPER_HPP
#define SAVORYREACH_TESTS_ENTRY_FAKE_KEEPER_HPP

#include "tests/simulation/fake_network.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace savoryreach::entry
{

/// An in-memory keeper that replies to entries at once. Outcomes of claims can be scripted.
class fake_keeper
{
public:
    explicit fake_keeper(simulation::fake_network& network);

    /// Fences an epoch as if its lease had expired.
    void fence(std::uint64_t epoch);
    void push_view();
    void configure(schema::declaration declaration);

    bool answers_claims = true;
    bool answers_finishes = true;
    bool is_silent = false;
    std::vector<schema::agent_incarnation> agents;         ///< agents in the replies to fence_info
    std::map<std::string, schema::claim_outcome> scripted; ///< outcome by submission id
    std::vector<std::string> finished;                     ///< submissions reported as finished
    std::size_t claim_batches = 0;
    std::size_t claims = 0;
    std::size_t leaves = 0;
    std::map<std::string, std::uint64_t> epochs; ///< latest epoch of each entry

private:
    struct record
    {
        std::string digest;
        std::vector<std::uint64_t> owners;
        bool is_finished = false;
    };

    void receive(const base::node_name& from, const schema::envelope& message);
    void remove(std::uint64_t epoch);
    void reply_to(const schema::keeper_request& request, schema::keeper_reply& reply);
    schema::claim_result claim(std::uint64_t epoch, const schema::claim& it);
    [[nodiscard]] schema::cluster_view view() const;
    [[nodiscard]] bool is_fenced(std::uint64_t epoch) const;

    simulation::fake_network& network_;
    std::unique_ptr<net::transport> transport_;
    std::uint64_t last_epoch_ = 10;
    std::uint64_t revision_ = 1;
    std::vector<schema::entry_member> members_;
    std::vector<std::uint64_t> fenced_;
    std::vector<schema::config_entry> config_;
    std::map<std::uint64_t, std::uint64_t> epoch_of_nonce_;
    std::map<std::string, record> records_;
};

} // namespace savoryreach::entry

#endif
