#include "tests/simulation/randomised_run.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <ostream>

namespace savoryreach::simulation
{
namespace
{

constexpr absl::Duration min_faulty_time = absl::Seconds(20);
constexpr absl::Duration max_faulty_time = absl::Seconds(120);
/// Longest time budget (20 s), entry lease, fence wait, inquiry deadline and refusals with retries.
constexpr absl::Duration answer_bound = absl::Seconds(60);
/// Registration, leases and sessions are renewed within this time after a fault.
constexpr absl::Duration recovery_time = absl::Seconds(25);
constexpr absl::Duration config_bound = absl::Seconds(4);

} // namespace

randomised_run::randomised_run(std::uint64_t seed, breakage broken)
    : cluster_(seed, broken), callers_(cluster_), operators_(cluster_), faults_(cluster_, callers_),
      began_(cluster_.clock().now())
{
}

void randomised_run::run_for(absl::Duration time)
{
    const auto end = cluster_.clock().now() + time;
    while (cluster_.clock().now() < end)
    {
        cluster_.step();
    }
}

void randomised_run::run(std::uint64_t events)
{
    run_for(absl::Seconds(3));
    while (journal().events() < events)
    {
        faulty_time(events);
        healthy_time();
    }
}

void randomised_run::faulty_time(std::uint64_t events)
{
    const auto time =
        min_faulty_time + (max_faulty_time - min_faulty_time) * cluster_.random().unit();
    const auto end = cluster_.clock().now() + time;
    callers_.set_submitting(true);
    operators_.set_applying(true);
    faults_.start();
    while (cluster_.clock().now() < end && journal().events() < events)
    {
        cluster_.step();
    }
    callers_.set_submitting(false);
    operators_.set_applying(false);
}

void randomised_run::healthy_time()
{
    faults_.heal();
    const auto recovered = cluster_.clock().now() + recovery_time;
    await_answers();
    run_for(recovered - cluster_.clock().now());
    check_configuration();
}

void randomised_run::await_answers()
{
    const auto end = cluster_.clock().now() + answer_bound;
    while (!callers_.unanswered().empty())
    {
        if (cluster_.clock().now() >= end)
        {
            journal().fail("liveness", absl::StrCat("no answer for ",
                                                    absl::StrJoin(callers_.unanswered(), " ")));
        }
        run_for(absl::Milliseconds(50));
    }
}

void randomised_run::check_configuration()
{
    const auto lagging = cluster_.lagging(0);
    if (!lagging.empty())
    {
        journal().fail("liveness", absl::StrCat(lagging, " is not ready"));
    }
    const auto before = operators_.last_revision();
    const auto end = cluster_.clock().now() + recovery_time;
    // A declaration may be refused because its version is known already.
    while (operators_.last_revision() == before)
    {
        if (cluster_.clock().now() >= end)
        {
            journal().fail("liveness", "no declaration is accepted");
        }
        operators_.apply_now();
        run_for(absl::Milliseconds(100));
    }
    const auto revision = operators_.last_revision();
    run_for(config_bound);
    const auto behind = cluster_.lagging(revision);
    if (!behind.empty())
    {
        journal().fail("config_delay", absl::StrCat(behind, " does not have revision ", revision));
    }
}

void randomised_run::report(std::ostream& out)
{
    out << "events=" << journal().events()
        << " virtual_s=" << absl::ToInt64Seconds(cluster_.clock().now() - began_)
        << " submissions=" << callers_.submissions() << " starts=" << cluster_.checker().starts()
        << " declarations_accepted=" << operators_.accepted()
        << " declarations_refused=" << operators_.refused() << "\n  faults:";
    for (const auto& [sort, count] : faults_.faults())
    {
        out << ' ' << sort << '=' << count;
    }
    out << "\n  answers:";
    for (const auto& [kind, count] : cluster_.checker().answers())
    {
        out << ' ' << kind << '=' << count;
    }
    out << "\n  state_hash=" << std::hex << hash() << std::dec << '\n';
}

} // namespace savoryreach::simulation
