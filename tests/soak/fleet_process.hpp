#ifndef SAVORYREACH_TESTS_SOAK_FLEET_PROCESS_HPP
#define SAVORYREACH_TESTS_SOAK_FLEET_PROCESS_HPP

#include "savoryreach/base/json_line.hpp"
#include "tests/processes/child_process.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <sys/wait.h>
#include <utility>

namespace savoryreach::soak
{

/// A process of the product, ended and started by this test only.
class process
{
public:
    process(std::string name, std::string role, std::filesystem::path folder, Json::Value settings)
        : name_(std::move(name)), role_(std::move(role)), folder_(std::move(folder)),
          settings_(std::move(settings))
    {
    }
    ~process() { kill(); }
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void start(bool is_first)
    {
        settings_["bootstrap"] = is_first;
        const auto file = (folder_ / (name_ + ".json")).string();
        std::ofstream(file) << base::json_line(settings_);
        pid_ = processes::spawn(
            {"/usr/bin/env", std::string("LD_PRELOAD=") + SAVORYREACH_DISK_FAULTS,
             "SAVORYREACH_SOAK_DISK=" + disk(),
             std::string(SAVORYREACH_DAEMONS) + "/savoryreach-fleet", role_, "--settings=" + file},
            (folder_ / (name_ + ".log")).string());
    }
    /// From now on the disk of this process refuses all changes.
    void fill_disk() const { std::ofstream(disk() + ".full").flush(); }
    void free_disk() const { std::filesystem::remove(disk() + ".full"); }
    /// From now on each sync of the disk takes this time.
    void slow_disk(int sync_ms) const { std::ofstream(disk() + ".slow") << sync_ms; }
    void signal(int number) const
    {
        if (pid_ > 0)
        {
            ::kill(pid_, number);
        }
    }
    void kill()
    {
        signal(SIGKILL);
        wait();
    }

private:
    /// See disk_faults.cpp.
    [[nodiscard]] std::string disk() const { return settings_["dataDir"].asString(); }

    void wait()
    {
        if (pid_ > 0)
        {
            ::waitpid(pid_, nullptr, 0);
        }
        pid_ = -1;
    }

    std::string name_;
    std::string role_;
    std::filesystem::path folder_;
    Json::Value settings_;
    pid_t pid_ = -1;
};

} // namespace savoryreach::soak

#endif
