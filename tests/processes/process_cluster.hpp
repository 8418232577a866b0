#ifndef SAVORYREACH_PROCESSES_PROCESS_CLUSTER_HPP
#define SAVORYREACH_PROCESSES_PROCESS_CLUSTER_HPP

#include <json/json.h>
#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace savoryreach::processes
{

/// The response to one request of a caller.
struct caller_answer
{
    int status = 0; ///< HTTP status; 0 when the connection failed
    Json::Value body;

    [[nodiscard]] bool is_complete() const;
};

/// A cluster of real processes on loopback addresses that only this test process uses, so that test
/// processes can run in parallel. It ends only the processes that it started.
class process_cluster
{
public:
    static constexpr int keepers = 3;
    static constexpr int entries = 2;
    static constexpr int agents = 4;

    process_cluster();
    ~process_cluster();
    process_cluster(const process_cluster&) = delete;
    process_cluster& operator=(const process_cluster&) = delete;

    /// Starts every process and waits until both entries are ready and report all agents.
    void start();
    void start_process(const std::string& name);
    /// Ends a process with SIGKILL.
    void kill_process(const std::string& name);
    /// Sends SIGTERM and waits; returns the exit code.
    int stop_process(const std::string& name);
    void wait_ready(const std::string& name);
    /// Waits until the entry reports \p count agents.
    void wait_for_agents(const std::string& entry, int count);

    /// Waits for a leading keeper and returns its name.
    [[nodiscard]] std::string leader();

    /// Posts \p job to an entry (1 or 2) and waits for the answer.
    [[nodiscard]] caller_answer post(int entry, const Json::Value& job) const;
    /// Posts \p job to the entries alternately until an answer is final.
    [[nodiscard]] caller_answer post_until_final(int first_entry, const Json::Value& job) const;

    /// Number of starts at the endpoints by "submission task" pair.
    [[nodiscard]] std::map<std::string, int> starts() const;

    /// Number of lines in the log of process \p name that contain \p text.
    [[nodiscard]] int log_lines_with(const std::string& name, const std::string& text) const;

    [[nodiscard]] std::string address(const std::string& name) const;
    [[nodiscard]] std::string http_address(const std::string& name) const;
    [[nodiscard]] const std::string& folder() const { return folder_; }

private:
    void write_settings();
    [[nodiscard]] Json::Value common_settings(const std::string& name) const;
    [[nodiscard]] Json::Value status(const std::string& name) const;

    std::string network_;                   ///< first three bytes of this cluster's addresses
    std::string folder_;                    ///< settings, logs and data
    std::map<std::string, int> last_bytes_; ///< last byte of each process's address
    std::map<std::string, pid_t> pids_;     ///< running processes
};

/// A job of \p tasks tasks that run \p run_ms each.
[[nodiscard]] Json::Value make_job(const std::string& id, int tasks, int run_ms,
                                   bool idempotent = false);

} // namespace savoryreach::processes

#endif
