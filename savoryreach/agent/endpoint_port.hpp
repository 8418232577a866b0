#ifndef SAVORYREACH_AGENT_ENDPOINT_PORT_HPP
#define SAVORYREACH_AGENT_ENDPOINT_PORT_HPP

#include "savoryreach/base/attempt_id.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace savoryreach::agent
{

/// One run of a task at the endpoint's service.
struct run_request
{
    std::uint64_t run_id = 0; ///< unique within the agent's incarnation
    base::attempt_id attempt;
    std::string kind;
    std::string payload;
    absl::Time stop_at; ///< deadline of the run on the agent's monotonic clock
};

/// The result of a run.
struct run_outcome
{
    enum class result
    {
        succeeded,
        failed,
        unknown, ///< the connection broke after the request may have been read
    };
    result kind = result::unknown;
    std::string output; ///< set on success
    std::string reason; ///< set on failed and unknown outcomes

    friend bool operator==(const run_outcome&, const run_outcome&) = default;
};

/// The agent's interface to its endpoint. The outcome is reported through
/// agent_core::run_ended(run_id, outcome), exactly once per run, also after stop(). Never blocks.
class endpoint_port
{
public:
    virtual ~endpoint_port() = default;

    virtual void run(const run_request& request) = 0;

    /// Asks the endpoint to stop a run. The run's outcome still follows.
    virtual void stop(std::uint64_t run_id) = 0;
};

} // namespace savoryreach::agent

#endif
