// Case: requests on open channels reach a node more than 3 s after its SIGTERM. Rule LOST.

#include "fleet.hpp"

using namespace review;

namespace
{

constexpr int channels = 14;
constexpr double first_send_ms = 2900.0; // after SIGTERM
constexpr double send_interval_ms = 25.0;
constexpr int work_ms = 2700; // `fitting` has 3,600 ms at most
constexpr int deadline_ms = 4000;
constexpr double grace_ms = 6000.0;   // graceS
constexpr double excused_ms = 3000.0; // requests sent until then may be cut in the last sixth

struct attempt
{
    fleet::job job;
    double sent = 0.0;
    double ended = 0.0;
    bool complete = false;
    std::string head; ///< first line of the response
};

/// Reads one response with a Content-Length; false if the channel ends before it is complete.
bool read_response(int channel, std::string& out)
{
    out.clear();
    char bytes[4096];
    for (;;)
    {
        const auto end = out.find("\r\n\r\n");
        if (end != std::string::npos)
        {
            const auto at = out.find("Content-Length: ");
            const auto size = at == std::string::npos ? 0 : std::atoi(out.c_str() + at + 16);
            if (out.size() >= end + 4 + static_cast<std::size_t>(size))
            {
                return true;
            }
        }
        const auto n = ::recv(channel, bytes, sizeof bytes, 0);
        if (n <= 0)
        {
            return false;
        }
        out.append(bytes, static_cast<std::size_t>(n));
    }
}

std::string post_text(const fleet::job& job)
{
    Json::Value step;
    step["count"] = job.tasks;
    step["cpu"] = job.cpu_milli;
    step["memMb"] = 256;
    step["estimatedMs"] = job.estimated_ms;
    Json::Value body;
    body["spec"] =
        "work_ms=" + std::to_string(job.work_ms) + " cpu=" + std::to_string(job.cpu_milli);
    body["bestEffort"] = true;
    body["steps"].append(step);
    const auto text = to_line(body);
    return std::string("POST ") + fleet::prefix + job.id + " HTTP/1.1\r\nHost: " + fleet::host +
           "\r\nContent-Type: application/json\r\nX-Savoryreach-Deadline-Ms: " +
           std::to_string(job.deadline_ms) + "\r\nContent-Length: " + std::to_string(text.size()) +
           "\r\n\r\n" + text;
}

} // namespace

int main(int, char** argv)
{
    fleet it({.core = 3, .other_fronts = 2, .workers = 4}, argv[1]);
    if (!it.start_all())
    {
        return it.conclude(could_not_run, "the deployment did not become ready");
    }
    const std::string front = it.fronts()[3];
    std::vector<int> open;
    for (int n = 0; n < channels; ++n)
    {
        // An open channel that has served a request.
        open.push_back(it.connect_client(front));
        const std::string look =
            std::string("GET ") + fleet::prefix + " HTTP/1.1\r\nHost: " + fleet::host + "\r\n\r\n";
        std::string answer;
        if (::send(open.back(), look.data(), look.size(), MSG_NOSIGNAL) < 0 ||
            !read_response(open.back(), answer))
        {
            return it.conclude(could_not_run, "a channel could not be opened");
        }
    }
    const auto term_at = now_ms();
    if (has_trouble())
    {
        it.signal(front, SIGTERM, "SIGTERM");
    }
    std::vector<attempt> attempts(channels);
    std::vector<std::thread> clients;
    clients.reserve(channels);
    for (int n = 0; n < channels; ++n)
    {
        clients.emplace_back(
            [&, n]
            {
                auto& own = attempts[static_cast<std::size_t>(n)];
                own.job = {new_job_id(), 1, 6200, 900, work_ms, deadline_ms};
                const auto text = post_text(own.job);
                sleep_ms(term_at + first_send_ms + n * send_interval_ms - now_ms());
                own.sent = now_ms();
                const int channel = open[static_cast<std::size_t>(n)];
                const bool sent = ::send(channel, text.data(), text.size(), MSG_NOSIGNAL) ==
                                  static_cast<ssize_t>(text.size());
                std::string answer;
                own.complete = sent && read_response(channel, answer);
                own.ended = now_ms();
                own.head = answer.substr(0, answer.find('\r'));
                ::close(channel);
            });
    }
    if (has_trouble() && !it.await_end(front, grace_ms))
    {
        it.kill(front); // SIGKILL after graceS
    }
    for (auto& client : clients)
    {
        client.join();
    }
    sleep_ms(200.0);
    const auto runs = it.runs();
    int lost = 0;
    for (const auto& own : attempts)
    {
        const bool passed_on = std::ranges::any_of(
            runs, [&own](const task_run& run) { return run.task.substr(0, 16) == own.job.id; });
        const auto after_term = own.sent - term_at;
        it.note("job " + own.job.id + " sent " + std::to_string(static_cast<int>(after_term)) +
                " ms after the SIGTERM, channel ended or answered after " +
                std::to_string(static_cast<int>(own.ended - own.sent)) +
                " ms: " + (own.complete ? own.head : "no complete answer") +
                (passed_on ? ", passed on to a worker" : ", not passed on"));
        const bool in_time = own.ended < own.sent + deadline_ms;
        if (!own.complete && passed_on && in_time && after_term > excused_ms)
        {
            ++lost;
            it.note("LOST: job " + own.job.id);
        }
    }
    return it.conclude(lost == 0 ? rule_held : rule_broken,
                       std::to_string(lost) +
                           " requests that were passed on to a worker got no complete answer");
}
