#ifndef SAVORYREACH_KEEPER_SNAPSHOT_RECEIVER_HPP
#define SAVORYREACH_KEEPER_SNAPSHOT_RECEIVER_HPP

#include "schema/generated/wire.pb.h"

#include <cstdint>
#include <optional>
#include <string>

namespace savoryreach::keeper
{

/// Assembles the chunks of one snapshot. A chunk of another snapshot discards those received so
/// far.
class snapshot_receiver
{
public:
    /// Adds \p chunk; returns the snapshot when it is complete and well-formed.
    std::optional<schema::ledger_snapshot> add(const schema::snapshot_chunk& chunk);

    /// The offset at which the sender should continue.
    [[nodiscard]] std::uint64_t next_offset() const { return bytes_.size(); }
    void clear();

private:
    std::string bytes_;            ///< received so far
    std::uint64_t term_ = 0;       ///< of the sender
    std::uint64_t last_index_ = 0; ///< of the snapshot that is being received
};

} // namespace savoryreach::keeper

#endif
