#include "savoryreach/agent/run_counters.hpp"

namespace savoryreach::agent
{

void run_counters::count(const std::string& kind, const schema::task_result& result)
{
    auto& counter = kinds_[kind];
    counter.set_kind(kind);
    counter.set_run_us_total(counter.run_us_total() + result.run_us());
    if (result.outcome() == schema::task_succeeded)
    {
        counter.set_succeeded(counter.succeeded() + 1);
        ++succeeded_;
    }
    else
    {
        counter.set_failed(counter.failed() + 1);
        ++failed_;
    }
}

void run_counters::clear()
{
    *this = run_counters();
}

void run_counters::write(schema::agent_hello& hello) const
{
    for (const auto& [kind, counter] : kinds_)
    {
        *hello.add_counters() = counter;
    }
}

} // namespace savoryreach::agent
