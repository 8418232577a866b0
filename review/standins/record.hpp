#ifndef SAVORYREACH_REVIEW_STANDINS_RECORD_HPP
#define SAVORYREACH_REVIEW_STANDINS_RECORD_HPP

#include <json/json.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace savoryreach::review
{

inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline std::int64_t wall_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void pause_ms(std::int64_t length)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(length));
}

inline std::string to_text(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

inline Json::Value parse(const std::string& text)
{
    Json::Value out;
    std::string errors;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    if (!reader->parse(text.data(), text.data() + text.size(), &out, &errors) || !out.isObject())
    {
        return Json::objectValue;
    }
    return out;
}

/// What was sent, answered and run, with the time since the start, in a file.
class record
{
public:
    explicit record(const std::string& path) : file_(path) {}

    void add(const std::string& line)
    {
        const std::lock_guard guard(mutex_);
        const auto ms = now_ms() - started_ms_;
        file_ << ms << " ms  " << line << std::endl;
    }
    void began(const std::string& task, const std::string& endpoint)
    {
        const std::lock_guard guard(mutex_);
        started_.insert(task.substr(0, task.find('.')));
        running_[task].insert(endpoint);
        twice_ = twice_ || running_[task].size() > 1;
    }
    void ended(const std::string& task)
    {
        const std::lock_guard guard(mutex_);
        running_.erase(task);
    }
    /// True when a task of the job has started.
    [[nodiscard]] bool has_started(const std::string& job)
    {
        const std::lock_guard guard(mutex_);
        return started_.contains(job);
    }
    /// Number of tasks of the job that run now.
    [[nodiscard]] std::size_t running_tasks(const std::string& job)
    {
        const std::lock_guard guard(mutex_);
        std::size_t out = 0;
        for (const auto& [task, endpoints] : running_)
        {
            out += task.starts_with(job) ? 1 : 0;
        }
        return out;
    }
    /// True when two runs of one task were active at the same time.
    [[nodiscard]] bool ran_twice()
    {
        const std::lock_guard guard(mutex_);
        return twice_;
    }

private:
    std::mutex mutex_;
    std::int64_t started_ms_ = now_ms();
    std::ofstream file_;
    std::set<std::string> started_;
    std::map<std::string, std::multiset<std::string>> running_;
    bool twice_ = false;
};

} // namespace savoryreach::review

#endif
