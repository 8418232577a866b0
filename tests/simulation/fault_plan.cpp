#include "tests/simulation/fault_plan.hpp"

#include <absl/strings/str_cat.h>

#include <array>

namespace savoryreach::simulation
{
namespace
{

constexpr absl::Duration max_pause = absl::Seconds(3);
constexpr absl::Duration longest_isolation = absl::Minutes(1);
constexpr absl::Duration drain_check = absl::Milliseconds(100);

} // namespace

fault_plan::fault_plan(simulated_cluster& cluster, simulated_callers& callers)
    : cluster_(cluster), callers_(callers)
{
}

void fault_plan::start()
{
    is_active_ = true;
    ++phase_;
    schedule();
}

void fault_plan::schedule()
{
    later(max_pause * cluster_.random().unit(),
          [this]
          {
              inject();
              // Often a second fault at the same moment.
              if (cluster_.random().below(4) == 0)
              {
                  inject();
              }
              schedule();
          });
}

void fault_plan::later(absl::Duration delay, std::function<void()> undo)
{
    cluster_.timers().after(delay,
                            [this, phase = phase_, undo = std::move(undo)]
                            {
                                if (phase == phase_ && is_active_)
                                {
                                    undo();
                                }
                            });
}

void fault_plan::note(std::string_view sort, const std::string& what)
{
    ++faults_[std::string(sort)];
    cluster_.journal().note(absl::StrCat("fault ", std::string(sort), " ", what));
}

absl::Duration fault_plan::draw_duration()
{
    // Mostly shorter than a lease, sometimes far longer.
    auto& random = cluster_.random();
    const std::array longest{absl::Seconds(1), absl::Seconds(5), absl::Seconds(5),
                             absl::Seconds(15), longest_isolation};
    return longest[random.below(longest.size())] * random.unit();
}

const std::string& fault_plan::draw(const std::vector<std::string>& from)
{
    return from[cluster_.random().below(from.size())];
}

void fault_plan::inject()
{
    switch (cluster_.random().below(18))
    {
    case 0:
    case 1:
        return disturb_network();
    case 2:
    case 3:
        return cut_link();
    case 4:
        return partition();
    case 5:
        return isolate_leader();
    case 6:
        return isolate(draw(cluster_.entries()));
    case 7:
        return isolate(draw(cluster_.agents()));
    case 8:
        return kill(draw(cluster_.keepers()));
    case 9:
    case 10:
        return kill(draw(cluster_.entries()));
    case 11:
    case 12:
        return kill(draw(cluster_.agents()));
    case 13:
        return drain(
            draw(cluster_.random().below(3) == 0 ? cluster_.entries() : cluster_.agents()));
    case 14:
        return fail_sync();
    case 15:
        return slow_disk();
    case 16:
        return fail_endpoint();
    default:
        return kill_all_keepers();
    }
}

void fault_plan::disturb_network()
{
    auto& random = cluster_.random();
    auto& faults = cluster_.network().faults();
    faults = {};
    faults.loss = random.below(2) * 0.2 * random.unit();
    faults.duplication = random.below(2) * 0.2 * random.unit();
    faults.long_delay = random.below(2) * 0.1 * random.unit();
    faults.max_long_delay = absl::Milliseconds(100 + random.below(2'000));
    faults.max_delay = absl::Milliseconds(1 + random.below(10));
    note("network", absl::StrCat("loss=", faults.loss, " duplication=", faults.duplication,
                                 " long_delay=", faults.long_delay));
    later(draw_duration(), [this] { cluster_.network().faults() = {}; });
}

void fault_plan::cut_link()
{
    const auto nodes = cluster_.processes();
    const base::node_name from(draw(nodes));
    const base::node_name to(draw(nodes));
    const bool is_both_ways = cluster_.random().below(2) == 0;
    note("cut", absl::StrCat("from=", from.value(), " to=", to.value(), " both=", is_both_ways));
    cluster_.network().cut(from, to);
    if (is_both_ways)
    {
        cluster_.network().cut(to, from);
    }
    later(draw_duration(),
          [this, from, to]
          {
              cluster_.network().mend(from, to);
              cluster_.network().mend(to, from);
          });
}

void fault_plan::partition()
{
    std::vector<std::string> here;
    std::vector<std::string> there;
    for (const auto& node : cluster_.processes())
    {
        (cluster_.random().below(2) == 0 ? here : there).push_back(node);
    }
    const auto each = [here, there](const auto& act)
    {
        for (const auto& one : here)
        {
            for (const auto& other : there)
            {
                act(base::node_name(one), base::node_name(other));
                act(base::node_name(other), base::node_name(one));
            }
        }
    };
    std::string members;
    for (const auto& node : here)
    {
        absl::StrAppend(&members, node, " ");
    }
    note("partition", members);
    each([this](const auto& from, const auto& to) { cluster_.network().cut(from, to); });
    later(draw_duration(),
          [this, each] {
              each([this](const auto& from, const auto& to) { cluster_.network().mend(from, to); });
          });
}

void fault_plan::isolate(const std::string& node)
{
    note("isolation", node);
    cluster_.network().isolate(base::node_name(node));
    later(draw_duration(), [this, node] { cluster_.network().rejoin(base::node_name(node)); });
}

void fault_plan::isolate_leader()
{
    const auto leader = cluster_.leader();
    if (leader.empty())
    {
        return;
    }
    if (cluster_.broken() == breakage::stopped_clock)
    {
        cluster_.stop_clock(leader);
    }
    isolate(leader);
}

void fault_plan::restart(const std::string& node)
{
    if (node.front() == 'k')
    {
        cluster_.disk(node).repair();
    }
    cluster_.start(node);
}

void fault_plan::kill(const std::string& node)
{
    if (!cluster_.is_alive(node))
    {
        return;
    }
    note("kill", node);
    cluster_.kill(node);
    if (node.front() == 'e')
    {
        callers_.entry_lost(node);
    }
    later(absl::Milliseconds(100) + draw_duration(), [this, node] { restart(node); });
}

void fault_plan::kill_all_keepers()
{
    for (const auto& node : cluster_.keepers())
    {
        kill(node);
    }
}

void fault_plan::drain(const std::string& node)
{
    if (!cluster_.is_alive(node) || cluster_.is_draining(node))
    {
        return;
    }
    note("drain", node);
    cluster_.drain(node);
    await_drain(node);
}

void fault_plan::await_drain(const std::string& node)
{
    later(drain_check,
          [this, node]
          {
              if (cluster_.is_drained(node))
              {
                  kill(node);
              }
              else if (cluster_.is_alive(node) && cluster_.is_draining(node))
              {
                  await_drain(node);
              }
          });
}

void fault_plan::fail_sync()
{
    const auto node = draw(cluster_.keepers());
    note("failed_sync", node);
    cluster_.disk(node).fail_syncs();
    later(draw_duration(),
          [this, node]
          {
              cluster_.kill(node);
              restart(node);
          });
}

void fault_plan::slow_disk()
{
    const auto node = draw(cluster_.keepers());
    note("slow_disk", node);
    cluster_.disk(node).set_sync_delay(absl::Milliseconds(10 + cluster_.random().below(400)));
    later(draw_duration(),
          [this, node] { cluster_.disk(node).set_sync_delay(absl::Milliseconds(3)); });
}

void fault_plan::fail_endpoint()
{
    const auto node = draw(cluster_.agents());
    note("failing_endpoint", node);
    cluster_.set_failing(node, true);
    later(draw_duration(), [this, node] { cluster_.set_failing(node, false); });
}

void fault_plan::heal()
{
    is_active_ = false;
    ++phase_;
    cluster_.journal().note("all faults end");
    cluster_.network().mend_all();
    cluster_.network().faults() = {};
    for (const auto& node : cluster_.keepers())
    {
        if (cluster_.disk(node).has_failed())
        {
            cluster_.kill(node);
        }
        cluster_.disk(node).repair();
        if (cluster_.broken() != breakage::early_ack)
        {
            cluster_.disk(node).set_sync_delay(absl::Milliseconds(3));
        }
    }
    for (const auto& node : cluster_.processes())
    {
        cluster_.set_failing(node, false);
        if (cluster_.is_draining(node))
        {
            cluster_.kill(node);
            if (node.front() == 'e')
            {
                callers_.entry_lost(node);
            }
        }
        cluster_.start(node);
    }
}

} // namespace savoryreach::simulation
