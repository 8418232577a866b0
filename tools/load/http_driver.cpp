#include "tools/load/http_driver.hpp"

#include "savoryreach/base/digest.hpp"

#include <absl/strings/str_cat.h>
#include <httplib.h>
#include <json/json.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>

namespace savoryreach::load
{
namespace
{

using steady = std::chrono::steady_clock;

constexpr std::chrono::seconds connect_timeout{2};
/// An entry answers within the job's time budget; the margin covers its own closing time.
constexpr double read_margin_s = 5;

Json::Value parse(const std::string& text)
{
    Json::Value value;
    std::string errors;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    const bool is_read = reader->parse(text.data(), text.data() + text.size(), &value, &errors);
    return is_read && value.isObject() ? value : Json::Value(Json::objectValue);
}

std::string to_body(const planned_job& job)
{
    const auto submission = to_submission(job);
    Json::Value value;
    value["schema_version"] = submission.schema_version();
    value["submission_id"] = submission.submission_id();
    value["team"] = submission.team();
    value["kind"] = submission.kind();
    value["urgency"] = submission.urgency();
    value["idempotent"] = submission.idempotent();
    value["time_budget_ms"] = submission.time_budget_ms();
    for (const auto& task : submission.tasks())
    {
        Json::Value item;
        item["payload"] = task.payload();
        value["tasks"].append(std::move(item));
    }
    return Json::writeString(Json::StreamWriterBuilder(), value);
}

base::error_kind kind_named(const std::string& name)
{
    constexpr std::uint32_t highest_kind = 100;
    for (std::uint32_t n = 0; n < highest_kind; ++n)
    {
        const auto kind = base::error_kind_from(n);
        if (base::traits_of(kind).name == name)
        {
            return kind;
        }
    }
    return base::error_kind::internal;
}

/// Hands the requests to a bounded number of threads.
class http_run
{
public:
    http_run(const std::vector<planned_job>& plan, const http_options& options)
        : plan_(plan), options_(options), start_(steady::now())
    {
        result_.jobs.resize(plan.size());
    }

    run_result run()
    {
        std::vector<std::thread> threads;
        for (std::size_t n = 0; n < options_.threads; ++n)
        {
            threads.emplace_back([this] { work(); });
        }
        for (auto& it : threads)
        {
            it.join();
        }
        return std::move(result_);
    }

private:
    void work()
    {
        while (true)
        {
            const auto request = next_++;
            const auto number = request / options_.copies;
            if (number >= plan_.size())
            {
                return;
            }
            std::this_thread::sleep_until(
                start_ + std::chrono::duration_cast<steady::duration>(
                             std::chrono::duration<double>(plan_[number].arrival_s)));
            post(number, request);
        }
    }

    void post(std::size_t number, std::size_t request)
    {
        const auto& job = plan_[number];
        const auto spread = base::stable_hash(job.id) + request % options_.copies;
        httplib::Client client("http://" + options_.entries[spread % options_.entries.size()]);
        client.set_connection_timeout(connect_timeout);
        client.set_read_timeout(std::chrono::milliseconds(
            job.budget_ms + static_cast<std::int64_t>(1000 * read_margin_s)));
        const auto response = client.Post("/v1/jobs", to_body(job), "application/json");
        const std::chrono::duration<double> elapsed = steady::now() - start_;
        if (!response)
        {
            return;
        }
        const auto answer = parse(response->body);
        const std::lock_guard lock(mutex_);
        auto& it = result_.jobs[number];
        if (std::exchange(it.is_answered, true))
        {
            return;
        }
        it.response_s = elapsed.count() - job.arrival_s;
        it.is_complete = answer["state"].asString() == "complete";
        it.error = it.is_complete ? base::error_kind::none : kind_named(answer["error"].asString());
        it.tasks_started = answer.get("tasks_started", 0U).asUInt();
    }

    const std::vector<planned_job>& plan_;
    const http_options& options_;
    const steady::time_point start_;
    std::atomic<std::size_t> next_ = 0; ///< request to send next
    std::mutex mutex_;                  ///< guards result_
    run_result result_;
};

} // namespace

run_result run_http(const std::vector<planned_job>& plan, const http_options& options)
{
    return http_run(plan, options).run();
}

} // namespace savoryreach::load
