#ifndef SAVORYREACH_CONFIG_EFFECTIVE_CONFIG_HPP
#define SAVORYREACH_CONFIG_EFFECTIVE_CONFIG_HPP

#include "schema/generated/ledger.pb.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace savoryreach::config
{

/// The configuration in force at one revision, with defaults where nothing is declared. When two
/// declarations of different names concern the same kind, team or policy, the one that came into
/// force last counts.
class effective_config
{
public:
    struct kind_settings
    {
        std::uint32_t weight = 100;                             ///< share relative to other kinds
        absl::Duration urgency_bound = absl::Milliseconds(100); ///< slot time
        absl::Duration max_wait = absl::ZeroDuration();         ///< zero: the job's time budget

        friend bool operator==(const kind_settings&, const kind_settings&) = default;
    };

    struct team_settings
    {
        std::uint32_t weight = 100;  ///< share relative to other teams
        std::uint32_t max_slots = 0; ///< over all entries; 0: no bound

        friend bool operator==(const team_settings&, const team_settings&) = default;
    };

    struct endpoint_settings
    {
        std::uint32_t retry_budget_percent = 10;  ///< of the starts of a kind
        std::uint32_t max_set_aside_percent = 30; ///< of the fleet

        friend bool operator==(const endpoint_settings&, const endpoint_settings&) = default;
    };

    struct retention_settings
    {
        absl::Duration answer = absl::Seconds(30);
        absl::Duration claim = absl::Hours(24);
        std::uint32_t max_claims = 10'000'000;

        friend bool operator==(const retention_settings&, const retention_settings&) = default;
    };

    /// Revision 0: all defaults.
    effective_config() = default;

    /// This configuration after \p view, complete or a change. A view whose revision is not higher
    /// gives this configuration unchanged, so that a late message never reverts it.
    [[nodiscard]] effective_config with(const schema::cluster_view& view) const;

    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] kind_settings kind(std::string_view name) const;
    [[nodiscard]] team_settings team(std::string_view name) const;
    [[nodiscard]] const endpoint_settings& endpoints() const { return endpoints_; }
    [[nodiscard]] const retention_settings& retention() const { return retention_; }

    friend bool operator==(const effective_config& a, const effective_config& b)
    {
        return a.revision_ == b.revision_ && a.kinds_ == b.kinds_ && a.teams_ == b.teams_ &&
               a.endpoints_ == b.endpoints_ && a.retention_ == b.retention_;
    }

private:
    void rebuild();
    void apply(const schema::declaration& declaration);

    std::uint64_t revision_ = 0;                            ///< Of the last applied view.
    std::map<std::string, schema::config_entry> entries_;   ///< Declarations in force by name.
    absl::flat_hash_map<std::string, kind_settings> kinds_; ///< Declared kinds.
    absl::flat_hash_map<std::string, team_settings> teams_; ///< Declared teams.
    endpoint_settings endpoints_;                           ///< Declared or default.
    retention_settings retention_;                          ///< Declared or default.
};

} // namespace savoryreach::config

#endif
