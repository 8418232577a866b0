#ifndef SAVORYREACH_ENTRY_CALLER_PORT_HPP
#define SAVORYREACH_ENTRY_CALLER_PORT_HPP

#include "schema/generated/job.pb.h"

#include <cstdint>

namespace savoryreach::entry
{

/// Interface through which an entry core answers the callers connected to this process.
class caller_port
{
public:
    virtual ~caller_port() = default;

    /// Delivers the answer of the request \p request_id, as given to entry_core::submit or lookup.
    /// Called once per request. A state of `running` answers a request that does not wait.
    virtual void answer(std::uint64_t request_id, const schema::job_answer& answer) = 0;
};

} // namespace savoryreach::entry

#endif
