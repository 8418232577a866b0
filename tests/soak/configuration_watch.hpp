#ifndef SAVORYREACH_TESTS_SOAK_CONFIGURATION_WATCH_HPP
#define SAVORYREACH_TESTS_SOAK_CONFIGURATION_WATCH_HPP

#include "tests/soak/load.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace savoryreach::soak
{

/// What operators and callers see of the configuration; collects what must never happen.
class configuration_watch
{
public:
    /// An acknowledged configuration is in force after this time.
    static constexpr milliseconds apply_bound = milliseconds(2000);

    /// \p body may be in force from now on. \p prefixes are those of its queues.
    void sent(std::int64_t version, const std::string& body, std::set<std::string> prefixes)
    {
        const std::lock_guard guard(mutex_);
        sent_[version][body] = std::move(prefixes);
    }
    void acknowledged(std::int64_t version)
    {
        const std::lock_guard guard(mutex_);
        acknowledged_.emplace_back(clock::now(), version);
    }
    [[nodiscard]] std::int64_t newest_acknowledged()
    {
        const std::lock_guard guard(mutex_);
        return newest_acknowledged_before(clock::time_point::max());
    }

    /// A front has answered a read that was sent at \p asked_at.
    void read(const std::string& front, clock::time_point asked_at, std::int64_t version,
              const std::string& body)
    {
        const std::lock_guard guard(mutex_);
        ++reads_;
        const auto needed = newest_acknowledged_before(asked_at - apply_bound);
        if (version < needed)
        {
            add(front + " reads version " + std::to_string(version) + ", acknowledged was " +
                std::to_string(needed));
        }
        const auto it = sent_.find(version);
        if (it == sent_.end() || !it->second.contains(body))
        {
            add(front + " reads a content that was not sent as version " + std::to_string(version));
        }
    }
    /// A front has said whether there is a queue at \p prefix, asked at \p asked_at.
    void looked_up(const std::string& front, clock::time_point asked_at, const std::string& prefix,
                   bool found)
    {
        const std::lock_guard guard(mutex_);
        ++lookups_;
        const auto needed = newest_acknowledged_before(asked_at - apply_bound);
        for (auto it = sent_.lower_bound(needed); it != sent_.end(); ++it)
        {
            for (const auto& [body, prefixes] : it->second)
            {
                if (prefixes.contains(prefix) == found)
                {
                    return;
                }
            }
        }
        add(front + (found ? " serves the removed queue " : " does not know the queue ") + prefix +
            ", acknowledged was version " + std::to_string(needed));
    }
    void violation(const std::string& what)
    {
        const std::lock_guard guard(mutex_);
        add(what);
    }

    [[nodiscard]] std::vector<std::string> violations()
    {
        const std::lock_guard guard(mutex_);
        return violations_;
    }
    [[nodiscard]] std::string summary()
    {
        const std::lock_guard guard(mutex_);
        return std::to_string(acknowledged_.size()) + " of " + std::to_string(sent_.size()) +
               " configurations acknowledged, " + std::to_string(reads_) + " read, " +
               std::to_string(lookups_) + " look-ups";
    }

private:
    [[nodiscard]] std::int64_t newest_acknowledged_before(clock::time_point when) const
    {
        std::int64_t out = 0;
        for (const auto& [at, version] : acknowledged_)
        {
            out = at <= when ? std::max(out, version) : out;
        }
        return out;
    }
    void add(const std::string& what)
    {
        constexpr std::size_t enough = 20;
        // A member that never starts again must not hide what else is broken.
        if (violations_.size() < enough &&
            std::ranges::find(violations_, what) == violations_.end())
        {
            violations_.push_back(what);
        }
    }

    std::mutex mutex_;
    /// By version; two operators may send different ones under the same number.
    std::map<std::int64_t, std::map<std::string, std::set<std::string>>> sent_;
    std::vector<std::pair<clock::time_point, std::int64_t>> acknowledged_;
    std::vector<std::string> violations_;
    std::size_t reads_ = 0;
    std::size_t lookups_ = 0;
};

} // namespace savoryreach::soak

#endif
