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
/// Interval at which the leader checks whether the membership must change.
constexpr absl::Duration membership_interval = absl::Milliseconds(500);

constexpr const char* identity_file = "/identity";

std::uint64_t random_u64()
{
    std::random_device device;
    constexpr unsigned half = 32;
    return (static_cast<std::uint64_t>(device()) << half) | device();
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

core_member::core_member(const core_options& options, const core_identity& identity,
                         net::link_hub& hub, const base::clock& clock, observe::event_sink& events)
    : name_(identity.name), hub_(hub), clock_(clock), events_(events),
      planner_(options.wanted_voters), random_(random_u64())
{
}

std::unique_ptr<core_member>
core_member::open(boost::asio::io_context& io, const core_options& options,
                  const core_identity& identity, net::link_hub& hub, const base::clock& clock,
                  observe::event_sink& events, const std::function<void()>& on_change,
                  std::string& error)
{
    std::unique_ptr<core_member> out(new core_member(options, identity, hub, clock, events));
    const std::weak_ptr<bool> alive = out->alive_;
    auto* self = out.get();
    auto opened = storage::file_log_storage::open(
        out->disk_, options.folder + "/log",
        {.persisted =
             [&io, alive, self, on_change](std::uint64_t ticket)
         {
             boost::asio::post(io,
                               [alive, self, on_change, ticket]
                               {
                                   if (alive.lock())
                                   {
                                       self->log_->persisted(ticket);
                                       on_change();
                                   }
                               });
         },
         .failed =
             [&io, alive, self, on_change](const std::string& reason)
         {
             boost::asio::post(io,
                               [alive, self, on_change, reason]
                               {
                                   if (alive.lock())
                                   {
                                       self->events_.record("storage_failed", {{"reason", reason}});
                                       self->log_->storage_failed();
                                       on_change();
                                   }
                               });
         }},
        {.segment_bytes = segment_bytes}, error);
    if (!opened)
    {
        return nullptr;
    }
    for (const auto& it : opened->repairs)
    {
        events.record("storage_repaired", {{"detail", it}});
    }
    out->storage_ = std::move(opened->storage);
    out->ports_.emplace(keeper::keeper_ports{clock, out->random_, hub, *out->storage_, events});
    out->log_ = std::make_unique<keeper::replicated_log>(
        keeper::log_options{identity.name, identity.founders, snapshot_every}, opened->state,
        *out->ports_, out->store_);
    return out;
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
    log_->tick();
    if (!log_->can_serve())
    {
        leading_since_ = absl::InfiniteFuture();
        return;
    }
    const auto now = clock_.now();
    leading_since_ = std::min(leading_since_, now);
    if (now >= next_membership_update_)
    {
        next_membership_update_ = now + membership_interval;
        update_membership();
    }
}

void core_member::update_membership()
{
    const auto change =
        planner_.next({name_, log_->members().current(),
                       [this](const std::string& name) { return log_->last_contact(name); },
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
    last_change_ = text;
    log_->flush();
}

} // namespace savoryreach::daemon
