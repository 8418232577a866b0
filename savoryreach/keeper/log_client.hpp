#ifndef SAVORYREACH_KEEPER_LOG_CLIENT_HPP
#define SAVORYREACH_KEEPER_LOG_CLIENT_HPP

#include "schema/generated/ledger.pb.h"

namespace savoryreach::keeper
{

/// The state machine that a replicated log drives.
class log_client
{
public:
    virtual ~log_client() = default;

    /// Applies a committed entry; called once per entry in log order.
    virtual void apply(const schema::log_entry& entry) = 0;
    /// Adds the applied state to \p snapshot.
    virtual void save(schema::ledger_snapshot& snapshot) const = 0;
    /// Replaces the state. False when the snapshot is malformed.
    virtual bool load(const schema::ledger_snapshot& snapshot) = 0;
};

} // namespace savoryreach::keeper

#endif
