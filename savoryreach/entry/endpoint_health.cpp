#include "savoryreach/entry/endpoint_health.hpp"

#include <algorithm>
#include <cmath>

namespace savoryreach::entry
{
namespace
{

/// Failures of this many different jobs without a success set an endpoint aside. The threshold
/// rises between these bounds with the failure rate of all endpoints, so that a healthy endpoint is
/// set aside by chance at most once in 100,000 starts.
constexpr double min_failure_threshold = 3;
constexpr double max_failure_threshold = 10;
constexpr double false_positive_probability = 1e-5;
/// Averaging window of the failure rate, in attempts.
constexpr double failure_rate_window = 256;
/// Weight of a repeated failure of the same job, once the job has succeeded on other endpoints.
/// With it, a single large job detects a failing endpoint after 9 failures.
constexpr double repeated_failure_weight = 0.25;
/// A job that succeeded on this many endpoints is not the cause of its failures.
constexpr std::size_t min_successful_endpoints = 3;
/// Bounds on the records of one job, of one endpoint and of all jobs.
constexpr std::size_t max_endpoints_per_job = 16;
constexpr std::size_t max_failures_per_endpoint = 10;
constexpr std::size_t max_jobs = 4096;

/// A penalty ends this long after the last failure of the endpoint.
constexpr absl::Duration penalty_duration = absl::Milliseconds(500);
/// Bounds the work of one call.
constexpr std::size_t max_penalties_expired_per_call = 4;
constexpr absl::Duration first_backoff = absl::Seconds(1);
constexpr absl::Duration max_backoff = absl::Seconds(60);
/// A probe without a result is repeated after this time.
constexpr absl::Duration probe_timeout = absl::Seconds(60);
/// An endpoint without credit or of another kind is examined again after this time.
constexpr absl::Duration probe_recheck_delay = absl::Milliseconds(100);
/// Consecutive successes that reset the backoff.
constexpr std::uint32_t backoff_reset_successes = 20;
/// Due endpoints examined for one start.
constexpr int max_probes_examined = 4;

template <typename List, typename Value>
bool contains(const List& list, const Value& value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

} // namespace

void endpoint_health::joined(id endpoint)
{
    if (endpoint >= records_.size())
    {
        records_.resize(endpoint + 1);
    }
    left(endpoint);
}

void endpoint_health::left(id endpoint)
{
    due_.erase({records_[endpoint].due, endpoint});
    penalised_.erase({records_[endpoint].penalty_end, endpoint});
    records_[endpoint] = record{};
}

endpoint_health::job_record& endpoint_health::job_at(std::uint64_t job)
{
    const auto [it, added] = jobs_.try_emplace(job);
    if (!added)
    {
        return it->second;
    }
    job_order_.push_back(job);
    if (job_order_.size() > max_jobs)
    {
        jobs_.erase(job_order_.front());
        job_order_.pop_front();
    }
    return jobs_[job];
}

void endpoint_health::update_penalty(id endpoint, absl::Time end)
{
    record& r = records_[endpoint];
    const auto jobs = std::count_if(r.failures.begin(), r.failures.end(),
                                    [](const job_failure& it) { return it.is_counted; });
    penalised_.erase({r.penalty_end, endpoint});
    r.penalty = std::exp2(static_cast<double>(jobs));
    r.penalty_end = end;
    if (jobs > 0)
    {
        penalised_.emplace(end, endpoint);
    }
}

endpoint_health::id_list endpoint_health::expire_penalties(absl::Time now)
{
    id_list ended;
    while (!penalised_.empty() && penalised_.begin()->first <= now &&
           ended.size() < max_penalties_expired_per_call)
    {
        const id endpoint = penalised_.begin()->second;
        penalised_.erase(penalised_.begin());
        records_[endpoint].penalty = 1;
        ended.push_back(endpoint);
    }
    return ended;
}

void endpoint_health::set_counted(id endpoint, std::uint64_t job, bool is_counted, absl::Time now)
{
    record& r = records_[endpoint];
    for (job_failure& it : r.failures)
    {
        if (it.job == job)
        {
            it.is_counted = is_counted;
        }
    }
    update_penalty(endpoint, now + penalty_duration);
}

void endpoint_health::set_due(id endpoint, absl::Time due)
{
    record& r = records_[endpoint];
    due_.erase({r.due, endpoint});
    r.due = due;
    due_.emplace(due, endpoint);
}

void endpoint_health::readmit(id endpoint)
{
    record& r = records_[endpoint];
    due_.erase({r.due, endpoint});
    r.set_aside = false;
    r.probing = false;
    r.successes = 0;
    r.failures.clear();
    update_penalty(endpoint, absl::InfinitePast());
}

void endpoint_health::count_result(id endpoint, bool failed)
{
    // Only the first failure of a failing endpoint counts, so that it does not raise the threshold
    // for itself.
    if (records_[endpoint].failures.empty() && !records_[endpoint].set_aside)
    {
        failure_rate_ += ((failed ? 1.0 : 0.0) - failure_rate_) / failure_rate_window;
    }
}

double endpoint_health::failure_threshold() const
{
    const double rate = std::clamp(failure_rate_, 1e-6, 0.99);
    return std::clamp(std::ceil(std::log(false_positive_probability) / std::log(rate)),
                      min_failure_threshold, max_failure_threshold);
}

void endpoint_health::evaluate(id endpoint, absl::Time now,
                               absl::FunctionRef<bool(id)> may_set_aside)
{
    record& r = records_[endpoint];
    if (r.set_aside)
    {
        return;
    }
    double weighted_failures = 0;
    for (const job_failure& it : r.failures)
    {
        weighted_failures += it.is_counted ? it.weight : 0;
    }
    if (weighted_failures < failure_threshold() || !may_set_aside(endpoint))
    {
        return;
    }
    r.set_aside = true;
    r.probing = false;
    r.backoff = std::clamp(2 * r.backoff, first_backoff, max_backoff);
    set_due(endpoint, now + r.backoff);
}

endpoint_health::id_list endpoint_health::succeeded(id endpoint, std::uint64_t job, absl::Time now,
                                                    absl::FunctionRef<bool(id)> may_set_aside)
{
    id_list changed;
    count_result(endpoint, false);
    record& r = records_[endpoint];
    r.successes = std::min(r.successes + 1, backoff_reset_successes);
    if (r.set_aside && r.probing)
    {
        readmit(endpoint);
        changed.push_back(endpoint);
    }
    else if (!r.failures.empty() && !r.set_aside)
    {
        r.failures.clear();
        update_penalty(endpoint, absl::InfinitePast());
        changed.push_back(endpoint);
    }
    if (r.successes == backoff_reset_successes && !r.set_aside)
    {
        r.backoff = absl::ZeroDuration();
    }

    const auto it = jobs_.find(job);
    if (it == jobs_.end())
    {
        return changed;
    }
    job_record& j = it->second;
    const bool first_success = j.succeeded_on.empty();
    if (j.succeeded_on.size() < max_endpoints_per_job && !contains(j.succeeded_on, endpoint))
    {
        j.succeeded_on.push_back(endpoint);
    }
    if (first_success)
    {
        // The job can succeed, so its earlier failures count again.
        for (const id other : j.failed_on)
        {
            set_counted(other, job, true, now);
            evaluate(other, now, may_set_aside);
            changed.push_back(other);
        }
    }
    return changed;
}

void endpoint_health::record_failure(id endpoint, std::uint64_t job, job_record& j)
{
    record& r = records_[endpoint];
    const auto known = std::find_if(r.failures.begin(), r.failures.end(),
                                    [job](const job_failure& it) { return it.job == job; });
    if (known == r.failures.end())
    {
        if (r.failures.size() < max_failures_per_endpoint)
        {
            r.failures.push_back({job, 1, true});
        }
        return;
    }
    const bool is_job_healthy = j.succeeded_on.size() >= min_successful_endpoints &&
                                2 * j.failed_on.size() <= j.succeeded_on.size() + 1;
    if (is_job_healthy)
    {
        known->weight += repeated_failure_weight;
    }
}

endpoint_health::id_list endpoint_health::failed(id endpoint, std::uint64_t job, absl::Time now,
                                                 absl::FunctionRef<bool(id)> may_set_aside)
{
    id_list changed{endpoint};
    count_result(endpoint, true);
    job_record& j = job_at(job);
    record& r = records_[endpoint];
    r.successes = 0;
    if (j.failed_on.size() < max_endpoints_per_job && !contains(j.failed_on, endpoint))
    {
        j.failed_on.push_back(endpoint);
    }
    const bool is_job_suspect = j.failed_on.size() >= 2 && j.succeeded_on.empty();
    if (r.set_aside)
    {
        if (r.probing)
        {
            r.probing = false;
            if (!is_job_suspect)
            {
                r.backoff = std::min(2 * r.backoff, max_backoff);
            }
            set_due(endpoint, now + r.backoff);
        }
        return changed;
    }
    record_failure(endpoint, job, j);
    if (is_job_suspect)
    {
        changed.assign(j.failed_on.begin(), j.failed_on.end());
        changed.push_back(endpoint);
        for (const id other : changed)
        {
            set_counted(other, job, false, now);
        }
        return changed;
    }
    update_penalty(endpoint, now + penalty_duration);
    evaluate(endpoint, now, may_set_aside);
    return changed;
}

void endpoint_health::not_started(id endpoint, absl::Time now)
{
    record& r = records_[endpoint];
    if (r.set_aside && r.probing)
    {
        r.probing = false;
        set_due(endpoint, now + probe_recheck_delay);
    }
}

std::optional<endpoint_health::id>
endpoint_health::find_probe(absl::Time now, absl::FunctionRef<bool(id)> is_usable)
{
    for (int i = 0; i < max_probes_examined && !due_.empty(); ++i)
    {
        const auto [due, endpoint] = *due_.begin();
        if (due > now)
        {
            break;
        }
        if (is_usable(endpoint))
        {
            return endpoint;
        }
        set_due(endpoint, now + probe_recheck_delay);
    }
    return std::nullopt;
}

void endpoint_health::probe_started(id endpoint, absl::Time now)
{
    records_[endpoint].probing = true;
    set_due(endpoint, now + probe_timeout);
}

std::optional<endpoint_health::id> endpoint_health::readmit_first()
{
    if (due_.empty())
    {
        return std::nullopt;
    }
    const id endpoint = due_.begin()->second;
    readmit(endpoint);
    return endpoint;
}

} // namespace savoryreach::entry
