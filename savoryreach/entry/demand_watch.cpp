#include "savoryreach/entry/demand_watch.hpp"

namespace savoryreach::entry
{

void demand_watch::update(agent_link& link)
{
    const bool is_usable =
        link.phase == link_phase::live && !link.is_draining && !link.is_superseded;
    const bool is_starved = is_usable && link.credit() == 0;
    const bool is_told = link.phase == link_phase::live && link.reported_demand > 0;
    const bool is_same = link.watched_as_starved == is_starved && link.watched_as_told == is_told &&
                         link.watched_demand == link.reported_demand;
    if (is_same)
    {
        return;
    }
    remove(link);
    link.watched_demand = link.reported_demand;
    link.watched_as_starved = is_starved;
    link.watched_as_told = is_told;
    const key entry{link.watched_demand, link.number, &link};
    if (is_starved)
    {
        starved_.insert(entry);
    }
    if (is_told)
    {
        told_.insert(entry);
        if (!link.facts.kinds.empty())
        {
            told_of_some_.insert(entry);
        }
    }
}

void demand_watch::remove(agent_link& link)
{
    const key entry{link.watched_demand, link.number, &link};
    starved_.erase(entry);
    told_.erase(entry);
    told_of_some_.erase(entry);
    link.watched_as_starved = false;
    link.watched_as_told = false;
}

std::vector<agent_link*> demand_watch::candidates(std::size_t waiting) const
{
    std::vector<agent_link*> links;
    for (const auto& [known, number, link] : starved_)
    {
        if (!is_far_above(waiting, known))
        {
            break;
        }
        links.push_back(link);
    }
    for (const auto& [known, number, link] : waiting == 0 ? told_ : told_of_some_)
    {
        links.push_back(link);
    }
    return links;
}

void demand_watch::clear()
{
    starved_.clear();
    told_.clear();
    told_of_some_.clear();
}

} // namespace savoryreach::entry
