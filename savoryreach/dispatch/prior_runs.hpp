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
/// a change of the dispatcher, when fronts and clients repeat their requests and some hosts are cut
/// off: tells whether all active runs are known, so that tasks can start, and which jobs have never
/// run, so that they can be refused. No I/O.
class prior_runs
{
public:
    using host_set = absl::btree_set<std::string>;

    /// Begins a term at \p now, with the \p hosts on which an earlier dispatcher may have started
    /// tasks.
    void begin(absl::Time now, host_set hosts);
    /// The agent of \p host has listed its runs; the jobs that it has started since \p
    /// recorded_since were added before. Only the first list of a host matters.
    void on_list(const std::string& host, absl::Time recorded_since);
    /// All leases of \p host have expired.
    void on_gone(const std::string& host);
    /// A task of \p job was started in an earlier term.
    void add(std::uint64_t job) { jobs_.insert(job); }

    /// True once every host has listed its runs or is gone: all active runs are known.
    [[nodiscard]] bool are_listed() const { return unlisted_.empty(); }
    [[nodiscard]] const host_set& unlisted() const { return unlisted_; }
    /// True if a run of \p job was reported.
    [[nodiscard]] bool contains(std::uint64_t job) const { return jobs_.contains(job); }
    /// True if no task of \p job was started before this term. \p read_at is when its front read
    /// the request, or earlier. False as long as a host has not listed its runs, and if a host is
    /// gone or its record does not reach back to that time.
    [[nodiscard]] bool has_never_run(std::uint64_t job, absl::Time read_at) const;
    /// The earliest time at which a front can have read a request that it forwarded in this term,
    /// \p age after it had read it. The time of its arrival is no bound: the message may have been
    /// delayed.
    [[nodiscard]] absl::Time earliest_read_at(absl::Duration age) const { return began_at_ - age; }

    /// A host leaves the replicated log this long after its last start at the earliest. Jobs that
    /// were read since have not run on a host that left before the term.
    static constexpr absl::Duration min_departure_time = absl::Milliseconds(1700);

private:
    absl::Time began_at_;
    absl::Time recorded_since_ =
        absl::InfinitePast();                 ///< the records of all hosts reach back to it
    host_set unlisted_;                       ///< may have unlisted runs of an earlier term
    absl::flat_hash_set<std::uint64_t> jobs_; ///< with reported runs
};

} // namespace savoryreach::dispatch

#endif
