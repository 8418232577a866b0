#include "tools/load/report.hpp"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>
#include <iostream>

namespace savoryreach::load
{
namespace
{

double per_task(std::uint64_t n, const run_result& run)
{
    return run.started_tasks > 0 ? static_cast<double>(n) / static_cast<double>(run.started_tasks)
                                 : 0;
}

double work_sum(const planned_job& job)
{
    double sum = 0;
    for (const double it : job.work)
    {
        sum += it;
    }
    return sum;
}

void print_quantiles(const std::string& name, const quantiles& it)
{
    std::cout << absl::StrFormat("  %-34s p50 %8.3f  p90 %8.3f  p99 %8.3f  (%d)\n", name, it.p50,
                                 it.p90, it.p99, it.count);
}

void print_messages(const run_result& run)
{
    const auto& m = run.messages;
    std::cout << absl::StrFormat(
        "  messages per task                  total %.3f: session %.3f, hello %.3f, keeper clients "
        "%.3f, among keepers %.3f, forward %.3f\n",
        per_task(m.total(), run), per_task(m.session, run), per_task(m.hello, run),
        per_task(m.keeper_clients, run), per_task(m.keeper_internal, run),
        per_task(m.forward, run));
    std::cout << absl::StrFormat("  starts per task                    %.5f (%d beyond one of "
                                 "tasks that are not idempotent)\n",
                                 per_task(run.starts, run), run.double_starts);
    for (const auto& [name, n] : run.session_frames)
    {
        std::cout << absl::StrFormat("    frame %-28s %.3f per task\n", name, per_task(n, run));
    }
}

void print_flood(const summary& it, const summary& quiet)
{
    std::cout << absl::StrFormat(
        "  other work during the flood        throughput %.3f of its own, p99 %.3f times its own\n",
        it.other_work_per_s / quiet.other_work_per_s,
        it.other_response_s.p99 / quiet.other_response_s.p99);
}

Json::Value quantiles_json(const quantiles& it)
{
    Json::Value value;
    value["p50"] = it.p50;
    value["p90"] = it.p90;
    value["p99"] = it.p99;
    value["count"] = static_cast<Json::UInt64>(it.count);
    return value;
}

} // namespace

quantiles quantiles_of(std::vector<double> values)
{
    if (values.empty())
    {
        return {};
    }
    std::ranges::sort(values);
    const auto at = [&values](double share)
    {
        const auto rank = static_cast<std::size_t>(std::ceil(share * values.size()));
        return values[std::max<std::size_t>(1, rank) - 1];
    };
    return {at(0.5), at(0.9), at(0.99), values.size()};
}

double warm_up_s(const workload_options& workload)
{
    return std::min(10.0, workload.duration_s / 6);
}

summary summarise(const std::string& policy, const std::vector<planned_job>& plan, run_result run,
                  const std::vector<job_outcome>& reference, const workload_options& workload,
                  const fleet& endpoints)
{
    const double from = warm_up_s(workload);
    const double third = workload.duration_s / 3;
    const double window = workload.duration_s - from;
    summary result;
    result.policy = policy;
    result.jobs = plan.size();
    std::vector<double> to_ideal;
    std::vector<double> to_reference;
    std::vector<double> response;
    std::vector<double> other;
    for (std::size_t n = 0; n < plan.size(); ++n)
    {
        const auto& job = plan[n];
        const auto& it = run.jobs[n];
        const double work = work_sum(job);
        result.offered += job.arrival_s >= from ? work : 0;
        if (!it.is_complete)
        {
            ++result.errors[it.is_answered ? std::string(base::traits_of(it.error).name)
                                           : "unanswered"];
            continue;
        }
        ++result.complete;
        const double end = job.arrival_s + it.response_s;
        result.goodput += end >= from && end < workload.duration_s ? work : 0;
        if (job.arrival_s >= from)
        {
            to_ideal.push_back(it.response_s / job.ideal_s);
            to_reference.push_back(it.response_s / reference[n].response_s);
            response.push_back(it.response_s);
        }
        if (!job.is_flood && job.arrival_s >= third && job.arrival_s < 2 * third)
        {
            result.other_work_per_s += work / third;
            other.push_back(it.response_s);
        }
    }
    result.started = run.work_started / (workload.duration_s * endpoints.capacity());
    result.offered /= window * endpoints.capacity();
    result.goodput /= window * endpoints.capacity();
    result.to_ideal = quantiles_of(std::move(to_ideal));
    result.to_reference = quantiles_of(std::move(to_reference));
    result.response_s = quantiles_of(std::move(response));
    result.other_response_s = quantiles_of(std::move(other));
    run.jobs.clear();
    result.run = std::move(run);
    return result;
}

void print(const summary& it, const summary* quiet)
{
    std::cout << absl::StrFormat("%s: %d jobs, %d complete, %d tasks started\n", it.policy, it.jobs,
                                 it.complete, it.run.started_tasks);
    for (const auto& [kind, n] : it.errors)
    {
        std::cout << absl::StrFormat("  %-34s %d jobs\n", kind, n);
    }
    print_quantiles("response / ideal", it.to_ideal);
    print_quantiles("response / clairvoyant", it.to_reference);
    print_quantiles("response, s", it.response_s);
    std::cout << absl::StrFormat(
        "  share of capacity                  offered %.3f  started %.3f  goodput %.3f\n",
        it.offered, it.started, it.goodput);
    if (it.run.started_tasks > 0)
    {
        print_messages(it.run);
    }
    if (it.run.processor_s > 0)
    {
        std::cout << absl::StrFormat("  processor time per task            %.1f us\n",
                                     1e6 * per_task(1, it.run) * it.run.processor_s);
    }
    for (const auto& [name, at] : it.run.stages)
    {
        std::cout << absl::StrFormat("    stage %-36s mean %8.3f ms  (%d)\n", name,
                                     at.count > 0 ? 1000 * at.sum_s / at.count : 0, at.count);
    }
    if (quiet != nullptr)
    {
        print_flood(it, *quiet);
    }
}

Json::Value to_json(const summary& it)
{
    Json::Value value;
    value["policy"] = it.policy;
    value["jobs"] = static_cast<Json::UInt64>(it.jobs);
    value["complete"] = static_cast<Json::UInt64>(it.complete);
    for (const auto& [kind, n] : it.errors)
    {
        value["errors"][kind] = static_cast<Json::UInt64>(n);
    }
    value["response_to_ideal"] = quantiles_json(it.to_ideal);
    value["response_to_clairvoyant"] = quantiles_json(it.to_reference);
    value["response_s"] = quantiles_json(it.response_s);
    value["offered"] = it.offered;
    value["started"] = it.started;
    value["goodput"] = it.goodput;
    value["other_work_per_s"] = it.other_work_per_s;
    value["other_response_s"] = quantiles_json(it.other_response_s);
    const auto& m = it.run.messages;
    if (it.run.started_tasks > 0)
    {
        auto& messages = value["messages_per_task"];
        messages["total"] = per_task(m.total(), it.run);
        messages["session"] = per_task(m.session, it.run);
        messages["hello"] = per_task(m.hello, it.run);
        messages["keeper_clients"] = per_task(m.keeper_clients, it.run);
        messages["keeper_internal"] = per_task(m.keeper_internal, it.run);
        messages["forward"] = per_task(m.forward, it.run);
        value["starts_per_task"] = per_task(it.run.starts, it.run);
        value["starts_beyond_first"] = static_cast<Json::UInt64>(it.run.double_starts);
    }
    value["processor_s"] = it.run.processor_s;
    return value;
}

} // namespace savoryreach::load
