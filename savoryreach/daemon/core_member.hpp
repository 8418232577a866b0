#ifndef SAVORYREACH_DAEMON_CORE_MEMBER_HPP
#define SAVORYREACH_DAEMON_CORE_MEMBER_HPP

#include "savoryreach/base/clock.hpp"
#include "savoryreach/base/seeded_random.hpp"
#include "savoryreach/dispatch/core_planner.hpp"
#include "savoryreach/dispatch/fleet_store.hpp"
#include "savoryreach/keeper/replicated_log.hpp"
#include "savoryreach/net/link_hub.hpp"
#include "savoryreach/storage/file_log_storage.hpp"
#include "savoryreach/storage/posix_disk.hpp"

#include <boost/asio.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savoryreach::daemon
{

/// Who this process is in the core. Stored beside the log, since votes and log belong to it: a
/// process that has lost its disk is another member, even at the same address.
struct core_identity
{
    std::string name;
    schema::keeper_set founders; ///< members before any log entry; empty for a later member
};

/// What a process needs to know to take part in the core.
struct core_options
{
    std::string folder;
    std::string address;            ///< where this process listens
    std::vector<std::string> seeds; ///< first members, in the first start of the system
    bool first_start = false;
    std::size_t wanted_voters = 3;
};

/// Reads the identity in the folder or makes and stores one; nullopt with \p why.
[[nodiscard]] std::optional<core_identity>
load_identity(storage::disk& disk, const core_options& options, std::string& why);

/// A process's part in the core: its log on disk, the store that it drives, and as the leader the
/// changes of the members.
class core_member
{
public:
    /// Opens the folder and starts to take part; null with \p why.
    [[nodiscard]] static std::unique_ptr<core_member>
    open(boost::asio::io_context& io, const core_options& options, const core_identity& identity,
         net::link_hub& hub, const base::clock& clock, observe::event_sink& events,
         const std::function<void()>& changed, std::string& why);

    void receive(const net::link_peer& from, const schema::envelope& message);
    void tick();
    std::optional<std::uint64_t> propose(schema::command command);
    /// Gives up leading, for a planned end.
    void retire() { log_->transfer_leadership(); }

    [[nodiscard]] bool can_serve() const { return log_->can_serve(); }
    [[nodiscard]] bool is_leader() const { return log_->is_leader() && !log_->is_failed(); }
    [[nodiscard]] std::uint64_t term() const { return log_->term(); }
    [[nodiscard]] std::uint64_t applied_index() const { return log_->applied_index(); }
    [[nodiscard]] const dispatch::fleet_store& store() const { return store_; }
    [[nodiscard]] const schema::keeper_set& members() const { return log_->members().current(); }

private:
    core_member(const core_options& options, const core_identity& identity, net::link_hub& hub,
                const base::clock& clock, observe::event_sink& events);

    void plan_members();

    std::string name_;
    net::link_hub& hub_;
    const base::clock& clock_;
    observe::event_sink& events_;
    dispatch::core_planner planner_;
    base::seeded_random random_;
    dispatch::fleet_store store_;
    storage::posix_disk disk_;
    std::unique_ptr<storage::file_log_storage> storage_;
    std::optional<keeper::keeper_ports> ports_;
    std::unique_ptr<keeper::replicated_log> log_;
    absl::Time leading_since_ = absl::InfiniteFuture();
    absl::Time plan_at_ = absl::InfinitePast();
    std::string last_plan_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< for callbacks of the disk
};

} // namespace savoryreach::daemon

#endif
