#include "tools/load/stage_trace.hpp"

#include <absl/strings/str_cat.h>

namespace savoryreach::load
{

void stage_trace::measure(const std::string& name, const std::string& from)
{
    const auto it = times_.find(from);
    if (it != times_.end())
    {
        auto& measured = stages_[name];
        measured.sum_s += absl::ToDoubleSeconds(clock_.now() - it->second);
        ++measured.count;
    }
}

void stage_trace::record(std::string_view kind, std::initializer_list<observe::event_field> fields)
{
    std::string job;
    std::string task;
    for (const auto& it : fields)
    {
        if (it.key == "submission")
        {
            job = it.value;
        }
        else if (it.key == "task")
        {
            task = absl::StrCat("/", it.value);
        }
    }
    const auto now = clock_.now();
    const auto subject = job + task;
    if (kind == "job_accepted")
    {
        measure("1 submit to accepted", job);
    }
    else if (kind == "claim_granted")
    {
        measure("2 submit to claim granted", job);
        times_[job + "/claim"] = now;
    }
    else if (kind == "task_sent")
    {
        measure("3 claim granted to task sent", job + "/claim");
        times_[subject] = now;
    }
    else if (kind == "task_received")
    {
        measure("4 task sent to received", subject);
        times_[subject] = now;
    }
    else if (kind == "task_started")
    {
        measure("5 task received to started", subject);
        times_[subject] = now;
    }
    else if (kind == "task_ended")
    {
        measure("6 task started to ended", subject);
        times_[job + "/ended"] = now;
    }
    else if (kind == "job_answered")
    {
        measure("7 last task ended to answered", job + "/ended");
    }
    else if (kind == "job_refused")
    {
        ++stages_["jobs refused at admission"].count;
    }
}

} // namespace savoryreach::load
