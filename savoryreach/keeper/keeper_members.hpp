#ifndef SAVORYREACH_KEEPER_KEEPER_MEMBERS_HPP
#define SAVORYREACH_KEEPER_KEEPER_MEMBERS_HPP

#include "schema/generated/ledger.pb.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace savoryreach::keeper
{

/// The keeper sets in the log. The latest one applies, whether it is committed or not.
class keeper_members
{
public:
    /// \p initial applies until the log has a keeper set.
    explicit keeper_members(schema::keeper_set initial);

    /// Adds the keeper set of the entry appended at \p index.
    void append(std::uint64_t index, const schema::keeper_set& set);
    /// Removes the sets of entries with \p index or a greater one.
    void truncate_from(std::uint64_t index);
    /// Replaces all sets up to \p index by \p set from a snapshot.
    void reset(std::uint64_t index, const schema::keeper_set& set);
    /// Removes the sets that were replaced at or before \p index.
    void compact(std::uint64_t index);

    [[nodiscard]] const schema::keeper_set& current() const { return sets_.back().second; }
    /// Index at which the current set was appended.
    [[nodiscard]] std::uint64_t current_index() const { return sets_.back().first; }
    /// The set that applies at \p index.
    [[nodiscard]] const schema::keeper_set& at(std::uint64_t index) const;
    [[nodiscard]] bool is_voter(const std::string& name) const;
    [[nodiscard]] const schema::keeper_member* find(const std::string& name) const;
    [[nodiscard]] std::size_t voter_count() const;
    [[nodiscard]] std::size_t quorum() const { return voter_count() / 2 + 1; }

    /// The greatest value that a quorum of voters has reached; a default value without voters.
    template <typename Value>
    [[nodiscard]] Value quorum_value(const std::function<Value(const std::string&)>& value_of) const
    {
        std::vector<Value> values;
        for (const auto& member : current().members())
        {
            if (member.voter())
            {
                values.push_back(value_of(member.name()));
            }
        }
        return values.empty() ? Value{} : nth_greatest(std::move(values), quorum());
    }

private:
    template <typename Value>
    static Value nth_greatest(std::vector<Value> values, std::size_t n)
    {
        std::sort(values.begin(), values.end(), std::greater<>());
        return values[n - 1];
    }

    std::vector<std::pair<std::uint64_t, schema::keeper_set>> sets_; ///< ascending; never empty
};

} // namespace savoryreach::keeper

#endif
