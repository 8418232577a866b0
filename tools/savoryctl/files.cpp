#include "savoryreach/base/json_line.hpp"
#include "savoryreach/config/declaration.hpp"
#include "savoryreach/config/declaration_file.hpp"
#include "savoryreach/daemon/json_rpc.hpp"
#include "savoryreach/observe/explanation.hpp"
#include "savoryreach/observe/job_story.hpp"
#include "savoryreach/observe/timeline.hpp"
#include "tools/savoryctl/command.hpp"

#include <gflags/gflags.h>
#include <google/protobuf/util/json_util.h>

#include <iostream>
#include <optional>

DEFINE_string(submission, "", "timeline: only events of this submission");
DEFINE_string(process, "", "timeline: only events of this process");
DEFINE_string(event, "", "timeline: only events of this kind");
DEFINE_bool(trace, false, "timeline: print trace-event JSON for a browser's trace viewer");

namespace savoryreach::savoryctl
{
namespace
{

Json::Value to_json(const schema::declaration& declaration)
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    std::string text;
    return google::protobuf::util::MessageToJsonString(declaration, &text, options).ok()
               ? daemon::parse_json(text)
               : Json::Value();
}

/// All declarations of the files, or nullopt after printing why one is refused.
std::optional<std::vector<schema::declaration>> read_all(const std::vector<std::string>& files)
{
    std::vector<schema::declaration> all;
    for (const auto& it : files)
    {
        config::declaration_file file(it);
        const auto declarations = file.read();
        if (!declarations)
        {
            report_failure(file.last_reason());
            return std::nullopt;
        }
        all.insert(all.end(), declarations->begin(), declarations->end());
    }
    return all;
}

std::optional<observe::timeline> read_events(const std::vector<std::string>& files)
{
    observe::timeline events;
    for (const auto& it : files)
    {
        if (!events.add_file(it))
        {
            report_failure({base::error_kind::not_found, "cannot read " + it});
            return std::nullopt;
        }
    }
    return events;
}

} // namespace

int check(const context&, const std::vector<std::string>& words)
{
    const auto declarations = read_all(words);
    if (!declarations)
    {
        return exit_bad_input;
    }
    std::cout << declarations->size() << " declarations are valid\n";
    return exit_ok;
}

int apply(const context& at, const std::vector<std::string>& words)
{
    const auto declarations = read_all(words);
    if (!declarations)
    {
        return exit_bad_input;
    }
    for (const auto& it : *declarations)
    {
        Json::Value result;
        if (const int code = call_leader(at, "apply", to_json(it), result); code != exit_ok)
        {
            return code;
        }
        std::cout << it.name() << " version " << it.version() << " in force at revision "
                  << result["config_revision"].asString() << "\n";
    }
    return exit_ok;
}

int diff(const context& at, const std::vector<std::string>& words)
{
    const auto declarations = read_all(words);
    if (!declarations)
    {
        return exit_bad_input;
    }
    Json::Value view;
    if (const int code = call_leader(at, "view", Json::objectValue, view); code != exit_ok)
    {
        return code;
    }
    for (const auto& it : *declarations)
    {
        Json::Value in_force;
        for (const auto& entry : view["view"]["config"])
        {
            if (entry["declaration"]["name"] == it.name())
            {
                in_force = entry["declaration"];
            }
        }
        schema::declaration current;
        const bool known =
            !in_force.isNull() &&
            google::protobuf::util::JsonStringToMessage(base::json_line(in_force), &current).ok();
        if (!known)
        {
            std::cout << it.name() << ": not in force\n";
        }
        else if (config::declaration_digest(current) == config::declaration_digest(it))
        {
            std::cout << it.name() << ": equal, version " << it.version() << "\n";
        }
        else
        {
            std::cout << it.name() << ":\n- " << base::json_line(to_json(current)) << "\n+ "
                      << base::json_line(to_json(it)) << "\n";
        }
    }
    return exit_ok;
}

int show_timeline(const context&, const std::vector<std::string>& words)
{
    const auto events = read_events(words);
    if (!events)
    {
        return exit_bad_input;
    }
    observe::timeline::filter wanted;
    wanted.submission = FLAGS_submission;
    wanted.process = FLAGS_process;
    wanted.kind = FLAGS_event;
    std::cout << (FLAGS_trace ? events->to_trace_json(wanted) : events->to_text(wanted));
    return exit_ok;
}

int explain(const context&, const std::vector<std::string>& words)
{
    if (words.size() < 2)
    {
        std::cerr << "savoryctl: explain SUBMISSION FILE...\n";
        return exit_usage;
    }
    const auto events = read_events({words.begin() + 1, words.end()});
    if (!events)
    {
        return exit_bad_input;
    }
    if (const auto split = observe::explain(*events, words[0]))
    {
        std::cout << split->to_text();
        return exit_ok;
    }
    if (const auto story = observe::tell_job(*events, words[0]))
    {
        std::cout << story->to_text();
        return exit_ok;
    }
    return report_failure({base::error_kind::not_found, "no line of the files names the job"});
}

} // namespace savoryreach::savoryctl
