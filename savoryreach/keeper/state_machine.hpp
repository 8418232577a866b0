#ifndef SAVORYREACH_KEEPER_STATE_MACHINE_HPP
#define SAVORYREACH_KEEPER_STATE_MACHINE_HPP

#include "schema/generated/ledger.pb.h"

namespace savoryreach::keeper
{

/// The state machine to which a replicated log applies its committed entries.
class state_machine
{
public:
    virtual ~state_machine() = default;

    /// Applies a committed entry; called once per entry in log order.
    virtual void apply(const schema::log_entry& entry) = 0;
    /// Writes the applied state to \p snapshot.
    virtual void save(schema::ledger_snapshot& snapshot) const = 0;
    /// Replaces the whole state. False when the snapshot is malformed.
    virtual bool load(const schema::ledger_snapshot& snapshot) = 0;
};

} // namespace savoryreach::keeper

#endif
