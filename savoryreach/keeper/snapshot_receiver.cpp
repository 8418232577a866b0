#include "savoryreach/keeper/snapshot_receiver.hpp"

#include <utility>

namespace savoryreach::keeper
{

std::optional<schema::ledger_snapshot> snapshot_receiver::add(const schema::snapshot_chunk& chunk)
{
    if (chunk.term() != term_ || chunk.last_index() != last_index_)
    {
        clear();
        term_ = chunk.term();
        last_index_ = chunk.last_index();
    }
    if (chunk.offset() != bytes_.size())
    {
        return std::nullopt;
    }
    bytes_ += chunk.data();
    if (!chunk.done())
    {
        return std::nullopt;
    }
    schema::ledger_snapshot snapshot;
    const bool parsed = snapshot.ParseFromString(bytes_);
    clear();
    if (!parsed)
    {
        return std::nullopt;
    }
    return snapshot;
}

void snapshot_receiver::clear()
{
    std::exchange(bytes_, {});
    last_index_ = 0;
}

} // namespace savoryreach::keeper
