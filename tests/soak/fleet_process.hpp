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
        pid_ = processes::spawn({"/usr/bin/env", "LD_PRELOAD=" SAVORYREACH_FULL_DISK,
                                 "SAVORYREACH_SOAK_FULL_DISK=" + full_disk_mark(),
                                 std::string(SAVORYREACH_DAEMONS) + "/savoryreach-fleet", role_,
                                 "--settings=" + file},
                                (folder_ / (name_ + ".log")).string());
    }
    /// From now on the disk of this process refuses all changes.
    void fill_disk() const { std::ofstream(full_disk_mark()).flush(); }
    void free_disk() const { std::filesystem::remove(full_disk_mark()); }
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
    /// The disk is full while this file exists; see full_disk.cpp.
    [[nodiscard]] std::string full_disk_mark() const
    {
        return settings_["dataDir"].asString() + ".full";
    }

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
