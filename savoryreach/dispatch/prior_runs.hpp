#ifndef SAVORYREACH_DISPATCH_PRIOR_RUNS_HPP
#define SAVORYREACH_DISPATCH_PRIOR_RUNS_HPP

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace savoryreach::dispatch
{

/// What a new dispatcher knows of the runs that earlier dispatchers ordered. Answers the load after
/// a change of the dispatcher, when fronts repeat all of their requests and some hosts are cut off:
/// tells which jobs have never run, so that they can be refused or started like new ones, and until
/// when the others must wait. No I/O.
class prior_runs
{
public:
    using host_set = absl::btree_set<std::string>;

    /// Begins a term at \p now, with the \p hosts on which an earlier dispatcher may have started
    /// tasks. The link to that dispatcher was lost at \p predecessor_lost_at.
    void begin(absl::Time now, host_set hosts,
               absl::Time predecessor_lost_at = absl::InfinitePast());
    /// The agent of \p host has listed its runs; the jobs that it has started since \p
    /// recorded_since were added before. Only the first list of a host matters.
    void on_list(const std::string& host, absl::Time recorded_since);
    /// All leases of \p host have expired.
    void on_gone(const std::string& host);
    /// A task of \p job was started in an earlier term.
    void add(std::uint64_t job) { jobs_.insert(job); }

    /// True once every host has listed its runs or is gone: all active runs are known.
    [[nodiscard]] bool are_listed() const { return unlisted_.empty(); }
    [[nodiscard]] std::size_t unlisted_count() const { return unlisted_.size(); }
    /// True if a run of \p job was reported.
    [[nodiscard]] bool contains(std::uint64_t job) const { return jobs_.contains(job); }
    /// True if no task of \p job was started before this term. \p read_at is when its front read
    /// the request, or earlier. False as long as a host has not listed its runs, and if a host is
    /// gone or its record does not reach back to that time.
    [[nodiscard]] bool has_never_run(std::uint64_t job, absl::Time read_at) const;
    /// True while a job that arrives as new may have been sent before, to a front that was lost
    /// with the former dispatcher, and may still run on an absent host. Clients repeat a request
    /// without an answer after 1.3 s; the leases of absent hosts are over 0.5 s later.
    [[nodiscard]] bool may_be_repeated(absl::Time now) const
    {
        return !are_listed() && now >= predecessor_lost_at_ + first_repetition &&
               now < predecessor_lost_at_ + last_lease_end;
    }
    /// The earliest time at which a front can have read a request that it forwarded in this term,
    /// \p age after it had read it. The time of its arrival is no bound: the message may have been
    /// delayed.
    [[nodiscard]] absl::Time earliest_read_at(absl::Duration age) const { return began_at_ - age; }

    /// A host leaves the replicated log this long after its last start at the earliest. Jobs that
    /// were read since have not run on a host that left before the term.
    static constexpr absl::Duration min_departure_time = absl::Milliseconds(1700);
    /// After the loss of the former dispatcher: the first request that a client repeats because of
    /// it, and the end of the last lease that it let renew, each with a margin.
    static constexpr absl::Duration first_repetition = absl::Milliseconds(1200);
    static constexpr absl::Duration last_lease_end = absl::Milliseconds(1800);

private:
    absl::Time began_at_;
    absl::Time predecessor_lost_at_ = absl::InfinitePast();
    absl::Time recorded_since_ =
        absl::InfinitePast();                 ///< the records of all hosts reach back to it
    host_set unlisted_;                       ///< may have unlisted runs of an earlier term
    absl::flat_hash_set<std::uint64_t> jobs_; ///< with reported runs
};

} // namespace savoryreach::dispatch

#endif
