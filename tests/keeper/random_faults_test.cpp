#include "tests/keeper/keeper_cluster.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

namespace savoryreach::keeper
{
namespace
{

constexpr absl::Duration step_time = absl::Milliseconds(20);

/// Entries claim, finish, renew, stop renewing and rejoin, while keepers crash, are isolated and
/// have slow disks. Checks that the replies to all entries are consistent.
class random_run
{
public:
    explicit random_run(std::uint64_t seed) : random_(seed), cluster_(5, seed, 100)
    {
        cluster_.network().faults() = {0.05,
                                       0.05,
                                       absl::Microseconds(200),
                                       absl::Milliseconds(3),
                                       0.02,
                                       absl::Milliseconds(500)};
    }

    void run(int steps)
    {
        for (int i = 0; i < steps && !::testing::Test::HasFailure(); ++i)
        {
            inject_fault();
            for (auto& it : entries_)
            {
                send_requests(it);
            }
            cluster_.run_for(step_time);
            process_replies();
        }
        heal_cluster();
        check_takeovers();
    }

    std::size_t grants() const { return grants_; }
    std::size_t takeovers() const { return takeovers_; }

private:
    struct entry
    {
        std::string name;
        std::uint64_t nonce = 1;
        std::uint64_t epoch = 0;
        int silent_steps = 0;
    };

    struct sent_request
    {
        entry* sender;
        schema::keeper_request request;
        absl::Time sent_at;
    };

    struct job_record
    {
        /// The earlier epochs in the replies to each epoch that was granted the claim.
        absl::btree_map<std::uint64_t, absl::btree_set<std::uint64_t>> grants;
        absl::Time finished_at = absl::InfiniteFuture(); ///< time of the first claim_finished reply
    };

    void send(entry& it, schema::keeper_request request)
    {
        const auto keeper = absl::StrCat("k", 1 + random_.below(5));
        const auto id = cluster_.send(it.name, keeper, request);
        pending_requests_[id] = {&it, std::move(request), cluster_.clock().now()};
    }

    void send_requests(entry& it)
    {
        schema::keeper_request request;
        if (it.epoch == 0)
        {
            request.mutable_join_entry()->set_name(it.name);
            request.mutable_join_entry()->set_process_nonce(it.nonce);
            send(it, request);
            return;
        }
        if (it.silent_steps > 0 || random_.below(400) == 0)
        {
            it.silent_steps = it.silent_steps > 0 ? it.silent_steps - 1 : 200;
            return;
        }
        if (random_.below(10) == 0)
        {
            request.mutable_renew_entry()->set_epoch(it.epoch);
            send(it, request);
        }
        const auto job = absl::StrCat("job", random_.below(60));
        if (random_.below(20) == 0)
        {
            request.mutable_finishes()->set_owner_epoch(it.epoch);
            request.mutable_finishes()->add_submission_ids(job);
            send(it, request);
        }
        request.mutable_claims()->set_owner_epoch(it.epoch);
        request.mutable_claims()->add_claims()->set_submission_id(job);
        send(it, request);
        request.mutable_fence_info()->set_epoch(entries_[random_.below(3)].epoch);
        send(it, request);
    }

    void inject_fault()
    {
        const auto keeper = absl::StrCat("k", 1 + random_.below(5));
        const bool up = std::ranges::count(cluster_.running(), keeper) > 0;
        switch (random_.below(150))
        {
        case 0:
            up ? cluster_.crash(keeper) : cluster_.start(keeper);
            break;
        case 1:
            cluster_.network().isolate(base::node_name(keeper));
            break;
        case 2:
        case 3:
            cluster_.network().mend_all();
            break;
        case 4:
            cluster_.disk(keeper).set_sync_delay(absl::Milliseconds(1 + random_.below(300)));
            break;
        case 5:
        case 6:
            if (!up)
            {
                cluster_.start(keeper);
            }
            break;
        default:
            break;
        }
    }

    void process_replies()
    {
        for (auto it = pending_requests_.begin(); it != pending_requests_.end();)
        {
            const auto reply = cluster_.reply(it->first);
            if (reply)
            {
                process_reply(it->second, *reply);
            }
            const bool done =
                reply || it->second.sent_at + absl::Seconds(5) < cluster_.clock().now();
            it = done ? pending_requests_.erase(it) : std::next(it);
        }
    }

    void process_reply(const sent_request& sent, const schema::keeper_reply& reply)
    {
        auto& it = *sent.sender;
        if (reply.has_join() && it.epoch == 0)
        {
            it.epoch = reply.join().epoch();
            record_lease(it.epoch, sent.sent_at, reply.join().lease_ms());
        }
        else if (reply.has_renew())
        {
            const auto epoch = sent.request.renew_entry().epoch();
            record_lease(epoch, sent.sent_at, reply.renew().lease_ms());
            if (reply.renew().fenced() && epoch == it.epoch)
            {
                it.epoch = 0;
                ++it.nonce;
            }
        }
        else if (reply.has_fence_info() && reply.fence_info().fenced())
        {
            const auto epoch = sent.request.fence_info().epoch();
            fenced_at_.emplace(epoch, cluster_.clock().now());
            EXPECT_LE(lease_end_[epoch], fenced_at_[epoch]) << "fenced before the end of its lease";
        }
        else if (reply.has_claims())
        {
            process_claim_reply(sent, reply.claims().results(0));
        }
    }

    void record_lease(std::uint64_t epoch, absl::Time sent_at, std::uint32_t lease_ms)
    {
        if (lease_ms == 0)
        {
            return;
        }
        lease_end_[epoch] = std::max(lease_end_[epoch], sent_at + absl::Milliseconds(lease_ms));
        if (fenced_at_.contains(epoch))
        {
            EXPECT_LE(lease_end_[epoch], fenced_at_[epoch]) << "a fenced epoch was granted a lease";
        }
    }

    void process_claim_reply(const sent_request& sent, const schema::claim_result& result)
    {
        const auto epoch = sent.request.claims().owner_epoch();
        auto& job = jobs_[sent.request.claims().claims(0).submission_id()];
        const auto outcome = result.outcome();
        if (outcome == schema::claim_finished)
        {
            job.finished_at = std::min(job.finished_at, cluster_.clock().now());
        }
        else if (outcome == schema::claim_granted || outcome == schema::claim_taken_over)
        {
            EXPECT_GE(job.finished_at, sent.sent_at) << "a finished job was granted";
            auto& earlier = job.grants[epoch];
            earlier.insert(result.earlier_epochs().begin(), result.earlier_epochs().end());
            ++grants_;
            takeovers_ += outcome == schema::claim_taken_over ? 1 : 0;
        }
    }

    void heal_cluster()
    {
        cluster_.network().mend_all();
        cluster_.network().faults() = {};
        for (int i = 1; i <= 5; ++i)
        {
            const auto keeper = absl::StrCat("k", i);
            cluster_.disk(keeper).set_sync_delay(absl::Milliseconds(2));
            if (std::ranges::count(cluster_.running(), keeper) == 0)
            {
                cluster_.start(keeper);
            }
        }
        EXPECT_TRUE(cluster_.run_until(
            [&] { return !cluster_.leader().empty() && cluster_.has_converged(); },
            absl::Seconds(30)))
            << "the cluster must recover after the faults";
    }

    /// Of two epochs that were granted one job, one must have the other as an earlier epoch;
    /// otherwise its tasks start twice.
    void check_takeovers() const
    {
        for (const auto& [id, job] : jobs_)
        {
            for (const auto& [a, earlier_a] : job.grants)
            {
                for (const auto& [b, earlier_b] : job.grants)
                {
                    EXPECT_TRUE(a == b || earlier_a.contains(b) || earlier_b.contains(a))
                        << id << " was granted to " << a << " and " << b;
                }
            }
        }
    }

    base::seeded_random random_;
    keeper_cluster cluster_;
    std::vector<entry> entries_{{"e1"}, {"e2"}, {"e3"}};
    absl::btree_map<std::uint64_t, sent_request> pending_requests_; ///< by request id
    absl::btree_map<std::string, job_record> jobs_;
    absl::btree_map<std::uint64_t, absl::Time> lease_end_; ///< by epoch
    absl::btree_map<std::uint64_t, absl::Time>
        fenced_at_; ///< time of the first reply that reports the fence
    std::size_t grants_ = 0;
    std::size_t takeovers_ = 0;
};

// Guards against failures under combined crashes, partitions, slow disks, message loss, duplication
// and reordering: two owners of a claim, a grant of a finished job, a fence before the end of a
// lease, two leaders, differing replicas, and clusters that do not recover.
TEST(random_faults, claims_leases_and_replicas_stay_consistent)
{
    std::size_t grants = 0;
    std::size_t takeovers = 0;
    for (std::uint64_t seed = 1; seed <= 12; ++seed)
    {
        SCOPED_TRACE(absl::StrCat("seed ", seed));
        std::cout << "seed " << seed << std::endl;
        random_run run(seed);
        run.run(2'000);
        grants += run.grants();
        takeovers += run.takeovers();
        if (HasFailure())
        {
            return;
        }
    }
    EXPECT_GT(grants, 1'000U) << "the runs must make progress";
    EXPECT_GT(takeovers, 20U);
}

} // namespace
} // namespace savoryreach::keeper
