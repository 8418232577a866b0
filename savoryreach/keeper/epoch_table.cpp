#include "savoryreach/keeper/epoch_table.hpp"

#include "savoryreach/base/digest.hpp"
#include "savoryreach/keeper/keeper_times.hpp"

#include <algorithm>

namespace savoryreach::keeper
{

std::uint64_t epoch_table::join(const schema::join_entry& join, std::uint64_t index,
                                std::int64_t now_ms, bool& changed)
{
    for (const auto& [epoch, row] : rows_)
    {
        if (row.record.join().name() == join.name() &&
            row.record.join().process_nonce() == join.process_nonce())
        {
            return epoch;
        }
    }
    for (auto& [epoch, row] : rows_)
    {
        if (row.record.join().name() == join.name())
        {
            end_epoch(epoch, false, now_ms);
        }
    }
    auto& record = rows_[index].record;
    *record.mutable_join() = join;
    record.set_epoch(index);
    record.set_joined_at_ms(now_ms);
    changed = true;
    return index;
}

bool epoch_table::end_epoch(std::uint64_t epoch, bool left, std::int64_t now_ms)
{
    const auto it = rows_.find(epoch);
    if (it == rows_.end() || it->second.record.fenced_at_ms() != 0)
    {
        return false;
    }
    it->second.record.set_fenced_at_ms(now_ms);
    it->second.record.set_left(left);
    return true;
}

const schema::epoch_record* epoch_table::find(std::uint64_t epoch) const
{
    const auto it = rows_.find(epoch);
    return it == rows_.end() ? nullptr : &it->second.record;
}

epoch_status epoch_table::status(std::uint64_t epoch) const
{
    const auto* record = find(epoch);
    if (record == nullptr)
    {
        return epoch_status::unknown;
    }
    if (record->fenced_at_ms() == 0)
    {
        return epoch_status::live;
    }
    return record->left() ? epoch_status::left : epoch_status::fenced;
}

std::vector<std::uint64_t> epoch_table::live() const
{
    std::vector<std::uint64_t> epochs;
    for (const auto& [epoch, row] : rows_)
    {
        if (row.record.fenced_at_ms() == 0)
        {
            epochs.push_back(epoch);
        }
    }
    return epochs;
}

std::size_t epoch_table::live_count() const
{
    return live().size();
}

bool epoch_table::any_ended_between(std::int64_t from_ms, std::int64_t to_ms) const
{
    return std::ranges::any_of(rows_,
                               [=](const auto& it)
                               {
                                   const auto at = it.second.record.fenced_at_ms();
                                   return at != 0 && from_ms <= at && at <= to_ms;
                               });
}

void epoch_table::retain_until(std::uint64_t epoch, std::uint32_t until_minute)
{
    const auto it = rows_.find(epoch);
    if (it != rows_.end())
    {
        it->second.retained_until_minute = std::max(it->second.retained_until_minute, until_minute);
    }
}

void epoch_table::prune(std::int64_t now_ms, std::int64_t retention_ms)
{
    const auto minute = now_ms / 60'000;
    for (auto it = rows_.begin(); it != rows_.end();)
    {
        const auto ended = it->second.record.fenced_at_ms();
        const bool over = ended != 0 && ended + retention_ms < now_ms &&
                          it->second.retained_until_minute < minute;
        it = over ? rows_.erase(it) : std::next(it);
    }
}

void epoch_table::fill_view(schema::cluster_view& view, std::int64_t now_ms) const
{
    for (const auto& [epoch, row] : rows_)
    {
        const auto& record = row.record;
        if (record.fenced_at_ms() == 0)
        {
            auto* entry = view.add_entries();
            entry->set_name(record.join().name());
            entry->set_address(record.join().address());
            entry->set_data_centre(record.join().data_centre());
            entry->set_epoch(epoch);
        }
        else if (!record.left() && record.fenced_at_ms() + fenced_epoch_listing_ms > now_ms)
        {
            view.add_fenced_epochs(epoch);
        }
    }
}

void epoch_table::save(schema::ledger_snapshot& snapshot) const
{
    for (const auto& [epoch, row] : rows_)
    {
        *snapshot.add_epochs() = row.record;
    }
}

void epoch_table::load(const schema::ledger_snapshot& snapshot)
{
    rows_.clear();
    for (const auto& record : snapshot.epochs())
    {
        rows_[record.epoch()].record = record;
    }
}

std::uint64_t epoch_table::hash() const
{
    std::uint64_t hash = rows_.size();
    for (const auto& [epoch, row] : rows_)
    {
        hash = base::stable_hash(row.record.SerializeAsString(), hash);
    }
    return hash;
}

} // namespace savoryreach::keeper
