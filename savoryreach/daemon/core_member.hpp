#ifndef SAVORYREACH_DAEMON_CORE_MEMBER_HPP
#define SAVORYREACH_DAEMON_CORE_MEMBER_HPP

#include "savoryreach/base/clock.hpp"
#include "savoryreach/base/seeded_random.hpp"
#include "savoryreach/dispatch/core_planner.hpp"
#include "savoryreach/dispatch/fleet_store.hpp"
#include "savoryreach/keeper/replicated_log.hpp"
#include "savoryreach/net/link_hub.hpp"
#include "savoryreach/storage/disk.hpp"
#include "savoryreach/storage/file_log_storage.hpp"
#include "savoryreach/storage/reopen_schedule.hpp"

#include <absl/container/flat_hash_map.h>

#include <boost/asio.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savoryreach::daemon
{

/// Identity of this process as a member of the core. It is stored beside the log, since votes and
/// log entries belong to it: a process that has lost its disk is a new member, even at the same
/// address.
struct core_identity
{
    std::string name;
    schema::keeper_set founders; ///< initial members; empty for a member that was added later
};

/// Settings of a core member.
struct core_options
{
    std::string folder;
    std::string address;            ///< listen address of this process
    std::vector<std::string> seeds; ///< addresses of the initial members at the first start
    bool first_start = false;
    std::size_t wanted_voters = 3;
    /// A voter without a sign of life for this time is replaced, if there is a stand-by.
    absl::Duration replace_after = absl::Seconds(3);
};

/// Reads the identity from the folder, or creates and stores one. On failure returns nullopt and
/// sets \p error.
[[nodiscard]] std::optional<core_identity>
load_identity(storage::disk& disk, const core_options& options, std::string& error);

/// A member of the core: its log on disk, the state machine that the log is applied to, and, on the
/// leader, the changes of the membership. When its disk refuses a write, the member stops voting,
/// leading and acknowledging, opens the log again as a new process would, and then counts again;
/// the process goes on serving requests meanwhile.
class core_member
{
public:
    using times_by_name = absl::flat_hash_map<std::string, absl::Time>;

    /// Opens the log in the folder on \p disk. On failure returns null and sets \p error. \p
    /// on_change is called when a write to disk has completed or failed, and when the log is open
    /// again.
    [[nodiscard]] static std::unique_ptr<core_member>
    open(boost::asio::io_context& io, std::unique_ptr<storage::disk> disk,
         const core_options& options, const core_identity& identity, net::link_hub& hub,
         const base::clock& clock, observe::event_sink& events,
         const std::function<void()>& on_change, std::string& error);

    void receive(const net::link_peer& from, const schema::envelope& message);
    void tick();
    std::optional<std::uint64_t> propose(schema::command command);
    /// Gives up leadership and does not lead again; for a planned shutdown.
    void retire();

    [[nodiscard]] bool can_serve() const { return log_->can_serve(); }
    [[nodiscard]] bool is_leader() const { return log_->is_leader() && !log_->is_failed(); }
    [[nodiscard]] std::uint64_t term() const { return log_->term(); }
    /// For a leader; as of the log.
    [[nodiscard]] absl::Time quorum_contact() const { return log_->quorum_contact(); }
    [[nodiscard]] absl::Time earlier_quorum_contact() const
    {
        return log_->earlier_quorum_contact();
    }
    [[nodiscard]] std::uint64_t applied_index() const { return log_->applied_index(); }
    [[nodiscard]] const dispatch::fleet_store& store() const { return store_; }
    [[nodiscard]] const schema::keeper_set& members() const { return log_->members().current(); }
    /// Since when the disk refuses writes; nullopt while the log is open.
    [[nodiscard]] std::optional<absl::Time> failed_since() const
    {
        return reopen_schedule_.failed_since();
    }
    /// Times that the disk has refused a write to the open log.
    [[nodiscard]] std::uint64_t storage_failures() const { return storage_failures_; }

private:
    core_member(std::unique_ptr<storage::disk> disk, const core_options& options,
                core_identity identity, net::link_hub& hub, const base::clock& clock,
                observe::event_sink& events);

    [[nodiscard]] storage::file_log_storage::callbacks
    storage_callbacks(boost::asio::io_context& io, const std::function<void()>& on_change);
    void load_log(const storage::file_log_storage::recovered_content& content);
    void on_storage_failed(const std::string& reason);
    void on_storage_reopened(const storage::file_log_storage::recovered_content& content);
    void update_membership();
    void record_links();
    [[nodiscard]] absl::Time last_linked_at(const std::string& name) const;

    core_identity identity_;
    net::link_hub& hub_;
    const base::clock& clock_;
    observe::event_sink& events_;
    dispatch::core_planner planner_;
    base::seeded_random random_;
    dispatch::fleet_store store_;
    std::unique_ptr<storage::disk> disk_; ///< used by the thread of storage_
    std::unique_ptr<storage::file_log_storage> storage_;
    std::optional<keeper::keeper_ports> ports_;
    std::unique_ptr<keeper::replicated_log> log_; ///< replaced when the storage is open again
    storage::reopen_schedule reopen_schedule_;
    std::string last_failure_; ///< reason of the last failure; repeats are not logged
    std::uint64_t storage_failures_ = 0;
    bool retired_ = false;
    absl::Time leading_since_ = absl::InfiniteFuture();
    absl::Time started_at_;
    times_by_name last_heard_at_;   ///< of members, over links
    times_by_name last_added_at_;   ///< by this process as the leader
    times_by_name last_removed_at_; ///< by this process as the leader
    absl::Time next_membership_update_ = absl::InfinitePast();
    std::string last_change_; ///< last attempted change; failed repeats are not logged
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< checked by disk callbacks
};

} // namespace savoryreach::daemon

#endif
