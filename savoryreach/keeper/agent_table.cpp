#include "savoryreach/keeper/agent_table.hpp"

#include "savoryreach/base/digest.hpp"
#include "savoryreach/keeper/keeper_times.hpp"

#include <algorithm>

namespace savoryreach::keeper
{

std::uint64_t agent_table::register_agent(const schema::register_agent& agent, std::uint64_t index,
                                          std::int64_t now_ms)
{
    auto& records = records_[agent.name()];
    for (const auto& record : records)
    {
        if (record.process_nonce() == agent.process_nonce())
        {
            return record.incarnation();
        }
    }
    for (auto& record : records)
    {
        if (record.ended_at_ms() == 0)
        {
            record.set_ended_at_ms(now_ms);
            --registered_count_;
        }
    }
    auto& record = records.emplace_back();
    record.set_name(agent.name());
    record.set_incarnation(index);
    record.set_process_nonce(agent.process_nonce());
    record.set_registered_at_ms(now_ms);
    ++registered_count_;
    return index;
}

bool agent_table::end_incarnation(const std::string& name, std::uint64_t incarnation,
                                  std::int64_t now_ms)
{
    const auto it = records_.find(name);
    if (it == records_.end())
    {
        return false;
    }
    for (auto& record : it->second)
    {
        if (record.incarnation() == incarnation && record.ended_at_ms() == 0)
        {
            record.set_ended_at_ms(now_ms);
            --registered_count_;
            return true;
        }
    }
    return false;
}

bool agent_table::is_registered(const std::string& name, std::uint64_t incarnation) const
{
    const auto it = records_.find(name);
    return it != records_.end() &&
           std::ranges::any_of(
               it->second, [=](const schema::agent_record& record)
               { return record.incarnation() == incarnation && record.ended_at_ms() == 0; });
}

std::vector<std::pair<std::string, std::uint64_t>> agent_table::registered() const
{
    std::vector<std::pair<std::string, std::uint64_t>> agents;
    for (const auto& [name, records] : records_)
    {
        for (const auto& record : records)
        {
            if (record.ended_at_ms() == 0)
            {
                agents.emplace_back(name, record.incarnation());
            }
        }
    }
    return agents;
}

std::vector<std::pair<std::string, std::uint64_t>>
agent_table::registered_between(std::int64_t from_ms, std::int64_t to_ms) const
{
    std::vector<std::pair<std::string, std::uint64_t>> agents;
    for (const auto& [name, records] : records_)
    {
        for (const auto& record : records)
        {
            const bool ended_before = record.ended_at_ms() != 0 && record.ended_at_ms() < from_ms;
            if (record.registered_at_ms() <= to_ms && !ended_before)
            {
                agents.emplace_back(name, record.incarnation());
            }
        }
    }
    return agents;
}

void agent_table::prune(std::int64_t now_ms, std::int64_t retention_ms, const epoch_table& epochs)
{
    const auto keep_ms = std::max(retention_ms, max_time_budget_ms);
    for (auto it = records_.begin(); it != records_.end();)
    {
        std::erase_if(it->second,
                      [&](const schema::agent_record& record)
                      {
                          const auto ended = record.ended_at_ms();
                          return ended != 0 && ended + keep_ms < now_ms &&
                                 !epochs.any_ended_between(record.registered_at_ms(),
                                                           ended + max_time_budget_ms);
                      });
        it = it->second.empty() ? records_.erase(it) : std::next(it);
    }
}

void agent_table::save(schema::ledger_snapshot& snapshot) const
{
    for (const auto& [name, records] : records_)
    {
        for (const auto& record : records)
        {
            *snapshot.add_agents() = record;
        }
    }
}

void agent_table::load(const schema::ledger_snapshot& snapshot)
{
    records_.clear();
    registered_count_ = 0;
    for (const auto& record : snapshot.agents())
    {
        records_[record.name()].push_back(record);
        registered_count_ += record.ended_at_ms() == 0 ? 1 : 0;
    }
}

std::uint64_t agent_table::hash() const
{
    std::uint64_t hash = records_.size();
    for (const auto& [name, records] : records_)
    {
        for (const auto& record : records)
        {
            hash = base::stable_hash(record.SerializeAsString(), hash);
        }
    }
    return hash;
}

} // namespace savoryreach::keeper
