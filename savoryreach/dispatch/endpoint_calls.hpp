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

/// What an endpoint says of itself in its heartbeats.
struct endpoint_status
{
    std::string id;
    std::int64_t born_ms = 0; ///< start of its incarnation, wall clock
    std::string service;
    std::string address;
    std::string data_centre;
    bool draining = false;
    room capacity;
    std::vector<std::string> labels;
    std::int64_t clock_ms = 0;  ///< its own steady clock
    std::uint64_t sequence = 0; ///< rises within an incarnation

    friend bool operator==(const endpoint_status&, const endpoint_status&) = default;
};

struct start_call
{
    task_id task;
    std::uint32_t attempt = 0;
    std::string payload;
    std::int64_t expires_ms = 0;     ///< on the endpoint's clock
    std::uint64_t fencing_token = 0; ///< fencing token
    std::string endpoint;            ///< the incarnation that is meant

    friend bool operator==(const start_call&, const start_call&) = default;
};

enum class start_result
{
    started,    ///< it runs, or ran already
    fenced,     ///< a newer dispatcher gives the orders there
    superseded, ///< this or a later run was stopped or has ended there
    expired,    ///< the order had expired
    no_capacity,
    invalid,
    unhealthy,
    other_incarnation,
    no_answer, ///< it may run, now or later
};

struct stop_call
{
    task_id task;
    std::uint32_t attempt = 0;
    std::uint64_t fencing_token = 0;

    friend auto operator<=>(const stop_call&, const stop_call&) = default;
};

struct hold_call
{
    std::int64_t expires_ms = 0; ///< 0: leases are not renewed
    std::uint64_t fencing_token = 0;
    std::uint64_t acknowledged_end = 0;
    std::uint32_t wait_ms = 0;
    std::string endpoint; ///< the incarnation that is meant

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

struct hold_answer
{
    std::int64_t clock_ms = 0;
    std::int64_t born_ms = 0; ///< 0 when it does not say
    std::vector<running_row> running;
    std::vector<ended_row> ended;

    friend bool operator==(const hold_answer&, const hold_answer&) = default;
};

/// Calls of an agent to its endpoint. Each is answered by the agent's method of the matching name;
/// a call that gets no answer in time reports so.
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
