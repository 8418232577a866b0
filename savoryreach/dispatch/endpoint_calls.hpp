#ifndef SAVORYREACH_DISPATCH_ENDPOINT_CALLS_HPP
#define SAVORYREACH_DISPATCH_ENDPOINT_CALLS_HPP

#include "savoryreach/dispatch/endpoint_table.hpp"
#include "savoryreach/dispatch/task_id.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savoryreach::dispatch
{

/// Contents of an endpoint's heartbeat.
struct endpoint_status
{
    std::string id;
    std::int64_t born_ms = 0; ///< start of the incarnation, wall clock
    std::string service;
    std::string address;
    std::string data_centre;
    bool draining = false;
    resources capacity;
    std::vector<std::string> labels;
    /// How much longer it will be slow after its start, milliseconds.
    std::uint32_t cold_remaining_ms = 0;
    std::int64_t clock_ms = 0;  ///< steady clock of the endpoint
    std::uint64_t sequence = 0; ///< increases within an incarnation

    friend bool operator==(const endpoint_status&, const endpoint_status&) = default;
};

struct start_call
{
    task_id task;
    std::uint32_t attempt = 0;
    std::string payload;
    std::int64_t expires_ms = 0;     ///< end of the lease, on the endpoint's clock
    std::uint64_t fencing_token = 0; ///< term of the dispatcher that gave the order
    std::string endpoint;            ///< id of the incarnation that the call is for
    std::uint32_t copy = 0;          ///< number of this copy of the call, from 1; not sent

    friend bool operator==(const start_call&, const start_call&) = default;
};

enum class start_result
{
    started,    ///< the run was started now or by an earlier copy of the call
    fenced,     ///< the endpoint has seen a higher fencing token
    superseded, ///< this or a later attempt was stopped or has ended
    expired,    ///< the call arrived after its expiry
    no_capacity,
    invalid,
    unhealthy,
    other_incarnation,
    no_answer, ///< the call may have started the run, or may still do so
};

struct stop_call
{
    task_id task;
    std::uint32_t attempt = 0;
    std::uint64_t fencing_token = 0;

    friend auto operator<=>(const stop_call&, const stop_call&) = default;
};

/// Long poll: renews the leases of all runs, acknowledges ends and waits for new ones.
struct hold_call
{
    std::int64_t expires_ms = 0; ///< end of the renewed leases; 0 renews none
    std::uint64_t fencing_token = 0;
    std::uint64_t acknowledged_end = 0;
    std::uint32_t wait_ms = 0;
    std::string endpoint;     ///< id of the incarnation that the call is for
    std::uint64_t number = 0; ///< identifies the call at the agent; not sent

    friend bool operator==(const hold_call&, const hold_call&) = default;
};

struct running_row
{
    task_id task;
    std::uint32_t attempt = 0;
    std::uint32_t percent = 0;

    friend auto operator<=>(const running_row&, const running_row&) = default;
};

struct ended_row
{
    std::uint64_t number = 0;
    task_id task;
    std::uint32_t attempt = 0;
    schema::run_outcome outcome = schema::run_unspecified;

    friend auto operator<=>(const ended_row&, const ended_row&) = default;
};

/// Runs of the endpoint, and its ends that are not acknowledged.
struct hold_answer
{
    std::int64_t clock_ms = 0;
    std::int64_t born_ms = 0; ///< 0 if the endpoint does not send it
    std::vector<running_row> running;
    std::vector<ended_row> ended;

    friend bool operator==(const hold_answer&, const hold_answer&) = default;
};

/// Calls of an agent to its endpoint. The answer to each arrives at the agent's matching
/// `on_..._answer` method, which is also called when a call times out.
class endpoint_calls
{
public:
    virtual ~endpoint_calls() = default;

    virtual void start(const start_call& call) = 0;
    virtual void stop(const stop_call& call) = 0;
    virtual void hold(const hold_call& call) = 0;
};

} // namespace savoryreach::dispatch

#endif
