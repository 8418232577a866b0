#include "savoryreach/base/seeded_random.hpp"
#include "savoryreach/entry/entry_core.hpp"
#include "savoryreach/net/session.hpp"

#include <benchmark/benchmark.h>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <ctime>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace savoryreach::entry
{
namespace
{

/// Virtual time that passes between two ticks.
constexpr absl::Duration step = absl::Milliseconds(1);
/// Most tasks submitted in one step: the target of 100,000 starts/s.
constexpr std::uint32_t max_tasks_per_step = 100;
constexpr std::uint32_t slots = 8;
/// Steps of one iteration of the benchmark.
constexpr int steps_per_iteration = 20;

/// Above the revisions of the run.
constexpr std::uint64_t latest_revision = 1'000;

using message = std::pair<base::node_name, schema::envelope>; ///< peer and content

class step_clock final : public base::clock
{
public:
    [[nodiscard]] absl::Time now() const override { return now_; }
    [[nodiscard]] absl::Time wall_now() const override { return now_; }
    void advance() { now_ += step; }

private:
    absl::Time now_ = absl::FromUnixSeconds(1'000'000);
};

class outbox final : public net::transport
{
public:
    void send(const base::node_name& to, schema::envelope content) override
    {
        sent.emplace_back(to, std::move(content));
    }
    void learn_address(const base::node_name& /*peer*/, const std::string& /*address*/) override {}

    std::vector<message> sent;
};

class answer_counter final : public caller_port
{
public:
    void answer(std::uint64_t /*request_id*/, const schema::job_answer& answer) override
    {
        ++answers;
        complete += answer.state() == schema::job_state_complete ? 1 : 0;
    }

    std::uint64_t answers = 0;
    std::uint64_t complete = 0;
};

class no_events final : public observe::event_sink
{
public:
    void record(std::string_view /*kind*/,
                std::initializer_list<observe::event_field> /*fields*/) override
    {
    }
};

/// Grants every claim at once.
class scripted_keeper
{
public:
    explicit scripted_keeper(std::uint32_t teams)
    {
        view_.set_membership_revision(1);
        auto& self = *view_.add_entries();
        self.set_name("e1");
        self.set_epoch(1);
        schema::declaration retention;
        retention.set_name("retention");
        // A shorter time than in production bounds the memory of the run.
        retention.mutable_retention()->set_answer_retention_ms(1000);
        add(retention);
        for (std::uint32_t n = 0; n < teams; ++n)
        {
            schema::declaration it;
            it.set_name(absl::StrCat("team-", n));
            it.mutable_team_quota()->set_team(it.name());
            it.mutable_team_quota()->set_weight(1 + n % 10);
            add(it);
        }
        view_.set_config_complete(true);
    }

    [[nodiscard]] schema::envelope answer(const schema::keeper_request& request) const
    {
        schema::envelope envelope;
        auto& reply = *envelope.mutable_keeper_reply();
        reply.set_request_id(request.request_id());
        reply.set_keeper("k1");
        if (request.has_join_entry())
        {
            reply.mutable_join()->set_epoch(1);
            reply.mutable_join()->set_lease_ms(3000);
            *reply.mutable_join()->mutable_view() = view_;
        }
        else if (request.has_renew_entry())
        {
            reply.mutable_renew()->set_lease_ms(3000);
        }
        else if (request.has_claims())
        {
            for (int n = 0; n < request.claims().claims_size(); ++n)
            {
                reply.mutable_claims()->add_results()->set_outcome(schema::claim_granted);
            }
        }
        else
        {
            reply.mutable_finishes();
        }
        return envelope;
    }

private:
    void add(const schema::declaration& declaration)
    {
        auto& it = *view_.add_config();
        view_.set_config_revision(view_.config_revision() + 1);
        it.set_config_revision(view_.config_revision());
        *it.mutable_declaration() = declaration;
    }

    schema::cluster_view view_;
};

/// Runs each task for a fixed time and grants one credit for each result.
class scripted_agent
{
public:
    explicit scripted_agent(std::string name) : name_(std::move(name)), stream_(1, 1) { grant(); }

    [[nodiscard]] schema::envelope hello()
    {
        schema::envelope envelope;
        auto& body = *envelope.mutable_agent_hello();
        body.set_agent(name_);
        body.set_incarnation(1);
        body.set_data_centre(absl::StrCat("dc-", std::hash<std::string>()(name_) % 13));
        body.set_slots(slots);
        // The first reply brings the configuration.
        body.set_config_revision(std::exchange(config_revision_, latest_revision));
        return envelope;
    }

    /// Takes a frame; the tasks in it end at \p due.
    void receive(const schema::session_frame& frame, absl::Time now, absl::Time due)
    {
        for (auto& it : stream_.receive(frame, now))
        {
            if (it.has_start())
            {
                running_.emplace_back(due, std::move(*it.mutable_start()));
            }
        }
    }

    /// Appends the frames that are due to \p to.
    void poll(absl::Time now, absl::Duration run, std::vector<message>& to)
    {
        const auto before = ended_;
        for (; !running_.empty() && running_.front().first <= now; running_.pop_front())
        {
            schema::session_item item;
            auto& result = *item.mutable_result();
            result.set_submission_id(running_.front().second.submission_id());
            result.set_task(running_.front().second.task());
            result.set_attempt(running_.front().second.attempt());
            result.set_outcome(schema::task_succeeded);
            result.set_output("done");
            result.set_run_us(static_cast<std::uint64_t>(absl::ToInt64Microseconds(run)));
            stream_.push(std::move(item));
            ++ended_;
        }
        if (ended_ != before)
        {
            grant();
        }
        while (auto frame = stream_.poll(now))
        {
            schema::envelope envelope;
            *envelope.mutable_session() = std::move(*frame);
            to.emplace_back(name_, std::move(envelope));
        }
    }

private:
    void grant()
    {
        schema::session_item item;
        item.mutable_credit()->set_limit(ended_ + slots);
        stream_.push(std::move(item));
    }

    std::string name_;
    net::session stream_;
    std::deque<std::pair<absl::Time, schema::task_start>> running_; ///< with the end time
    std::uint64_t ended_ = 0;
    std::uint64_t config_revision_ = 0;
};

/// The whole core with its callers, keeper and agents in one process. The run time keeps 75 % of
/// the slots busy at the same rate of starts for every number of agents; a slot takes one task in a
/// step, so that few agents bound the rate. Only the processor time spent inside the core counts.
class core_loop
{
public:
    core_loop(std::uint32_t agents, std::uint32_t teams, std::uint32_t tasks)
        : teams_(teams), tasks_(tasks),
          tasks_per_step_(std::min(max_tasks_per_step, agents * slots * 3 / 4)),
          run_(step * (0.75 * agents * slots / tasks_per_step_)), keeper_(teams),
          core_(settings(), entry_ports{clock_, random_, outbox_, answers_, events_})
    {
        for (std::uint32_t n = 0; n < agents; ++n)
        {
            index_.emplace(absl::StrCat("worker-", n), n);
            agents_.emplace_back(absl::StrCat("worker-", n));
        }
        for (int n = 0; n < 600; ++n)
        {
            advance(false);
        }
    }

    void advance(bool submits = true)
    {
        clock_.advance();
        const auto started = cpu_seconds();
        for (const auto& [from, envelope] : std::exchange(inbox_, {}))
        {
            core_.receive(from, envelope);
        }
        if (submits)
        {
            submit();
        }
        core_.tick();
        core_seconds += cpu_seconds() - started;
        deliver();
        say_hello();
    }

    [[nodiscard]] std::uint64_t starts() const { return core_.status().starts; }
    [[nodiscard]] std::uint64_t refused() const { return core_.status().refused; }
    [[nodiscard]] std::uint64_t complete() const { return answers_.complete; }
    [[nodiscard]] std::uint64_t messages() const
    {
        return core_.status().frames_sent + core_.status().frames_received;
    }

    double core_seconds = 0; ///< processor time in the core

private:
    static schema::entry_settings settings()
    {
        schema::entry_settings it;
        it.mutable_common()->set_name("e1");
        it.mutable_common()->add_keepers()->set_name("k1");
        return it;
    }

    static double cpu_seconds()
    {
        timespec it{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &it);
        return static_cast<double>(it.tv_sec) + 1e-9 * static_cast<double>(it.tv_nsec);
    }

    void submit()
    {
        owed_ += tasks_per_step_;
        for (; owed_ >= tasks_; owed_ -= tasks_)
        {
            schema::submission it;
            ++jobs_;
            it.set_schema_version(1);
            it.set_submission_id(absl::StrCat("submission-", jobs_));
            it.set_team(absl::StrCat("team-", jobs_ % teams_));
            it.set_kind(kinds_[jobs_ % kinds_.size()]);
            it.set_urgency(jobs_ % 10);
            it.set_idempotent(true);
            it.set_time_budget_ms(60'000);
            for (std::uint32_t n = 0; n < tasks_; ++n)
            {
                it.add_tasks()->set_payload("payload");
            }
            core_.submit(jobs_, std::move(it), true, clock_.now() + absl::Seconds(60));
        }
    }

    /// Gives the core's messages to the keeper and the agents, and collects their answers.
    void deliver()
    {
        const auto now = clock_.now();
        for (const auto& [to, envelope] : std::exchange(outbox_.sent, {}))
        {
            if (envelope.has_keeper_request())
            {
                inbox_.emplace_back(to, keeper_.answer(envelope.keeper_request()));
            }
            else if (envelope.has_session())
            {
                agents_[index_.at(to.value())].receive(envelope.session(), now, now + run_);
            }
        }
        for (auto& it : agents_)
        {
            it.poll(now, run_, inbox_);
        }
    }

    /// Each agent announces itself every 500 ms; the agents are spread over that time.
    void say_hello()
    {
        const std::size_t period = 500;
        for (std::size_t n = steps_++ % period; n < agents_.size(); n += period)
        {
            inbox_.emplace_back(base::node_name(absl::StrCat("worker-", n)), agents_[n].hello());
        }
    }

    std::uint32_t teams_;
    std::uint32_t tasks_;
    std::uint32_t tasks_per_step_;
    absl::Duration run_; ///< of each task
    step_clock clock_;
    base::seeded_random random_{20261204};
    outbox outbox_;
    answer_counter answers_;
    no_events events_;
    scripted_keeper keeper_;
    entry_core core_;
    absl::flat_hash_map<std::string, std::size_t> index_; ///< agents by name
    std::vector<scripted_agent> agents_;
    std::vector<message> inbox_; ///< for the core
    std::vector<std::string> kinds_{"hold",    "size check", "return",
                                    "preview", "proof",      "spot check"};
    std::uint64_t jobs_ = 0;
    std::uint32_t owed_ = 0; ///< tasks to submit
    std::size_t steps_ = 0;
};

void entry_core_starts(benchmark::State& state)
{
    core_loop loop(static_cast<std::uint32_t>(state.range(0)),
                   static_cast<std::uint32_t>(state.range(1)),
                   static_cast<std::uint32_t>(state.range(2)));
    // The estimates are learned, and the answers' retention has come to an end.
    for (int n = 0; n < 2000; ++n)
    {
        loop.advance();
    }
    const auto starts = loop.starts();
    const auto messages = loop.messages();
    const auto seconds = loop.core_seconds;
    for (auto unused : state)
    {
        (void)unused;
        const auto before = loop.core_seconds;
        for (int n = 0; n < steps_per_iteration; ++n)
        {
            loop.advance();
        }
        state.SetIterationTime(loop.core_seconds - before);
    }
    const auto done = static_cast<double>(loop.starts() - starts);
    state.counters["starts/s"] = done / (loop.core_seconds - seconds);
    state.counters["messages/task"] = static_cast<double>(loop.messages() - messages) / done;
    state.counters["refused"] = static_cast<double>(loop.refused());
    state.counters["complete"] = static_cast<double>(loop.complete());
}

BENCHMARK(entry_core_starts)
    ->ArgNames({"agents", "teams", "tasks"})
    ->ArgsProduct({{10, 300, 4100}, {2, 290}, {100, 970}})
    ->UseManualTime()
    ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace savoryreach::entry
