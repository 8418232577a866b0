#ifndef TESTS_ENTRY_SLOT_SIMULATION_HPP
#define TESTS_ENTRY_SLOT_SIMULATION_HPP

#include "savoryreach/base/seeded_random.hpp"
#include "savoryreach/entry/fair_queue.hpp"

#include <cmath>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace savoryreach::entry
{

/// Work that arrives as jobs at random times.
struct work_stream
{
    std::string kind;
    std::string team;
    std::uint32_t urgency = 0;
    std::uint32_t tasks = 10; ///< of each job
    double run_s = 0.1;       ///< mean run time of a task, seconds
    double jobs_per_s = 1;    ///< Poisson arrivals between begin_s and end_s
    double begin_s = 0;
    double end_s = 1e9;
};

/// A fair queue in front of equal slots, on virtual time.
class slot_simulation
{
public:
    slot_simulation(std::vector<work_stream> streams, std::uint32_t slots, std::uint64_t seed)
        : streams_(std::move(streams)), free_(slots), ended_tasks_(streams_.size()),
          used_slot_s_(streams_.size())
    {
        for (std::size_t i = 0; i < streams_.size(); ++i)
        {
            arrivals_.emplace_back(seed + 2 * i);
            run_times_.emplace_back(seed + 2 * i + 1);
        }
        for (std::size_t i = 0; i < streams_.size(); ++i)
        {
            schedule_arrival(i, streams_[i].begin_s);
        }
    }

    fair_queue& queue() { return queue_; }

    /// Sets the estimated cost of a start of \p kind in seconds; by default it is the true mean.
    void set_estimate(const std::string& kind, double seconds) { estimates_[kind] = seconds; }

    void run_until(double end)
    {
        while (!events_.empty() && events_.top().at < end)
        {
            const event it = events_.top();
            events_.pop();
            now_ = it.at;
            it.is_arrival ? arrive(it.stream) : finish(it);
            start_tasks();
        }
        now_ = end;
    }

    /// Ended tasks and used slot seconds of a stream since the last reset().
    [[nodiscard]] double ended_tasks(std::size_t stream) const { return ended_tasks_[stream]; }
    [[nodiscard]] double used_slot_s(std::size_t stream) const { return used_slot_s_[stream]; }

    void reset()
    {
        ended_tasks_.assign(streams_.size(), 0);
        used_slot_s_.assign(streams_.size(), 0);
    }

private:
    struct event
    {
        double at = 0;
        std::uint64_t order = 0;
        bool is_arrival = false;
        std::size_t stream = 0;
        double run = 0;

        bool operator<(const event& other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    void schedule_arrival(std::size_t stream, double after)
    {
        const double gap = -std::log(1 - arrivals_[stream].unit()) / streams_[stream].jobs_per_s;
        if (after + gap < streams_[stream].end_s)
        {
            events_.push({after + gap, ++order_, true, stream, 0});
        }
    }

    double estimate(const std::string& kind)
    {
        const auto it = estimates_.find(kind);
        if (it != estimates_.end())
        {
            return it->second;
        }
        for (const work_stream& stream : streams_)
        {
            if (stream.kind == kind)
            {
                return stream.run_s;
            }
        }
        return 0.1;
    }

    void arrive(std::size_t stream)
    {
        const work_stream& s = streams_[stream];
        const job_number number{++jobs_};
        stream_of_[number] = stream;
        queue_.add({number, s.kind, s.team, s.urgency, s.tasks,
                    absl::UnixEpoch() + absl::Seconds(now_ + 60)});
        schedule_arrival(stream, now_);
    }

    void finish(const event& it)
    {
        const work_stream& s = streams_[it.stream];
        queue_.release_slot(s.kind, s.team, absl::Seconds(estimate(s.kind)), absl::Seconds(it.run));
        ++ended_tasks_[it.stream];
        used_slot_s_[it.stream] += it.run;
        ++free_;
    }

    void start_tasks()
    {
        while (free_ > 0)
        {
            const auto job =
                queue_.next([](const std::string&) { return true; }, [this](const std::string& kind)
                            { return absl::Seconds(estimate(kind)); });
            if (!job)
            {
                return;
            }
            --free_;
            const std::size_t stream = stream_of_.at(*job);
            const double run = streams_[stream].run_s * (0.5 + run_times_[stream].unit());
            events_.push({now_ + run, ++order_, false, stream, run});
        }
    }

    std::vector<work_stream> streams_;
    std::uint32_t free_; ///< slots
    /// One for each stream, so that a change of one stream does not change the arrivals of the
    /// others.
    std::vector<base::seeded_random> arrivals_;
    std::vector<base::seeded_random> run_times_;
    fair_queue queue_;
    std::priority_queue<event> events_;
    std::map<job_number, std::size_t> stream_of_;
    std::map<std::string, double> estimates_;
    std::vector<double> ended_tasks_;
    std::vector<double> used_slot_s_;
    double now_ = 0;
    std::uint64_t order_ = 0;
    std::uint64_t jobs_ = 0;
};

} // namespace savoryreach::entry

#endif
