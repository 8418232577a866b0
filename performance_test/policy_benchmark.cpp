#include "savoryreach/entry/fair_queue.hpp"
#include "savoryreach/entry/placement.hpp"

#include <benchmark/benchmark.h>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

namespace savoryreach::entry
{
namespace
{

/// One attempt in flight.
struct attempt
{
    base::node_name agent;
    std::uint32_t kind = 0;
    std::uint32_t team = 0;
    std::uint64_t job = 0;
    std::uint32_t endpoint = 0;
};

/// The loop of an entry under saturation: each decision starts one task and ends an earlier one.
/// Run times differ by 16x over endpoints and by 32x over kinds. At 75 % load the fast endpoints
/// are full, so that nearly each start takes the last credit of its endpoint, the most expensive
/// case.
class decision_loop
{
public:
    decision_loop(std::uint32_t endpoints, std::uint32_t teams, std::uint32_t tasks)
        : teams_(teams), tasks_(tasks), credits_(endpoints, slots)
    {
        for (std::uint32_t i = 0; i < endpoints; ++i)
        {
            names_.emplace_back(absl::StrCat("worker-", i));
            placement_.endpoint_joined({names_.back(), absl::StrCat("dc-", i % 13), slots, {}});
            placement_.set_credit(names_.back(), slots);
            index_[names_.back()] = i;
        }
        for (std::uint32_t i = 0; i < teams; ++i)
        {
            team_names_.push_back(absl::StrCat("team-", i));
            schema::team_quota quota;
            quota.set_team(team_names_.back());
            quota.set_weight(1 + i % 10);
            queue_.apply(quota);
        }
        for (const std::string& kind : kinds_)
        {
            schema::kind_policy policy;
            policy.set_kind(kind);
            policy.set_weight(10);
            policy.set_urgency_bound_ms(200);
            queue_.apply(policy);
        }
        // Two jobs for each team and at least four for each kind.
        for (std::uint32_t i = 0; i < std::max<std::uint32_t>(24, 2 * teams); ++i)
        {
            add_job();
        }
        in_flight_bound_ = endpoints * slots * 3 / 4;
    }

    /// Starts one task and, at the load of 75 %, ends the oldest attempt.
    void decide()
    {
        now_ += absl::Microseconds(10);
        const auto job =
            queue_.next([this](const std::string& kind) { return placement_.is_runnable(kind); },
                        [this](const std::string& kind)
                        { return placement_.expected_run(kind, absl::Milliseconds(100)); });
        if (job)
        {
            start(static_cast<std::uint64_t>(*job));
        }
        if (in_flight_.size() >= in_flight_bound_ || !job)
        {
            end();
        }
    }

private:
    void add_job()
    {
        const auto kind = static_cast<std::uint32_t>(jobs_.size() % kinds_.size());
        const auto team = static_cast<std::uint32_t>(jobs_.size() / 2 % teams_);
        jobs_.push_back({kind, team, tasks_});
        queue_.add({job_number{jobs_.size() - 1}, kinds_[kind], team_names_[team],
                    static_cast<std::uint32_t>(jobs_.size() % 10), tasks_,
                    now_ + absl::Seconds(60)});
    }

    void start(std::uint64_t number)
    {
        job& j = jobs_[number];
        placement_request request;
        request.kind = kinds_[j.kind];
        request.declared_run = absl::Milliseconds(100);
        request.waiting_tasks = j.waiting;
        const auto agent = placement_.choose(request, now_);
        if (!agent)
        {
            queue_.release_slot(kinds_[j.kind], team_names_[j.team], absl::Milliseconds(100),
                                absl::ZeroDuration());
            queue_.requeue(job_number{number}, 1);
            end();
            return;
        }
        const std::uint32_t endpoint = index_.at(*agent);
        --credits_[endpoint];
        in_flight_.push_back({*agent, j.kind, j.team, number, endpoint});
        if (--j.waiting == 0)
        {
            queue_.remove(job_number{number});
            add_job();
        }
    }

    void end()
    {
        if (in_flight_.empty())
        {
            return;
        }
        const attempt it = std::move(in_flight_.front());
        in_flight_.pop_front();
        const absl::Duration run = absl::Milliseconds(20 << it.kind) * (1 + it.endpoint % 16) / 4;
        queue_.release_slot(kinds_[it.kind], team_names_[it.team], absl::Milliseconds(100), run);
        placement_.attempt_ended(it.agent, kinds_[it.kind], it.job, attempt_result::succeeded, run,
                                 now_);
        placement_.set_credit(it.agent, ++credits_[it.endpoint]);
    }

    struct job
    {
        std::uint32_t kind = 0;
        std::uint32_t team = 0;
        std::uint32_t waiting = 0;
    };

    static constexpr std::uint32_t slots = 8;

    std::uint32_t teams_;
    std::uint32_t tasks_;
    std::vector<std::uint32_t> credits_;
    fair_queue queue_;
    placement placement_;
    std::vector<base::node_name> names_;
    absl::flat_hash_map<base::node_name, std::uint32_t> index_;
    std::vector<std::string> team_names_;
    std::vector<std::string> kinds_{"hold",    "size check", "return",
                                    "preview", "proof",      "spot check"};
    std::vector<job> jobs_;
    std::deque<attempt> in_flight_;
    std::size_t in_flight_bound_ = 0;
    absl::Time now_ = absl::UnixEpoch();
};

void start_decision(benchmark::State& state)
{
    decision_loop loop(static_cast<std::uint32_t>(state.range(0)),
                       static_cast<std::uint32_t>(state.range(1)),
                       static_cast<std::uint32_t>(state.range(2)));
    // The estimates of all endpoints are learned before the measurement.
    for (int i = 0; i < 200000; ++i)
    {
        loop.decide();
    }
    for (auto unused : state)
    {
        (void)unused;
        loop.decide();
    }
    state.counters["decisions/s"] =
        benchmark::Counter(static_cast<double>(state.iterations()), benchmark::Counter::kIsRate);
}

BENCHMARK(start_decision)
    ->ArgNames({"endpoints", "teams", "tasks"})
    ->ArgsProduct({{10, 100, 1000, 4100}, {2, 29, 290}, {100, 970}});

} // namespace
} // namespace savoryreach::entry

BENCHMARK_MAIN();
