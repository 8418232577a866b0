#include "tests/processes/process_cluster.hpp"

#include "tests/processes/child_process.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gtest/gtest.h>
#include <httplib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

namespace savoryreach::processes
{
namespace
{

namespace fs = std::filesystem;

constexpr int system_port = 7100;
constexpr int http_port = 8080;
constexpr int endpoint_port = 7400;
constexpr auto poll_interval = std::chrono::milliseconds(20);
/// Bound on a wait; no assertion depends on how long a wait takes.
constexpr int max_polls = 3000;
constexpr int client_timeout_s = 60;

template <typename Condition>
void wait_until(Condition condition, const std::string& condition_text)
{
    for (int n = 0; n < max_polls; ++n)
    {
        if (condition())
        {
            return;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    FAIL() << "timed out waiting for: " << condition_text;
}

void write_json(const std::string& file, const Json::Value& value)
{
    std::ofstream(file) << value;
}

Json::Value parse(const std::string& text)
{
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    std::string errors;
    reader->parse(text.data(), text.data() + text.size(), &value, &errors);
    return value;
}

std::vector<std::string> numbered_names(const std::string& role, int count)
{
    std::vector<std::string> names;
    for (int n = 1; n <= count; ++n)
    {
        names.push_back(absl::StrCat(role, "-", n));
    }
    return names;
}

} // namespace

bool caller_answer::is_complete() const
{
    return status == 200 && body["state"] == "complete";
}

process_cluster::process_cluster()
{
    network_ = own_network();
    folder_ = absl::StrCat(fs::temp_directory_path().string(), "/savoryreach-", getpid());
    fs::remove_all(folder_);
    fs::create_directories(folder_);
    int last_byte = 0;
    for (const auto& [role, count] :
         {std::pair("keeper", keepers), std::pair("entry", entries), std::pair("agent", agents)})
    {
        for (const auto& name : numbered_names(role, count))
        {
            last_bytes_[name] = ++last_byte;
        }
    }
    write_settings();
}

process_cluster::~process_cluster()
{
    while (!pids_.empty())
    {
        kill_process(pids_.begin()->first);
    }
    if (!testing::Test::HasFailure())
    {
        fs::remove_all(folder_);
    }
}

std::string process_cluster::address(const std::string& name) const
{
    return absl::StrCat(network_, ".", last_bytes_.at(name), ":", system_port);
}

std::string process_cluster::http_address(const std::string& name) const
{
    return absl::StrCat(network_, ".", last_bytes_.at(name), ":", http_port);
}

Json::Value process_cluster::common_settings(const std::string& name) const
{
    Json::Value common;
    common["cluster"] = "test";
    common["name"] = name;
    common["data_centre"] = "ljubljana";
    if (!name.starts_with("agent"))
    {
        common["listen"] = address(name);
    }
    common["http_listen"] = http_address(name);
    common["log_file"] = absl::StrCat(folder_, "/", name, ".log");
    for (const auto& it : numbered_names("keeper", keepers))
    {
        Json::Value keeper;
        keeper["name"] = it;
        keeper["address"] = address(it);
        common["keepers"].append(keeper);
    }
    return common;
}

void process_cluster::write_settings()
{
    for (const auto& [name, last_byte] : last_bytes_)
    {
        Json::Value settings;
        settings["common"] = common_settings(name);
        if (name.starts_with("keeper"))
        {
            settings["data_folder"] = absl::StrCat(folder_, "/", name);
        }
        if (name.starts_with("agent"))
        {
            settings["endpoint"] = absl::StrCat(network_, ".", last_byte, ":", endpoint_port);
            settings["slots"] = 8;
        }
        write_json(absl::StrCat(folder_, "/", name, ".json"), settings);
    }
}

void process_cluster::start_process(const std::string& name)
{
    const auto output = absl::StrCat(folder_, "/", name, ".out");
    if (name.starts_with("endpoint"))
    {
        const auto agent = absl::StrCat("agent", name.substr(name.find('-')));
        pids_[name] = spawn(
            {SAVORYREACH_TOOLS "/standin-endpoint",
             absl::StrCat("--listen=", network_, ".", last_bytes_.at(agent), ":", endpoint_port),
             absl::StrCat("--start_log=", folder_, "/starts-", name)},
            output);
        return;
    }
    const auto role = name.substr(0, name.find('-'));
    pids_[name] = spawn({absl::StrCat(SAVORYREACH_DAEMONS "/savoryreach-", role),
                         absl::StrCat("--settings=", folder_, "/", name, ".json")},
                        output);
}

void process_cluster::start()
{
    for (const auto& it : numbered_names("endpoint", agents))
    {
        start_process(it);
    }
    for (const auto& [name, last_byte] : last_bytes_)
    {
        start_process(name);
    }
    for (const auto& it : numbered_names("entry", entries))
    {
        wait_ready(it);
        wait_for_agents(it, agents);
    }
}

void process_cluster::kill_process(const std::string& name)
{
    const auto pid = pids_.at(name);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    pids_.erase(name);
}

int process_cluster::stop_process(const std::string& name)
{
    const auto pid = pids_.at(name);
    kill(pid, SIGTERM);
    int status = 0;
    waitpid(pid, &status, 0);
    pids_.erase(name);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

Json::Value process_cluster::status(const std::string& name) const
{
    httplib::Client client(absl::StrCat("http://", http_address(name)));
    const auto res = client.Get("/status");
    return res ? parse(res->body) : Json::Value();
}

void process_cluster::wait_ready(const std::string& name)
{
    wait_until(
        [&]
        {
            httplib::Client client(absl::StrCat("http://", http_address(name)));
            const auto res = client.Get("/readyz");
            return res && res->status == 200;
        },
        name + " ready");
}

void process_cluster::wait_for_agents(const std::string& entry, int count)
{
    wait_until([&] { return status(entry)["agents"].asInt() == count; },
               absl::StrCat(entry, " knows ", count, " agents"));
}

std::string process_cluster::leader()
{
    std::string found;
    wait_until(
        [&]
        {
            for (const auto& it : numbered_names("keeper", keepers))
            {
                if (pids_.contains(it) && status(it)["role"] == "leader")
                {
                    found = it;
                }
            }
            return !found.empty();
        },
        "a leading keeper");
    return found;
}

caller_answer process_cluster::post(int entry, const Json::Value& job) const
{
    httplib::Client client(absl::StrCat("http://", http_address(absl::StrCat("entry-", entry))));
    client.set_read_timeout(client_timeout_s);
    Json::StreamWriterBuilder writer;
    const auto res = client.Post("/v1/jobs", Json::writeString(writer, job), "application/json");
    return res ? caller_answer{res->status, parse(res->body)} : caller_answer{};
}

caller_answer process_cluster::post_until_final(int first_entry, const Json::Value& job) const
{
    caller_answer answer;
    for (int n = 0; n < max_polls; ++n)
    {
        answer = post(1 + (first_entry - 1 + n) % entries, job);
        const auto error = answer.body["error"].asString();
        const bool is_final = answer.status != 0 && answer.body["retry_after_ms"].asInt() == 0 &&
                              error != "unreachable" && error != "not_ready" && error != "draining";
        if (is_final)
        {
            return answer;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    ADD_FAILURE() << "no final answer for " << job["submission_id"];
    return answer;
}

std::map<std::string, int> process_cluster::starts() const
{
    std::map<std::string, int> counts;
    for (const auto& it : numbered_names("endpoint", agents))
    {
        std::ifstream in(absl::StrCat(folder_, "/starts-", it));
        std::string submission;
        std::string task;
        std::string attempt;
        while (in >> submission >> task >> attempt)
        {
            ++counts[absl::StrCat(submission, " ", task)];
        }
    }
    return counts;
}

int process_cluster::log_lines_with(const std::string& name, const std::string& text) const
{
    std::ifstream in(absl::StrCat(folder_, "/", name, ".log"));
    std::string line;
    int n = 0;
    while (std::getline(in, line))
    {
        n += line.find(text) != std::string::npos ? 1 : 0;
    }
    return n;
}

Json::Value make_job(const std::string& id, int tasks, int run_ms, bool idempotent)
{
    Json::Value job;
    job["schema_version"] = 1;
    job["submission_id"] = id;
    job["team"] = "kostumi-vrhovnik";
    job["kind"] = "hold";
    job["idempotent"] = idempotent;
    job["time_budget_ms"] = 50'000;
    for (int n = 0; n < tasks; ++n)
    {
        Json::Value task;
        task["payload"] = absl::StrCat("run_ms=", run_ms, " ", id, " ", n);
        job["tasks"].append(task);
    }
    return job;
}

} // namespace savoryreach::processes
