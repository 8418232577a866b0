#include "savoryreach/entry/entry_core.hpp"

#include "savoryreach/entry/entry_state.hpp"

#include <utility>

namespace savoryreach::entry
{

entry_core::entry_core(const schema::entry_settings& settings, entry_ports ports)
    : state_(std::make_unique<state>(settings, ports))
{
}

entry_core::~entry_core() = default;

void entry_core::submit(std::uint64_t request_id, schema::submission submission, bool wait,
                        absl::Time answer_by)
{
    state_->handle({request_kind::submit, request_id, std::move(submission), wait, answer_by, 0});
}

void entry_core::lookup(std::uint64_t request_id, const std::string& submission_id)
{
    state_->handle_by_id(request_kind::lookup, request_id, submission_id);
}

void entry_core::cancel(std::uint64_t request_id, const std::string& submission_id)
{
    state_->handle_by_id(request_kind::cancel, request_id, submission_id);
}

void entry_core::caller_disconnected(std::uint64_t request_id)
{
    state_->lifecycle.caller_disconnected(request_id);
    state_->forwards.caller_disconnected(request_id);
}

void entry_core::receive(const base::node_name& from, const schema::envelope& message)
{
    state_->receive(from, message);
}

void entry_core::tick()
{
    state_->tick();
}

void entry_core::begin_drain()
{
    state_->lifecycle.begin_drain();
}

bool entry_core::is_drained() const
{
    return state_->members.has_left();
}

bool entry_core::is_ready() const
{
    return state_->members.has_lease() && !state_->lifecycle.is_draining();
}

entry_status entry_core::status() const
{
    return state_->status();
}

std::string entry_core::describe(const std::string& subject) const
{
    return state_->describe(subject);
}

} // namespace savoryreach::entry
