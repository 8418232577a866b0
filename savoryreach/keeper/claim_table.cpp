#include "savoryreach/keeper/claim_table.hpp"

#include "savoryreach/base/digest.hpp"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <string>
#include <vector>

namespace savoryreach::keeper
{
namespace
{

constexpr std::size_t digest_size = 16; ///< bytes

std::uint64_t read_word(std::string_view bytes, std::size_t offset)
{
    std::uint64_t word = 0;
    for (std::size_t i = 0; i < sizeof word; ++i)
    {
        word = word << 8U | static_cast<unsigned char>(bytes[offset + i]);
    }
    return word;
}

void write_word(std::string& bytes, std::uint64_t word)
{
    for (int shift = 56; shift >= 0; shift -= 8)
    {
        bytes.push_back(static_cast<char>(word >> static_cast<unsigned>(shift) & 0xffU));
    }
}

/// Bytes of a length other than a digest's are hashed to a digest, so every input has a value.
digest_value to_digest(std::string_view bytes)
{
    if (bytes.size() != digest_size)
    {
        const auto reduced = base::content_digest(bytes);
        return {read_word(reduced, 0), read_word(reduced, 8)};
    }
    return {read_word(bytes, 0), read_word(bytes, 8)};
}

digest_value submission_key(std::string_view submission_id)
{
    const auto digest = base::content_digest(submission_id);
    return {read_word(digest, 0), read_word(digest, 8)};
}

std::string to_bytes(const digest_value& value)
{
    std::string bytes;
    write_word(bytes, value.high);
    write_word(bytes, value.low);
    return bytes;
}

schema::claim_result make_result(schema::claim_outcome outcome)
{
    schema::claim_result result;
    result.set_outcome(outcome);
    return result;
}

} // namespace

schema::claim_result claim_table::claim(const schema::claim& claim, std::uint64_t claimant_epoch,
                                        epoch_table& epochs, std::uint32_t expiry_minute,
                                        std::uint64_t max_claims)
{
    const auto key = submission_key(claim.submission_id());
    const auto digest = to_digest(claim.digest());
    auto& table = shard_of(key);
    auto it = table.find(key);
    if (it == table.end())
    {
        if (size_ >= max_claims)
        {
            return make_result(schema::claim_full);
        }
        auto& created = table[key];
        created.digest = digest;
        created.owner = claimant_epoch;
        ++size_;
        extend(key, created, epochs, expiry_minute);
        return make_result(schema::claim_granted);
    }
    auto& existing = it->second;
    if (existing.digest != digest)
    {
        return make_result(schema::claim_conflict);
    }
    if (existing.finished)
    {
        return make_result(schema::claim_finished);
    }
    if (existing.owner != claimant_epoch)
    {
        if (epochs.status(existing.owner) == epoch_status::live)
        {
            auto result = make_result(schema::claim_owned);
            result.set_owner(epochs.find(existing.owner)->join().name());
            return result;
        }
        take_over(key, existing, claimant_epoch, epochs);
    }
    extend(key, existing, epochs, expiry_minute);
    return ownership_result(key, existing);
}

void claim_table::take_over(const digest_value& key, row& claim_row, std::uint64_t claimant_epoch,
                            const epoch_table& epochs)
{
    // A drained epoch has finished every job of which it started a task, so no task of this claim
    // can be running and the epoch needs no inquiry.
    if (epochs.status(claim_row.owner) != epoch_status::left)
    {
        earlier_owners_[key].push_back(claim_row.owner);
        claim_row.has_earlier_owners = true;
    }
    claim_row.owner = claimant_epoch;
}

schema::claim_result claim_table::ownership_result(const digest_value& key,
                                                   const row& claim_row) const
{
    if (!claim_row.has_earlier_owners)
    {
        return make_result(schema::claim_granted);
    }
    // A resent claim gets the earlier epochs again: the first reply may have been lost, and without
    // them the owner would start tasks that an earlier owner has already started.
    auto result = make_result(schema::claim_taken_over);
    for (const auto epoch : earlier_owners_.at(key))
    {
        result.add_earlier_epochs(epoch);
        result.set_previous_epoch(epoch);
    }
    return result;
}

void claim_table::extend(const digest_value& key, row& claim_row, epoch_table& epochs,
                         std::uint32_t minute)
{
    if (minute > claim_row.expiry_minute)
    {
        claim_row.expiry_minute = minute;
        expiries_[minute].push_back(key);
    }
    epochs.retain_until(claim_row.owner, claim_row.expiry_minute);
    if (claim_row.has_earlier_owners)
    {
        for (const auto epoch : earlier_owners_.at(key))
        {
            epochs.retain_until(epoch, claim_row.expiry_minute);
        }
    }
}

void claim_table::finish(std::string_view submission_id, std::uint64_t owner, epoch_table& epochs,
                         std::uint32_t expiry_minute)
{
    const auto key = submission_key(submission_id);
    auto& table = shard_of(key);
    const auto it = table.find(key);
    if (it == table.end() || it->second.owner != owner)
    {
        return;
    }
    it->second.finished = true;
    extend(key, it->second, epochs, expiry_minute);
}

void claim_table::remove_expired(std::uint32_t minute)
{
    while (!expiries_.empty() && expiries_.begin()->first <= minute)
    {
        const auto due = expiries_.begin()->first;
        for (const auto& key : expiries_.begin()->second)
        {
            auto& table = shard_of(key);
            const auto it = table.find(key);
            if (it != table.end() && it->second.expiry_minute == due)
            {
                table.erase(it);
                earlier_owners_.erase(key);
                --size_;
            }
        }
        expiries_.erase(expiries_.begin());
    }
}

void claim_table::save(schema::ledger_snapshot& snapshot) const
{
    // Snapshots of equal tables are equal: the order of a shard depends on its address.
    std::vector<const shard::value_type*> rows;
    for (const auto& table : shards_)
    {
        rows.clear();
        for (const auto& entry : table)
        {
            rows.push_back(&entry);
        }
        std::ranges::sort(rows, {}, [](const auto* entry) { return entry->first; });
        for (const auto* entry : rows)
        {
            const auto& [key, it] = *entry;
            auto* record = snapshot.add_claims();
            // The table holds only the digest of the id; the snapshot has it as hexadecimal text.
            record->set_submission_id(base::to_hex(to_bytes(key)));
            record->set_digest(to_bytes(it.digest));
            if (it.has_earlier_owners)
            {
                for (const auto epoch : earlier_owners_.at(key))
                {
                    record->add_owner_epochs(epoch);
                }
            }
            record->add_owner_epochs(it.owner);
            record->set_finished(it.finished);
            record->set_expires_at_ms(std::int64_t{it.expiry_minute} * 60'000);
        }
    }
}

bool claim_table::load(const schema::ledger_snapshot& snapshot, epoch_table& epochs)
{
    shards_ = {};
    size_ = 0;
    earlier_owners_.clear();
    expiries_.clear();
    for (const auto& record : snapshot.claims())
    {
        const std::string id = absl::HexStringToBytes(record.submission_id());
        if (id.size() != digest_size || record.digest().size() != digest_size ||
            record.owner_epochs().empty())
        {
            return false;
        }
        const auto key = to_digest(id);
        auto& it = shard_of(key)[key];
        it.digest = to_digest(record.digest());
        it.owner = *record.owner_epochs().rbegin();
        it.finished = record.finished();
        it.has_earlier_owners = record.owner_epochs_size() > 1;
        if (it.has_earlier_owners)
        {
            earlier_owners_[key].assign(record.owner_epochs().begin(),
                                        record.owner_epochs().end() - 1);
        }
        ++size_;
        extend(key, it, epochs, static_cast<std::uint32_t>(record.expires_at_ms() / 60'000));
    }
    return true;
}

std::uint64_t claim_table::hash() const
{
    // A sum is independent of the iteration order of the shards.
    std::uint64_t sum = size_;
    for (const auto& table : shards_)
    {
        for (const auto& [key, it] : table)
        {
            std::string bytes = to_bytes(key) + to_bytes(it.digest);
            write_word(bytes, it.owner);
            write_word(bytes, it.expiry_minute);
            bytes.push_back(it.finished ? '\1' : '\0');
            if (it.has_earlier_owners)
            {
                for (const auto epoch : earlier_owners_.at(key))
                {
                    write_word(bytes, epoch);
                }
            }
            sum += base::stable_hash(bytes);
        }
    }
    return sum;
}

} // namespace savoryreach::keeper
