#include "tools/load/workload.hpp"

#include "savoryreach/base/seeded_random.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <string_view>

namespace savoryreach::load
{
namespace
{

constexpr const char* payload_prefix = "run_ms=";
constexpr double cancel_wave_s = 5;
constexpr double cancel_window_s = 1;
constexpr std::size_t teams_per_user = 5;
constexpr int mean_samples = 50'000;

struct kind_profile
{
    std::string_view name;
    std::uint32_t urgency;
    bool idempotent;
    double median_s; ///< work of a task
};

constexpr std::array kinds{
    kind_profile{"hold", 9, false, 0.10},   kind_profile{"size_check", 6, true, 0.08},
    kind_profile{"return", 4, false, 0.15}, kind_profile{"preview", 0, true, 0.30},
    kind_profile{"proof", 5, false, 0.60},  kind_profile{"spot_check", 3, true, 0.20},
};

struct size_class
{
    double share; ///< cumulative
    std::uint64_t from;
    std::uint64_t to;
};

constexpr std::array sizes{size_class{0.5, 1, 3}, size_class{0.8, 4, 10}, size_class{0.95, 11, 50},
                           size_class{0.995, 51, 200}, size_class{1.0, 201, 970}};

/// Draws jobs and arrival times from one seeded sequence.
class generator
{
public:
    generator(std::uint64_t seed, bool three_tasks) : random_(seed), three_tasks_(three_tasks) {}

    double unit() { return random_.unit(); }
    double gap(double rate) { return -std::log(1 - random_.unit()) / rate; }

    planned_job draw(const kind_profile& kind)
    {
        planned_job job;
        job.kind = kind.name;
        job.urgency = kind.urgency;
        job.idempotent = kind.idempotent;
        job.team = absl::StrCat("team-", random_.below(teams_per_user));
        if (three_tasks_)
        {
            job.work.assign(3, 0.1);
            return job;
        }
        const double chosen = random_.unit();
        const auto* size = std::ranges::find_if(sizes, [chosen](const size_class& it)
                                                { return chosen < it.share; });
        const auto tasks = size->from + random_.below(size->to - size->from + 1);
        for (std::uint64_t n = 0; n < tasks; ++n)
        {
            job.work.push_back(draw_work(kind.median_s));
        }
        return job;
    }

    planned_job draw() { return draw(kinds[random_.below(kinds.size())]); }

private:
    double draw_work(double median)
    {
        constexpr double spread = 0.3;
        constexpr double long_share = 0.005;
        if (random_.unit() < long_share)
        {
            return 2 + 3 * random_.unit();
        }
        const double normal =
            std::sqrt(-2 * std::log(1 - random_.unit())) * std::cos(2 * M_PI * random_.unit());
        return std::clamp(median * std::exp(spread * normal), 0.05, 1.0);
    }

    base::seeded_random random_;
    bool three_tasks_;
};

double mean_job_work(bool three_tasks)
{
    generator draws(12345, three_tasks);
    double sum = 0;
    for (int n = 0; n < mean_samples; ++n)
    {
        for (const double work : draws.draw().work)
        {
            sum += work;
        }
    }
    return sum / mean_samples;
}

/// Completes a drawn job and adds it.
void add(std::vector<planned_job>& jobs, planned_job job, double arrival, std::string_view stream,
         const workload_options& options, const fleet& endpoints)
{
    job.id = absl::StrCat(std::string(stream), "-", options.seed, "-", jobs.size());
    job.arrival_s = arrival;
    job.ideal_s = endpoints.ideal(job.work);
    job.budget_ms = static_cast<std::uint32_t>(1000 * (options.budget_s + 5 * job.ideal_s));
    jobs.push_back(std::move(job));
}

void add_flood(std::vector<planned_job>& jobs, const workload_options& options, double rate,
               const fleet& endpoints)
{
    const auto& kind = options.flood == flood_kind::most ? kinds[0] : kinds[3];
    for (auto& it : jobs)
    {
        it.is_flood = it.kind == kind.name;
    }
    generator draws(options.seed * 7919 + 2, options.three_tasks);
    const double flood_rate = rate / kinds.size() * (options.flood_factor - 1);
    for (double at = options.duration_s / 3 + draws.gap(flood_rate);
         at < options.duration_s * 2 / 3; at += draws.gap(flood_rate))
    {
        auto job = draws.draw(kind);
        job.is_flood = true;
        add(jobs, std::move(job), at, "flood", options, endpoints);
    }
}

void cancel_some(std::vector<planned_job>& jobs, const workload_options& options)
{
    base::seeded_random random(options.seed * 104729 + 3);
    for (auto& it : jobs)
    {
        const double wave = std::ceil(it.arrival_s / cancel_wave_s) * cancel_wave_s;
        if (wave - it.arrival_s < cancel_window_s && random.unit() < options.cancelled_share)
        {
            it.cancel_at_s = wave;
        }
    }
}

} // namespace

std::vector<planned_job> plan_jobs(const workload_options& options, const fleet& endpoints)
{
    const double rate = options.load * endpoints.capacity() / mean_job_work(options.three_tasks);
    std::vector<planned_job> jobs;
    generator draws(options.seed * 7919 + 1, options.three_tasks);
    for (double at = draws.gap(rate); at < options.duration_s; at += draws.gap(rate))
    {
        add(jobs, draws.draw(), at, "job", options, endpoints);
    }
    if (options.flood != flood_kind::none)
    {
        add_flood(jobs, options, rate, endpoints);
    }
    if (options.cancelled_share > 0)
    {
        cancel_some(jobs, options);
    }
    std::ranges::stable_sort(jobs, {}, &planned_job::arrival_s);
    return jobs;
}

schema::submission to_submission(const planned_job& job)
{
    schema::submission result;
    result.set_schema_version(1);
    result.set_submission_id(job.id);
    result.set_team(job.team);
    result.set_kind(job.kind);
    result.set_urgency(job.urgency);
    result.set_idempotent(job.idempotent);
    result.set_time_budget_ms(job.budget_ms);
    for (const double work : job.work)
    {
        result.add_tasks()->set_payload(absl::StrCat(payload_prefix, work * 1000));
    }
    return result;
}

double work_of(const std::string& payload)
{
    double ms = 0;
    return absl::SimpleAtod(absl::StripPrefix(payload, payload_prefix), &ms) ? ms / 1000 : 0;
}

} // namespace savoryreach::load
