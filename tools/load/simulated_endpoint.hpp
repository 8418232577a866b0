#ifndef SAVORYREACH_LOAD_SIMULATED_ENDPOINT_HPP
#define SAVORYREACH_LOAD_SIMULATED_ENDPOINT_HPP

#include "savoryreach/agent/endpoint_port.hpp"
#include "savoryreach/base/clock.hpp"
#include "tools/load/event_queue.hpp"
#include "tools/load/fleet.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>

namespace savoryreach::load
{

/// An endpoint's service on virtual time. The payload of a task tells its work.
class simulated_endpoint final : public agent::endpoint_port
{
public:
    using end_handler = std::function<void(std::uint64_t run_id, const agent::run_outcome&)>;
    using start_handler = std::function<void(const agent::run_request&)>;

    simulated_endpoint(const base::clock& clock, event_queue& events, endpoint_spec spec,
                       start_handler on_start, end_handler on_end);

    void run(const agent::run_request& request) override;
    void stop(std::uint64_t run_id) override;

private:
    void end_at(absl::Time when, std::uint64_t run_id, agent::run_outcome outcome);

    const base::clock& clock_;
    event_queue& events_;
    endpoint_spec spec_;
    start_handler on_start_;
    end_handler on_end_;
    absl::flat_hash_map<std::uint64_t, bool> running_; ///< by run id
};

} // namespace savoryreach::load

#endif
