#ifndef SAVORYREACH_DISPATCH_ENDPOINT_TABLE_HPP
#define SAVORYREACH_DISPATCH_ENDPOINT_TABLE_HPP

#include "savoryreach/dispatch/task_id.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace savoryreach::dispatch
{

/// What a task takes of an endpoint.
struct room
{
    std::int64_t cpu_milli = 0;
    std::int64_t memory_mb = 0;
    std::int64_t gpu = 0;

    friend auto operator<=>(const room&, const room&) = default;
};

/// One run of a task that may be under way on an endpoint.
struct run
{
    std::uint32_t attempt = 0;
    std::string queue;
    room takes;
    absl::Duration declared;   ///< run time by the job's owner
    absl::Time sent_at;        ///< when the start was ordered
    absl::Time confirmed_at;   ///< infinite future until the endpoint has confirmed the start
    std::uint64_t session = 0; ///< in which it was ordered
    std::uint64_t process = 0; ///< agent process that got the order
    std::uint32_t percent = 0; ///< of its work, by the latest report
    absl::Time reported_at;    ///< of that report
    absl::Time progressed_at;  ///< of the first report with that percentage
    absl::Duration shown;      ///< whole run time as far as progress tells; zero while it does not
    bool stopping = false;
    absl::Time stop_again_at; ///< while stopping: when the order is repeated

    [[nodiscard]] bool is_confirmed() const { return confirmed_at != absl::InfiniteFuture(); }
    [[nodiscard]] bool has_progress() const { return reported_at != absl::UnixEpoch(); }
    /// The endpoint says at \p now that \p share percent were done \p ran after the start.
    void note_progress(std::uint32_t share, absl::Duration ran, absl::Time now);
};

/// Whether an endpoint's runs succeed. A failing endpoint is set aside for a time that doubles,
/// and comes back with one run at a time.
class standing
{
public:
    void on_success();
    void on_failure(absl::Time now);
    /// It refused a start, or did not answer.
    void on_refusal(absl::Time now);

    /// Number of runs that it may have at once, beyond those under way; 0 while set aside.
    [[nodiscard]] std::size_t allowed_runs(absl::Time now) const;

private:
    void set_aside(absl::Time now);

    double failure_share_ = 0.0; ///< of the latest runs
    std::uint32_t set_asides_ = 0;
    absl::Time back_at_ = absl::InfinitePast();
    bool probing_ = false;
};

/// An endpoint as the dispatcher sees it. It is named by its host, since one incarnation of an
/// endpoint follows another there.
struct endpoint
{
    std::string host;
    std::string peer; ///< link name of its agent; empty while there is no link
    std::uint64_t agent_process = 0;
    std::uint64_t session = 0;
    std::string id;
    std::int64_t born_ms = 0;
    std::string service;
    std::string data_centre;
    std::vector<std::string> labels;
    room capacity;
    room used;
    bool draining = false;
    bool silent = false;
    bool left = false;
    bool listed = false;      ///< a list of all its runs came in the present session
    bool registered = false;  ///< the core knows that it may have runs
    bool joining = false;     ///< its registration is under way
    bool from_before = false; ///< may have runs of an earlier term that are not known yet
    absl::Time gone_at = absl::InfiniteFuture(); ///< when nothing of it can run any more
    absl::Time look_at = absl::InfiniteFuture(); ///< when to ask for a list again
    std::uint64_t look_asked = 0;                ///< number of the latest list that was asked for
    absl::flat_hash_map<task_id, run> runs;
    standing health;

    [[nodiscard]] bool has_room(const room& wanted) const;
    [[nodiscard]] bool is_usable() const;
    void add(const task_id& task, const run& it);
    void remove(const task_id& task);
};

/// All endpoints by host.
class endpoint_table
{
public:
    using map = absl::btree_map<std::string, std::unique_ptr<endpoint>>;

    endpoint& get(const std::string& host);
    [[nodiscard]] endpoint* find(const std::string& host);
    [[nodiscard]] endpoint* find_peer(const std::string& peer);
    void erase(const std::string& host) { endpoints_.erase(host); }
    void clear() { endpoints_.clear(); }

    [[nodiscard]] map& all() { return endpoints_; }
    [[nodiscard]] const map& all() const { return endpoints_; }

private:
    map endpoints_;
};

} // namespace savoryreach::dispatch

#endif
