#include "savoryreach/observe/timeline.hpp"

#include "savoryreach/base/json_line.hpp"
#include "savoryreach/observe/hybrid_clock.hpp"

#include <absl/strings/str_cat.h>
#include <json/value.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <tuple>

namespace savoryreach::observe
{
namespace
{

bool matches(const event_line& it, const timeline::filter& wanted)
{
    const absl::Time at = hybrid_clock::time_of(it.hlc);
    return (wanted.submission.empty() || it.field("submission") == wanted.submission) &&
           (wanted.process.empty() || it.process == wanted.process) &&
           (wanted.kind.empty() || it.kind == wanted.kind) && at >= wanted.from && at < wanted.to;
}

/// Writes trace-event JSON; processes are numbered in order of appearance.
class trace_writer
{
public:
    void add(const event_line& it)
    {
        const std::string run =
            absl::StrCat(it.process, " ", std::string(it.field("submission")), " ",
                         std::string(it.field("task")), " ", std::string(it.field("attempt")));
        if (it.kind == "task_started")
        {
            started_[run] = it;
            return;
        }
        if (const auto start = started_.find(run);
            it.kind == "task_ended" && start != started_.end())
        {
            Json::Value out = make(start->second, "X");
            out["name"] = "task";
            out["dur"] =
                static_cast<Json::Int64>(absl::ToInt64Microseconds(it.wall - start->second.wall));
            for (const auto& [key, value] : it.fields)
            {
                out["args"][key] = value;
            }
            events_.append(out);
            started_.erase(start);
            return;
        }
        events_.append(make(it, "i"));
    }

    std::string finish()
    {
        // Tasks without an end show as instants.
        for (const auto& [run, it] : started_)
        {
            events_.append(make(it, "i"));
        }
        Json::Value root(Json::objectValue);
        root["traceEvents"] = events_;
        root["displayTimeUnit"] = "ms";
        return base::json_line(root);
    }

private:
    Json::Value make(const event_line& it, const char* phase)
    {
        Json::Value out(Json::objectValue);
        out["name"] = it.kind;
        out["ph"] = phase;
        out["ts"] = static_cast<Json::Int64>(absl::ToUnixMicros(it.wall));
        out["pid"] = process_number(it.process);
        out["tid"] = 0;
        if (*phase == 'i')
        {
            out["s"] = "p";
        }
        out["args"] = Json::Value(Json::objectValue);
        out["args"]["hlc"] = std::to_string(it.hlc);
        out["args"]["incarnation"] = std::to_string(it.incarnation);
        for (const auto& [key, value] : it.fields)
        {
            out["args"][key] = value;
        }
        return out;
    }

    int process_number(const std::string& name)
    {
        const auto [it, is_new] = processes_.try_emplace(name, static_cast<int>(processes_.size()));
        if (is_new)
        {
            Json::Value out(Json::objectValue);
            out["name"] = "process_name";
            out["ph"] = "M";
            out["pid"] = it->second;
            out["args"]["name"] = name;
            events_.append(out);
        }
        return it->second;
    }

    Json::Value events_{Json::arrayValue};      ///< Written so far.
    std::map<std::string, int> processes_;      ///< Numbers by process name.
    std::map<std::string, event_line> started_; ///< Starts whose end was not seen yet.
};

} // namespace

bool timeline::add_file(const std::string& path)
{
    std::ifstream file;
    const bool standard_input = path == "-";
    if (!standard_input)
    {
        file.open(path, std::ios::binary);
    }
    std::istream& in = standard_input ? std::cin : file;
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    if (!in)
    {
        return false;
    }
    add_text(text);
    return true;
}

void timeline::add_text(std::string_view text)
{
    while (!text.empty())
    {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        auto event = event_line::parse(line);
        if (!event)
        {
            event = event_line::parse_log(line);
        }
        if (event)
        {
            events_.push_back(std::move(*event));
        }
        else if (!line.empty())
        {
            ++malformed_lines_;
        }
    }
    std::ranges::stable_sort(events_, [](const event_line& a, const event_line& b)
                             { return std::tie(a.hlc, a.process) < std::tie(b.hlc, b.process); });
}

std::vector<event_line> timeline::select(const filter& wanted) const
{
    std::vector<event_line> out;
    std::ranges::copy_if(events_, std::back_inserter(out),
                         [&](const event_line& it) { return matches(it, wanted); });
    return out;
}

std::string timeline::to_text(const filter& wanted) const
{
    std::string out;
    for (const event_line& it : select(wanted))
    {
        absl::StrAppend(&out, it.to_text(), "\n");
    }
    return out;
}

std::string timeline::to_trace_json(const filter& wanted) const
{
    trace_writer writer;
    for (const event_line& it : select(wanted))
    {
        writer.add(it);
    }
    return writer.finish();
}

} // namespace savoryreach::observe
