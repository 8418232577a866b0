#include "savoryreach/daemon/core_member.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <random>

namespace savoryreach::daemon
{
namespace
{

/// Applied entries between snapshots. An entry with a configuration has up to 200 KB, so the log
/// stays below a tenth of a disk of 128 MB.
constexpr std::uint64_t snapshot_every = 64;
constexpr std::uint64_t segment_bytes = 2UL * 1024 * 1024;
/// Interval at which a member notes whom it hears and, as the leader, whether the membership must
/// change.
constexpr absl::Duration membership_interval = absl::Milliseconds(100);

/// Time for a learner to catch up: the transfer of a snapshot and some slow syncs.
constexpr absl::Duration learner_time = absl::Seconds(5);

constexpr const char* identity_file = "/identity";

std::uint64_t random_u64()
{
    std::random_device device;
    constexpr unsigned half = 32;
    return (static_cast<std::uint64_t>(device()) << half) | device();
}

absl::Time time_of(const core_member::times_by_name& times, const std::string& name,
                   absl::Time fallback)
{
    const auto it = times.find(name);
    return it == times.end() ? fallback : it->second;
}

std::string founder_name(const std::string& address)
{
    return absl::StrCat(address, "/founder");
}

} // namespace

std::optional<core_identity> load_identity(storage::disk& disk, const core_options& options,
                                           std::string& error)
{
    const auto path = options.folder + identity_file;
    if (!disk.make_folder(options.folder))
    {
        error = disk.last_reason();
        return std::nullopt;
    }
    core_identity out;
    // The file holds a ledger_snapshot: `keepers` are the founders, the name of the only agent is
    // the name of this member.
    schema::ledger_snapshot record;
    if (const auto bytes = disk.read(path))
    {
        if (!record.ParseFromString(*bytes) || record.agents_size() != 1)
        {
            error = path + ": unreadable";
            return std::nullopt;
        }
        // The process that wrote it may have been killed before it synced the name.
        if (!disk.sync_folder(options.folder))
        {
            error = disk.last_reason();
            return std::nullopt;
        }
        return core_identity{record.agents(0).name(), record.keepers()};
    }
    // A file that can't be read now must not be replaced: the votes in the log are this member's.
    const auto reason = disk.last_reason();
    const auto names = disk.list(options.folder);
    if (!names || std::ranges::find(*names, identity_file + 1) != names->end())
    {
        error = names ? reason : disk.last_reason();
        return std::nullopt;
    }
    const bool is_founder =
        options.first_start &&
        std::ranges::find(options.seeds, options.address) != options.seeds.end();
    out.name = is_founder
                   ? founder_name(options.address)
                   : absl::StrCat(options.address, "/", absl::StrFormat("%016x", random_u64()));
    for (const auto& it : options.seeds)
    {
        if (is_founder)
        {
            auto& member = *out.founders.add_members();
            member.set_name(founder_name(it));
            member.set_address(it);
            member.set_voter(true);
        }
    }
    record.add_agents()->set_name(out.name);
    *record.mutable_keepers() = out.founders;
    const auto temporary = path + ".new";
    auto file = disk.create(temporary);
    if (!file || !file->write(record.SerializeAsString()) || !file->sync())
    {
        error = file ? file->last_reason() : disk.last_reason();
        return std::nullopt;
    }
    file.reset();
    if (!disk.rename(temporary, path) || !disk.sync_folder(options.folder))
    {
        error = disk.last_reason();
        return std::nullopt;
    }
    return out;
}

core_member::core_member(std::unique_ptr<storage::disk> disk, const core_options& options,
                         core_identity identity, net::link_hub& hub, const base::clock& clock,
                         observe::event_sink& events)
    : identity_(std::move(identity)), hub_(hub), clock_(clock), events_(events),
      planner_(options.wanted_voters, options.replace_after), random_(random_u64()),
      disk_(std::move(disk)), started_at_(clock.now())
{
}

std::unique_ptr<core_member>
core_member::open(boost::asio::io_context& io, std::unique_ptr<storage::disk> disk,
                  const core_options& options, const core_identity& identity, net::link_hub& hub,
                  const base::clock& clock, observe::event_sink& events,
                  const std::function<void()>& on_change, std::string& error)
{
    std::unique_ptr<core_member> out(
        new core_member(std::move(disk), options, identity, hub, clock, events));
    auto opened = storage::file_log_storage::open(*out->disk_, options.folder + "/log",
                                                  out->storage_callbacks(io, on_change),
                                                  {.segment_bytes = segment_bytes}, error);
    if (!opened)
    {
        return nullptr;
    }
    out->storage_ = std::move(opened->storage);
    out->ports_.emplace(keeper::keeper_ports{clock, out->random_, hub, *out->storage_, events});
    out->load_log(opened->content);
    return out;
}

storage::file_log_storage::callbacks
core_member::storage_callbacks(boost::asio::io_context& io, const std::function<void()>& on_change)
{
    const std::weak_ptr<bool> alive = alive_;
    // Runs \p handler on the event loop if this object is still there.
    const auto post = [&io, alive, on_change](auto handler)
    {
        boost::asio::post(io,
                          [alive, on_change, handler = std::move(handler)]() noexcept
                          {
                              if (alive.lock())
                              {
                                  handler();
                                  on_change();
                              }
                          });
    };
    using recovered_content = storage::file_log_storage::recovered_content;
    return {.persisted = [this, post](std::uint64_t ticket)
            { post([this, ticket] { log_->persisted(ticket); }); },
            .failed = [this, post](std::string reason)
            { post([this, reason = std::move(reason)] { on_storage_failed(reason); }); },
            .reopened =
                [this, post](recovered_content content)
            {
                post([this, content = std::move(content)] { on_storage_reopened(content); });
            }};
}

void core_member::load_log(const storage::file_log_storage::recovered_content& content)
{
    for (const auto& it : content.repairs)
    {
        events_.record("storage_repaired", {{"detail", it}});
    }
    store_ = {};
    log_ = std::make_unique<keeper::replicated_log>(
        keeper::log_options{identity_.name, identity_.founders, snapshot_every}, content.state,
        *ports_, store_);
}

void core_member::on_storage_failed(const std::string& reason)
{
    if (!reopen_schedule_.failed_since())
    {
        ++storage_failures_;
        log_->storage_failed();
    }
    if (reason != last_failure_)
    {
        events_.record("storage_failed", {{"reason", reason}});
        last_failure_ = reason;
    }
    reopen_schedule_.on_failure(clock_.now());
}

void core_member::on_storage_reopened(const storage::file_log_storage::recovered_content& content)
{
    load_log(content);
    if (log_->is_failed())
    {
        on_storage_failed("the snapshot can't be loaded");
        return;
    }
    if (retired_)
    {
        log_->transfer_leadership();
    }
    events_.record(
        "storage_reopened",
        {{"after_ms", absl::StrCat(absl::ToInt64Milliseconds(
                          clock_.now() - reopen_schedule_.failed_since().value_or(clock_.now())))},
         {"attempts", absl::StrCat(reopen_schedule_.attempts())},
         {"last_index", absl::StrCat(log_->last_index())}});
    reopen_schedule_.on_reopened();
    last_failure_.clear();
}

void core_member::retire()
{
    retired_ = true;
    log_->transfer_leadership();
}

void core_member::receive(const net::link_peer& from, const schema::envelope& message)
{
    log_->receive(base::node_name(from.name), message);
}

std::optional<std::uint64_t> core_member::propose(schema::command command)
{
    command.set_proposed_at_ms(absl::ToUnixMillis(clock_.wall_now()));
    const auto index = log_->propose(std::move(command));
    log_->flush();
    return index;
}

void core_member::tick()
{
    if (reopen_schedule_.begin_attempt(clock_.now()))
    {
        storage_->reopen();
    }
    log_->tick();
    const auto now = clock_.now();
    const bool is_due = now >= next_membership_update_;
    if (is_due)
    {
        next_membership_update_ = now + membership_interval;
        record_links();
    }
    if (!log_->can_serve())
    {
        leading_since_ = absl::InfiniteFuture();
        return;
    }
    leading_since_ = std::min(leading_since_, now);
    if (is_due)
    {
        update_membership();
    }
}

void core_member::record_links()
{
    for (const auto& it : members().members())
    {
        auto& last = last_heard_at_.try_emplace(it.name(), started_at_).first->second;
        last = std::max(last, hub_.heard_at(it.name()));
    }
}

/// While this process leads, only answers count: a member may be linked and yet not store anything.
absl::Time core_member::last_linked_at(const std::string& name) const
{
    return std::max(std::min(time_of(last_heard_at_, name, started_at_), leading_since_),
                    time_of(last_added_at_, name, absl::InfinitePast()));
}

void core_member::update_membership()
{
    const auto change =
        planner_.next({identity_.name, log_->members().current(),
                       [this](const std::string& name) { return log_->last_contact(name); },
                       [this](const std::string& name) { return last_linked_at(name); },
                       [this](const std::string& name)
                       { return time_of(last_added_at_, name, leading_since_) + learner_time; },
                       [this](const std::string& name)
                       { return time_of(last_removed_at_, name, absl::InfinitePast()); },
                       hub_.peers(), leading_since_},
                      clock_.now());
    if (!change)
    {
        return;
    }
    std::string error;
    const auto index = log_->change_members(*change, error);
    const auto text = absl::StrCat(change->name(), change->remove() ? " remove " : " add ", error);
    if (index || text != last_change_)
    {
        events_.record("member_change", {{"peer", change->name()},
                                         {"change", change->remove() ? "remove" : "add"},
                                         {"result", index ? "proposed" : error}});
    }
    if (index)
    {
        (change->remove() ? last_removed_at_ : last_added_at_)[change->name()] = clock_.now();
    }
    last_change_ = text;
    log_->flush();
}

} // namespace savoryreach::daemon
