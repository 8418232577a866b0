#ifndef SAVORYREACH_OBSERVE_EVENT_SINK_HPP
#define SAVORYREACH_OBSERVE_EVENT_SINK_HPP

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace savoryreach::observe
{

/// One key and value of an event. Numbers are given as text; the value may contain any bytes.
struct event_field
{
    std::string_view key;
    std::string value;
};

/// Receives the events of the time line. Called from the control thread; never blocks. A sink that
/// can't keep up drops events and counts them.
class event_sink
{
public:
    virtual ~event_sink() = default;

    /// Records one event. \p kind is a snake_case name, such as task_started. Fields that concern a
    /// job use the keys submission, task and attempt; the other process is named by the key peer.
    virtual void record(std::string_view kind, std::initializer_list<event_field> fields) = 0;
};

/// Ignores all events.
class null_event_sink final : public event_sink
{
public:
    void record(std::string_view, std::initializer_list<event_field>) override {}
};

} // namespace savoryreach::observe

#endif
