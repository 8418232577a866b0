#ifndef SAVORYREACH_TESTS_SOAK_FLEET_PROCESS_HPP
#define SAVORYREACH_TESTS_SOAK_FLEET_PROCESS_HPP

#include "savoryreach/base/json_line.hpp"
#include "tests/processes/child_process.hpp"
#include "tests/soak/power_loss.hpp"
#include "tests/soak/process_faults.hpp"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <sys/mman.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace savoryreach::soak
{

/// A process of the product, ended and started by this test only.
class process
{
public:
    process(std::string name, std::string role, std::filesystem::path folder, Json::Value settings)
        : name_(std::move(name)), role_(std::move(role)), folder_(std::move(folder)),
          settings_(std::move(settings)), faults_(map_faults())
    {
        if (!disk().empty())
        {
            power_loss::watch(disk());
        }
    }
    ~process()
    {
        kill();
        ::munmap(faults_, sizeof(process_faults));
    }
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void start(bool is_first)
    {
        settings_["bootstrap"] = is_first;
        write_settings();
        pid_ = processes::spawn({"/usr/bin/env",
                                 std::string("LD_PRELOAD=") + SAVORYREACH_DISK_FAULTS + ":" +
                                     SAVORYREACH_NETWORK_FAULTS,
                                 "SAVORYREACH_SOAK_DISK=" + disk(),
                                 std::string(faults_variable) + "=" + faults_file(), program(),
                                 role_, "--settings=" + settings_file()},
                                log_file());
        apply_limits();
    }
    void limit_descriptors(rlim_t count)
    {
        max_descriptors_ = count;
        apply_limits();
    }
    void set_seeds(const Json::Value& seeds)
    {
        settings_["seeds"] = seeds;
        write_settings();
    }

    /// From now on the disk of this process refuses all changes.
    void fill_disk() const { std::ofstream(disk() + ".full").flush(); }
    void free_disk() const { std::filesystem::remove(disk() + ".full"); }
    /// From now on each sync of the disk takes this time.
    void slow_disk(int sync_ms) const { std::ofstream(disk() + ".slow") << sync_ms; }
    /// From now on the disk of this process answers nothing.
    void stall_disk() const { std::ofstream(disk() + ".stalled").flush(); }
    void resume_disk() const { std::filesystem::remove(disk() + ".stalled"); }
    [[nodiscard]] process_faults& faults() { return *faults_; }

    void signal(int number) const
    {
        if (pid_ > 0)
        {
            ::kill(pid_, number);
        }
    }
    /// True once the program holds SIGHUP back or handles it. Before its first instruction, while
    /// the system loads it, a signal ends any program.
    [[nodiscard]] bool takes_hangup() const
    {
        std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
        for (std::string line; std::getline(status, line);)
        {
            if (line.starts_with("SigBlk:") || line.starts_with("SigCgt:"))
            {
                constexpr int base = 16;
                const auto mask = std::stoull(line.substr(line.find('\t') + 1), nullptr, base);
                if ((mask >> (SIGHUP - 1) & 1U) != 0)
                {
                    return true;
                }
            }
        }
        return false;
    }
    void kill()
    {
        signal(SIGKILL);
        wait();
    }
    /// Ends the process and leaves of its disk what a loss of power leaves.
    void lose_power(std::uint64_t seed)
    {
        kill();
        if (!disk().empty())
        {
            power_loss(disk(), seed).strike();
        }
    }
    /// Ends the process; its disk comes back empty.
    void lose_disk()
    {
        kill();
        std::filesystem::remove_all(disk());
        power_loss::watch(disk());
    }

    /// The status with which the process has ended by itself, if it has.
    [[nodiscard]] std::optional<int> ended()
    {
        int status = 0;
        if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_)
        {
            return std::nullopt;
        }
        pid_ = -1;
        return status;
    }
    [[nodiscard]] bool is_running() const { return pid_ > 0; }
    /// Largest memory that the process has had so far, in KiB; 0 when it has ended.
    [[nodiscard]] std::uint64_t peak_memory_kib() const
    {
        std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
        for (std::string line; std::getline(status, line);)
        {
            if (line.starts_with("VmHWM:"))
            {
                return std::stoull(line.substr(line.find('\t')));
            }
        }
        return 0;
    }
    [[nodiscard]] std::size_t open_descriptors() const
    {
        std::error_code ec;
        const std::filesystem::directory_iterator all("/proc/" + std::to_string(pid_) + "/fd", ec);
        return ec ? 0 : static_cast<std::size_t>(std::distance(begin(all), end(all)));
    }
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] std::string ip() const { return settings_["ip"].asString(); }
    [[nodiscard]] bool has_disk() const { return !disk().empty(); }
    [[nodiscard]] std::string log_file() const { return (folder_ / (name_ + ".log")).string(); }

private:
    /// The program of another build if SAVORYREACH_SOAK_PROGRAM names one.
    static std::string program()
    {
        const char* other = std::getenv("SAVORYREACH_SOAK_PROGRAM");
        return other == nullptr ? std::string(SAVORYREACH_DAEMONS) + "/savoryreach-fleet" : other;
    }
    /// See disk_faults.cpp.
    [[nodiscard]] std::string disk() const { return settings_["dataDir"].asString(); }
    [[nodiscard]] std::string settings_file() const
    {
        return (folder_ / (name_ + ".json")).string();
    }
    [[nodiscard]] std::string faults_file() const
    {
        return (folder_ / (name_ + ".faults")).string();
    }

    /// The process reads the file at any time, so it must never be half written.
    void write_settings() const
    {
        const auto file = settings_file();
        std::ofstream(file + ".new") << base::json_line(settings_);
        std::filesystem::rename(file + ".new", file);
    }
    [[nodiscard]] process_faults* map_faults() const
    {
        const int descriptor =
            ::open(faults_file().c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
        void* at = descriptor < 0 || ::ftruncate(descriptor, sizeof(process_faults)) != 0
                       ? MAP_FAILED
                       : ::mmap(nullptr, sizeof(process_faults), PROT_READ | PROT_WRITE, MAP_SHARED,
                                descriptor, 0);
        ::close(descriptor);
        if (at == MAP_FAILED)
        {
            std::abort();
        }
        return static_cast<process_faults*>(at);
    }
    void apply_limits() const
    {
        if (max_descriptors_ > 0 && pid_ > 0)
        {
            const rlimit limit = {max_descriptors_, max_descriptors_};
            ::prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr);
        }
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
    process_faults* faults_;
    rlim_t max_descriptors_ = 0;
    pid_t pid_ = -1;
};

} // namespace savoryreach::soak

#endif
