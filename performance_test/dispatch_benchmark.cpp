// Cost of the dispatcher's decisions for one task, from its submission to its end, by the number of
// endpoints.

#include "savoryreach/dispatch/dispatcher.hpp"

#include <benchmark/benchmark.h>

#include <absl/strings/str_cat.h>

#include <utility>
#include <vector>

namespace savoryreach::dispatch
{
namespace
{

constexpr std::uint32_t tasks_per_job = 4;
constexpr std::uint32_t task_cpu_milli = 6200;
constexpr std::uint32_t endpoint_cpu_milli = 64'000;
constexpr absl::Duration between_jobs = absl::Milliseconds(1);

class step_clock final : public base::clock
{
public:
    [[nodiscard]] absl::Time now() const override { return now_; }
    [[nodiscard]] absl::Time wall_now() const override { return now_; }
    void advance(absl::Duration by) { now_ += by; }

private:
    absl::Time now_ = absl::FromUnixSeconds(1'000'000);
};

/// A dispatcher with endpoints that carry out each order at once.
class fleet final : public dispatch_port
{
public:
    explicit fleet(std::size_t endpoints)
    {
        schema::log_entry entry;
        auto& queue = *entry.mutable_command()->mutable_fleet_config()->add_queues();
        entry.mutable_command()->mutable_fleet_config()->set_version(1);
        queue.set_name("queue");
        queue.set_host("host.example");
        queue.set_path_prefix("/jobs/");
        queue.set_service("service");
        queue.set_slack_factor(2.0);
        queue.set_target_ms(100);
        queue.set_max_attempts(3);
        store_.apply(entry);
        core_.lead(1);
        for (std::size_t n = 0; n < endpoints; ++n)
        {
            core_.on_report(absl::StrCat("host-", n), report_of(absl::StrCat("host-", n)));
        }
        core_.on_applied(++index_);
        settle();
        settle();
    }

    /// One job from its submission to its end.
    void run_job()
    {
        clock_.advance(between_jobs);
        schema::front_request request;
        request.set_term(1);
        request.set_number(++last_);
        auto& submit = *request.mutable_submit();
        submit.set_host("host.example");
        submit.set_path(absl::StrCat("/jobs/", format_job_id(last_)));
        submit.set_remaining_ms(5000);
        submit.mutable_spec()->set_id(last_);
        auto& step = *submit.mutable_spec()->add_steps();
        step.set_count(tasks_per_job);
        step.set_cpu_milli(task_cpu_milli);
        step.set_memory_mb(64);
        step.set_estimated_ms(100);
        core_.on_front_request("front", request);
        settle();
    }

    [[nodiscard]] const dispatcher& core() const { return core_; }

    void send_orders(const std::string& agent, schema::endpoint_orders orders) override
    {
        orders_.emplace_back(agent, std::move(orders));
    }
    void answer(const std::string& /*front*/, schema::front_answer /*answer*/) override {}
    std::optional<std::uint64_t> propose(schema::command command) override
    {
        schema::log_entry entry;
        *entry.mutable_command() = std::move(command);
        store_.apply(entry);
        return ++index_;
    }

private:
    [[nodiscard]] static schema::endpoint_report report_of(const std::string& host)
    {
        schema::endpoint_report out;
        out.set_term(1);
        out.set_agent_process(1);
        out.set_host(host);
        out.set_endpoint(host);
        out.set_born_ms(1);
        out.set_service("service");
        out.set_known(true);
        out.set_cpu_milli(endpoint_cpu_milli);
        out.set_memory_mb(262'144);
        return out;
    }

    /// Carries out the orders: lists for looks, a confirmation and an end for each start.
    void settle()
    {
        core_.tick();
        const auto orders = std::exchange(orders_, {});
        for (const auto& [agent, it] : orders)
        {
            auto report = report_of(agent);
            report.set_session(it.session());
            report.set_look(it.look());
            for (const auto& start : it.starts())
            {
                *report.add_confirmed() = start;
                auto& end = *report.add_ends();
                end.set_number(++last_end_);
                *end.mutable_task() = start.task();
                end.set_attempt(start.attempt());
                end.set_outcome(schema::run_done);
                end.set_ran_ms(100);
            }
            core_.on_report(agent, report);
        }
        core_.tick();
    }

    step_clock clock_;
    observe::null_event_sink events_;
    observe::metrics measures_;
    fleet_store store_;
    dispatcher core_{clock_, *this, events_, measures_, store_};
    std::vector<std::pair<std::string, schema::endpoint_orders>> orders_;
    std::uint64_t index_ = 0;
    std::uint64_t last_ = 0;
    std::uint64_t last_end_ = 0;
};

void job_through_the_dispatcher(benchmark::State& state)
{
    fleet all(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state)
    {
        all.run_job();
    }
    state.SetItemsProcessed(state.iterations() * tasks_per_job);
    state.counters["completed"] = static_cast<double>(all.core().counts().completed);
}

BENCHMARK(job_through_the_dispatcher)->Arg(11)->Arg(67)->Arg(160)->Arg(512)->Arg(4100);

} // namespace
} // namespace savoryreach::dispatch
