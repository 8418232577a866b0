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

/// Runs an agent among three entries that lose messages, leases and lives. Submission ids have the
/// form EPOCH-NUMBER-KIND, where kind is "i" for idempotent jobs.
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
        auto& task = started_[{id.submission_id, id.task}];
        EXPECT_TRUE(task.attempts.insert(id.attempt).second) << "attempt started twice";
        EXPECT_TRUE(is_idempotent || task.attempts.size() == 1) << "non-idempotent task ran twice";
        EXPECT_EQ(task.running, 0) << "two attempts run at once";
        ++task.running;
        // The lease as the entry knows it; the agent's own must not end later.
        EXPECT_LT(cluster_.clock.now(), cluster_.granted_until[epoch]) << "start without a lease";
        EXPECT_FALSE(fenced_.contains(epoch)) << "start of a fenced epoch";
        EXPECT_FALSE(returned_.contains(id)) << "start of a returned attempt";
    }

    void send_random_start(std::uint64_t n)
    {
        auto& from = entry(n);
        const bool is_idempotent = cluster_.random.below(2) == 0;
        auto start = make_start(
            absl::StrCat(from.epoch, "-", cluster_.random.below(10), is_idempotent ? "-i" : "-n"),
            static_cast<std::uint32_t>(cluster_.random.below(4)),
            static_cast<std::uint32_t>(cluster_.random.below(3)));
        start.set_idempotent(is_idempotent);
        start.set_urgency(static_cast<std::uint32_t>(cluster_.random.below(10)));
        start.set_start_within_ms(static_cast<std::uint32_t>(cluster_.random.below(2000)));
        cluster_.send_start(from, start);
        if (cluster_.random.below(4) == 0)
        {
            schema::session_item item;
            item.mutable_recall()->set_submission_id(start.submission_id());
            item.mutable_recall()->set_task(start.task());
            item.mutable_recall()->set_attempt(start.attempt());
            cluster_.send_item(from, item);
        }
    }

    /// The entry dies, its epoch is fenced by an inquiry, and its successor joins.
    void replace_entry(std::uint64_t n)
    {
        const auto dead = entry_epochs_[n];
        fenced_after_reply_.insert(dead);
        cluster_.fence_in_view(dead);
        entry_epochs_[n] = ++last_epoch_;
        cluster_.add_entry(name_of(n), last_epoch_);
    }

    void inquire()
    {
        for (const auto dead : fenced_after_reply_)
        {
            cluster_.send_inquiry(entry(cluster_.random.below(3)), dead);
        }
        for (const auto& [name, entry] : cluster_.entries)
        {
            for (const auto& reply : entry.replies)
            {
                fenced_.insert(reply.dead_epoch());
                expect_complete(reply);
            }
        }
        for (auto& [name, entry] : cluster_.entries)
        {
            entry.replies.clear();
        }
    }

    /// A reply must list every start of the epoch, or a task could be started again elsewhere.
    void expect_complete(const schema::inquiry_reply& reply)
    {
        std::size_t starts = 0;
        for (const auto& [task, state] : started_)
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
            --started_[{runs[n].attempt.submission_id, runs[n].attempt.task}].running;
            cluster_.end_run(n);
            runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(n));
        }
    }

    void take_recalls()
    {
        for (auto& [name, entry] : cluster_.entries)
        {
            for (const auto& recall : entry.recalls)
            {
                const base::attempt_id id{recall.submission_id(), recall.task(), recall.attempt()};
                if (recall.returned())
                {
                    const auto& attempts = started_[{id.submission_id, id.task}].attempts;
                    EXPECT_FALSE(attempts.contains(id.attempt)) << "a started attempt was returned";
                    returned_.insert(id);
                }
            }
            entry.recalls.clear();
        }
    }

    void disturb()
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
    std::map<std::pair<std::string, std::uint32_t>, task_state> started_;
    std::set<std::uint64_t> fenced_;             ///< an asker has got a reply
    std::set<std::uint64_t> fenced_after_reply_; ///< dead epochs to ask about
    std::set<base::attempt_id> returned_;
};

// Guards against a second start, a start after the lease or the fence, and an incomplete inquiry
// reply, in any combination of loss, duplication, reordering, partitions and dying entries.
TEST_P(agent_random_test, faults_in_any_order_keep_the_rules_of_a_start)
{
    for (int n = 0; n < 1200 && !HasFailure(); ++n)
    {
        cluster_.run_for(absl::Milliseconds(50));
        take_recalls();
        disturb();
        const auto from = cluster_.random.below(3);
        if (entry(from).stream)
        {
            send_random_start(from);
        }
        if (cluster_.random.below(3) == 0)
        {
            end_random_run();
        }
        if (n % 20 == 0)
        {
            inquire();
        }
    }
    EXPECT_FALSE(HasFailure()) << "seed " << GetParam();
    EXPECT_GT(cluster_.agent->status().starts, 50u) << "the run exercised too little";
    EXPECT_GT(cluster_.events.counts["task_refused"], 50);
    EXPECT_GT(cluster_.events.counts["session_lease_expired"], 0);
    EXPECT_GT(cluster_.events.counts["epoch_fenced"], 0);
}

INSTANTIATE_TEST_SUITE_P(seeds, agent_random_test, testing::Range<std::uint64_t>(1, 31));

} // namespace
} // namespace savoryreach::agent
