#include "savoryreach/entry/demand_report_index.hpp"

namespace savoryreach::entry
{

void demand_report_index::update(agent_link& link)
{
    const bool is_usable =
        link.phase == link_phase::live && !link.is_draining && !link.is_superseded;
    const bool has_no_credit = is_usable && link.credit() == 0;
    const bool has_reported_demand = link.phase == link_phase::live && link.reported_demand > 0;
    const bool is_same = link.indexed_without_credit == has_no_credit &&
                         link.indexed_with_demand == has_reported_demand &&
                         link.indexed_demand == link.reported_demand;
    if (is_same)
    {
        return;
    }
    remove(link);
    link.indexed_demand = link.reported_demand;
    link.indexed_without_credit = has_no_credit;
    link.indexed_with_demand = has_reported_demand;
    const key position{link.indexed_demand, link.number, &link};
    if (has_no_credit)
    {
        without_credit_.insert(position);
    }
    if (has_reported_demand)
    {
        with_demand_.insert(position);
        if (!link.properties.kinds.empty())
        {
            with_demand_of_some_kinds_.insert(position);
        }
    }
}

void demand_report_index::remove(agent_link& link)
{
    const key position{link.indexed_demand, link.number, &link};
    without_credit_.erase(position);
    with_demand_.erase(position);
    with_demand_of_some_kinds_.erase(position);
    link.indexed_without_credit = false;
    link.indexed_with_demand = false;
}

std::vector<agent_link*> demand_report_index::candidates(std::size_t waiting) const
{
    std::vector<agent_link*> links;
    for (const auto& [known, number, link] : without_credit_)
    {
        if (!is_significant_increase(waiting, known))
        {
            break;
        }
        links.push_back(link);
    }
    for (const auto& [known, number, link] :
         waiting == 0 ? with_demand_ : with_demand_of_some_kinds_)
    {
        links.push_back(link);
    }
    return links;
}

void demand_report_index::clear()
{
    without_credit_.clear();
    with_demand_.clear();
    with_demand_of_some_kinds_.clear();
}

} // namespace savoryreach::entry
