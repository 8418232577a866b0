#include "tests/agent/scripted_cluster.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gtest/gtest.h>

#include <map>

namespace savoryreach::agent
{
namespace
{

/// Runs an agent with three entries under message loss, partitions, lease expiry and entry failure.
/// Submission ids have the form EPOCH-NUMBER-KIND, where KIND is "i" for idempotent jobs and "n"
/// for others.
class agent_random_test : public testing::TestWithParam<std::uint64_t>
{
protected:
    void SetUp() override
    {
        SCOPED_TRACE(testing::Message() << "seed " << GetParam());
        cluster_.endpoint.on_run = [this](const run_request& request)
        {
            check_run(request);
        };
        auto& faults = cluster_.network.faults();
        faults.loss = 0.1;
        faults.duplication = 0.1;
        faults.long_delay = 0.1;
        for (std::uint64_t n = 0; n < 3; ++n)
        {
            entry_epochs_[n] = ++last_epoch_;
            cluster_.add_entry(name_of(n), last_epoch_);
        }
    }

    static std::string name_of(std::uint64_t n) { return absl::StrCat("e", n); }
    scripted_entry& entry(std::uint64_t n) { return cluster_.entries.at(name_of(n)); }

    void check_run(const run_request& request)
    {
        const auto& id = request.attempt;
        const std::vector<std::string> parts = absl::StrSplit(id.submission_id, '-');
        std::uint64_t epoch = 0;
        ASSERT_TRUE(absl::SimpleAtoi(parts[0], &epoch));
        const bool is_idempotent = parts[2] == "i";
        auto& task = tasks_[{id.submission_id, id.task}];
        EXPECT_TRUE(task.attempts.insert(id.attempt).second) << "attempt started twice";
        EXPECT_TRUE(is_idempotent || task.attempts.size() == 1) << "non-idempotent task ran twice";
        EXPECT_EQ(task.running, 0) << "two attempts run concurrently";
        ++task.running;
        // The end of the lease at the entry; the agent's lease must not end later.
        EXPECT_LT(cluster_.clock.now(), cluster_.lease_ends[epoch]) << "start without a lease";
        EXPECT_FALSE(fenced_epochs_.contains(epoch)) << "start of a fenced epoch";
        EXPECT_FALSE(returned_attempts_.contains(id)) << "start of a returned attempt";
    }

    void send_random_start(std::uint64_t n)
    {
        auto& sender = entry(n);
        const bool is_idempotent = cluster_.random.below(2) == 0;
        auto start = make_start(
            absl::StrCat(sender.epoch, "-", cluster_.random.below(10), is_idempotent ? "-i" : "-n"),
            static_cast<std::uint32_t>(cluster_.random.below(4)),
            static_cast<std::uint32_t>(cluster_.random.below(3)));
        start.set_idempotent(is_idempotent);
        start.set_urgency(static_cast<std::uint32_t>(cluster_.random.below(10)));
        start.set_start_within_ms(static_cast<std::uint32_t>(cluster_.random.below(2000)));
        cluster_.send_start(sender, start);
        if (cluster_.random.below(4) == 0)
        {
            schema::session_item item;
            item.mutable_recall()->set_submission_id(start.submission_id());
            item.mutable_recall()->set_task(start.task());
            item.mutable_recall()->set_attempt(start.attempt());
            cluster_.send_item(sender, item);
        }
    }

    /// Simulates the failure of an entry: lists its epoch as fenced in the view, adds a successor
    /// with a new epoch, and schedules inquiries about the old one.
    void replace_entry(std::uint64_t n)
    {
        const auto dead = entry_epochs_[n];
        dead_epochs_.insert(dead);
        cluster_.fence_in_view(dead);
        entry_epochs_[n] = ++last_epoch_;
        cluster_.add_entry(name_of(n), last_epoch_);
    }

    void send_inquiries_and_check_replies()
    {
        for (const auto dead : dead_epochs_)
        {
            cluster_.send_inquiry(entry(cluster_.random.below(3)), dead);
        }
        for (const auto& [name, entry] : cluster_.entries)
        {
            for (const auto& reply : entry.inquiry_replies)
            {
                fenced_epochs_.insert(reply.dead_epoch());
                expect_lists_every_start(reply);
            }
        }
        for (auto& [name, entry] : cluster_.entries)
        {
            entry.inquiry_replies.clear();
        }
    }

    /// A start that a reply omits could be repeated at another agent.
    void expect_lists_every_start(const schema::inquiry_reply& reply)
    {
        std::size_t starts = 0;
        for (const auto& [task, state] : tasks_)
        {
            if (absl::StartsWith(task.first, absl::StrCat(reply.dead_epoch(), "-")))
            {
                starts += state.attempts.size();
            }
        }
        EXPECT_EQ(static_cast<std::size_t>(reply.tasks_size()), starts);
    }

    void end_random_run()
    {
        auto& runs = cluster_.endpoint.runs;
        if (!runs.empty())
        {
            const auto n = cluster_.random.below(runs.size());
            --tasks_[{runs[n].attempt.submission_id, runs[n].attempt.task}].running;
            cluster_.end_run(n);
            runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(n));
        }
    }

    void check_recall_results()
    {
        for (auto& [name, entry] : cluster_.entries)
        {
            for (const auto& recall : entry.recall_results)
            {
                const base::attempt_id id{recall.submission_id(), recall.task(), recall.attempt()};
                if (recall.returned())
                {
                    const auto& attempts = tasks_[{id.submission_id, id.task}].attempts;
                    EXPECT_FALSE(attempts.contains(id.attempt)) << "a started attempt was returned";
                    returned_attempts_.insert(id);
                }
            }
            entry.recall_results.clear();
        }
    }

    void inject_random_fault()
    {
        const auto n = cluster_.random.below(3);
        switch (cluster_.random.below(40))
        {
        case 0:
            cluster_.network.isolate(base::node_name(name_of(n)));
            break;
        case 1:
            cluster_.network.cut(base::node_name(name_of(n)), base::node_name("agent"));
            break;
        case 2:
            cluster_.network.cut(base::node_name("agent"), base::node_name(name_of(n)));
            break;
        case 3:
        case 4:
        case 5:
            cluster_.network.mend_all();
            break;
        case 6:
            if (last_epoch_ < 12)
            {
                replace_entry(n);
            }
            break;
        default:
            break;
        }
    }

    struct task_state
    {
        std::set<std::uint32_t> attempts;
        int running = 0;
    };

    scripted_cluster cluster_{GetParam(), 4};
    std::uint64_t last_epoch_ = 0;
    std::map<std::uint64_t, std::uint64_t> entry_epochs_;
    std::map<std::pair<std::string, std::uint32_t>, task_state> tasks_;
    std::set<std::uint64_t> fenced_epochs_; ///< whose inquiry reply an asker has received
    std::set<std::uint64_t> dead_epochs_;   ///< epochs to inquire about
    std::set<base::attempt_id> returned_attempts_;
};

// Guards against a second start of an attempt, a start after the expiry of the lease or the fencing
// of the epoch, and an incomplete inquiry reply, under random combinations of loss, duplication,
// reordering, partitions and entry failures.
TEST_P(agent_random_test, random_faults_preserve_start_invariants)
{
    for (int iteration = 0; iteration < 1200 && !HasFailure(); ++iteration)
    {
        cluster_.run_for(absl::Milliseconds(50));
        check_recall_results();
        inject_random_fault();
        const auto sender = cluster_.random.below(3);
        if (entry(sender).session)
        {
            send_random_start(sender);
        }
        if (cluster_.random.below(3) == 0)
        {
            end_random_run();
        }
        if (iteration % 20 == 0)
        {
            send_inquiries_and_check_replies();
        }
    }
    EXPECT_FALSE(HasFailure()) << "seed " << GetParam();
    EXPECT_GT(cluster_.agent->status().starts, 50u) << "too few starts to cover the faults";
    EXPECT_GT(cluster_.events.count("task_refused"), 50);
    EXPECT_GT(cluster_.events.count("session_lease_expired"), 0);
    EXPECT_GT(cluster_.events.count("epoch_fenced"), 0);
}

INSTANTIATE_TEST_SUITE_P(seeds, agent_random_test, testing::Range<std::uint64_t>(1, 31));

} // namespace
} // namespace savoryreach::agent
