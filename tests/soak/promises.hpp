#ifndef SAVORYREACH_TESTS_SOAK_PROMISES_HPP
#define SAVORYREACH_TESTS_SOAK_PROMISES_HPP

#include <cstddef>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace savoryreach::soak
{

inline std::string job_of(const std::string& task)
{
    return task.substr(0, task.find('.'));
}

/// What callers and endpoints see together; collects what must never happen.
class watch
{
public:
    void began(const std::string& task, const std::string& host)
    {
        const std::lock_guard guard(mutex_);
        started_.insert(job_of(task));
        if (const auto [it, fresh] = running_.try_emplace(task, host); !fresh)
        {
            violations_.push_back("task " + task + " runs on " + it->second + " and " + host);
        }
        if (refused_.contains(job_of(task)))
        {
            violations_.push_back("task " + task + " starts, its job was refused as not run");
        }
    }
    void ended(const std::string& task, bool done)
    {
        const std::lock_guard guard(mutex_);
        running_.erase(task);
        if (done)
        {
            done_.insert(task);
        }
    }
    void refused(const std::string& job)
    {
        const std::lock_guard guard(mutex_);
        refused_.insert(job);
        if (started_.contains(job))
        {
            violations_.push_back("job " + job + " was refused as not run, and has run");
        }
    }
    void completed(const std::string& job, int tasks)
    {
        const std::lock_guard guard(mutex_);
        ++completed_;
        for (int n = 0; n < tasks; ++n)
        {
            if (!done_.contains(job + ".0.0." + std::to_string(n)))
            {
                violations_.push_back("job " + job + " is completed without task " +
                                      std::to_string(n));
            }
        }
    }
    void violation(const std::string& what)
    {
        const std::lock_guard guard(mutex_);
        violations_.push_back(what);
    }
    [[nodiscard]] std::vector<std::string> violations()
    {
        const std::lock_guard guard(mutex_);
        return violations_;
    }
    [[nodiscard]] std::size_t completed_jobs()
    {
        const std::lock_guard guard(mutex_);
        return completed_;
    }

private:
    std::mutex mutex_;
    std::map<std::string, std::string> running_; ///< task to host
    std::set<std::string> started_;
    std::set<std::string> refused_;
    std::set<std::string> done_;
    std::size_t completed_ = 0;
    std::vector<std::string> violations_;
};

} // namespace savoryreach::soak

#endif
