#ifndef SAVORYREACH_DISPATCH_ENDPOINT_TABLE_HPP
#define SAVORYREACH_DISPATCH_ENDPOINT_TABLE_HPP

#include "savoryreach/dispatch/task_id.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace savoryreach::dispatch
{

/// Processor, memory and GPU amounts: demand of a task, or capacity of an endpoint.
struct resources
{
    std::int64_t cpu_milli = 0;
    std::int64_t memory_mb = 0;
    std::int64_t gpu = 0;

    [[nodiscard]] bool fits_into(const resources& room) const
    {
        return cpu_milli <= room.cpu_milli && memory_mb <= room.memory_mb && gpu <= room.gpu;
    }
    resources& operator-=(const resources& other)
    {
        cpu_milli -= other.cpu_milli;
        memory_mb -= other.memory_mb;
        gpu -= other.gpu;
        return *this;
    }

    friend auto operator<=>(const resources&, const resources&) = default;
};

/// One run of a task that may be active on an endpoint.
struct task_run
{
    std::uint32_t attempt = 0;
    std::string queue;
    resources demand;
    absl::Duration declared;       ///< run time as declared by the caller
    absl::Time sent_at;            ///< when the start was ordered
    absl::Time confirmed_at;       ///< infinite future while the start is not confirmed
    std::uint64_t session = 0;     ///< session in which it was ordered
    std::uint64_t process = 0;     ///< agent process that received the order
    std::uint32_t percent = 0;     ///< of its work, in the latest report
    absl::Time reported_at;        ///< time of that report
    absl::Time progressed_at;      ///< time of the first report with that percentage
    absl::Duration projected_time; ///< total run time estimated from progress; zero without any
    bool stopping = false;
    absl::Time stop_resend_at; ///< while stopping: when the stop order is repeated

    /// True for a run that began while its endpoint was cold.
    [[nodiscard]] bool began_before(absl::Time cold_until) const
    {
        return is_confirmed() && confirmed_at < cold_until;
    }
    [[nodiscard]] bool is_confirmed() const { return confirmed_at != absl::InfiniteFuture(); }
    [[nodiscard]] bool has_progress() const { return reported_at != absl::UnixEpoch(); }
    /// Records a report received at \p now: \p share percent were done \p ran after the start.
    void update_progress(std::uint32_t share, absl::Duration ran, absl::Time now);
};

/// Tracks whether an endpoint's runs succeed. A failing endpoint is set aside, which means that it
/// gets no runs, for a time that doubles with each occurrence; then it gets one run at a time until
/// a run succeeds.
class endpoint_health
{
public:
    void on_success();
    void on_failure(absl::Time now);
    /// The endpoint refused a start as unhealthy, or does not answer its agent.
    void on_refusal(absl::Time now);

    /// Number of runs that the endpoint may have at once; 0 while set aside.
    [[nodiscard]] std::size_t allowed_runs(absl::Time now) const;

private:
    void set_aside(absl::Time now);

    double failure_share_ = 0.0; ///< exponential average over the latest runs
    std::uint32_t set_aside_count_ = 0;
    absl::Time set_aside_until_ = absl::InfinitePast();
    bool probing_ = false;
};

/// State of an endpoint at the dispatcher. The host identifies it across its incarnations.
struct endpoint
{
    std::string host;
    std::string peer; ///< link name of its agent; empty while there is no link
    std::uint64_t agent_process = 0;
    std::uint64_t session = 0; ///< rises when orders or reports may have been lost
    std::string id;
    std::int64_t born_ms = 0;
    std::string service;
    std::string data_centre;
    std::vector<std::string> labels;
    resources capacity;
    resources used;
    bool known = false; ///< its agent has heard it since the agent's process began
    bool draining = false;
    bool silent = false; ///< does not answer its agent
    bool left = false;
    bool evacuated = false;                       ///< its data centre is being evacuated
    absl::Time cold_until = absl::InfinitePast(); ///< it is slow after its start until then
    bool listed = false;                          ///< its run list arrived in the current session
    bool registered = false;  ///< the replicated log records that it may have runs
    bool registering = false; ///< its registration was proposed to the log
    absl::Time gone_at = absl::InfiniteFuture();         ///< when all of its leases have expired
    absl::Time list_request_at = absl::InfiniteFuture(); ///< when to request its run list again
    std::uint64_t requested_list = 0;                    ///< number of the latest run list request
    absl::btree_map<task_id, task_run> runs;
    endpoint_health health;

    [[nodiscard]] bool has_capacity_for(const resources& wanted) const;
    [[nodiscard]] bool is_usable() const;
    void add(const task_id& task, const task_run& it);
    void remove(const task_id& task);
};

/// All endpoints by host.
class endpoint_table
{
public:
    using map = absl::btree_map<std::string, std::unique_ptr<endpoint>>;

    endpoint& get(const std::string& host);
    [[nodiscard]] endpoint* find(const std::string& host);
    [[nodiscard]] endpoint* find_peer(const std::string& peer) const;
    void erase(const std::string& host) { endpoints_.erase(host); }
    void clear() { endpoints_.clear(); }

    [[nodiscard]] map& all() { return endpoints_; }
    [[nodiscard]] const map& all() const { return endpoints_; }

private:
    map endpoints_;
};

} // namespace savoryreach::dispatch

#endif
