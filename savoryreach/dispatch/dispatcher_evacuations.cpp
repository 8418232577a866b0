// Evacuations of data centres, and the states of endpoints that follow from them.

#include "savoryreach/dispatch/dispatcher.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace savoryreach::dispatch
{
namespace
{

const char* name_of(order_step it)
{
    switch (it)
    {
    case order_step::drop:
        return "dropped";
    case order_step::confirm:
        return "to be confirmed";
    case order_step::acknowledge:
        return "in force already";
    case order_step::await:
        return "awaited";
    case order_step::propose:
        return "proposed";
    }
    return "";
}

const char* state_of(const endpoint& it, absl::Time now)
{
    if (it.peer.empty() || !it.listed || !it.registered || it.left)
    {
        return "unlinked";
    }
    if (!it.known)
    {
        return "unknown";
    }
    if (it.draining)
    {
        return "draining";
    }
    if (it.evacuated)
    {
        return "evacuated";
    }
    if (it.silent)
    {
        return "silent";
    }
    if (it.health.allowed_runs(now) <= 1)
    {
        return "set_aside";
    }
    return now < it.cold_until ? "cold" : "usable";
}

} // namespace

void dispatcher::order_evacuation(const request_ref& origin, const schema::front_request& request)
{
    const auto now = clock_.now();
    const auto remaining = absl::Milliseconds(request.remaining_ms());
    const bool has_stamp = request.confirmed_stamp_us() != 0;
    evacuation_order order{origin, request.evacuation().data_centre(), request.evacuation().ends(),
                           now + remaining, absl::InfinitePast()};
    if (has_stamp)
    {
        // The front had that much time left when it repeated the stamp, which was after the stamp.
        order.stamped_at = absl::FromUnixMicros(request.confirmed_stamp_us());
        order.given_up_at = order.stamped_at + remaining;
    }
    const auto step = evacuation_orders_.decide(order, store_, now);
    events_.record("evacuation_ordered", {{"peer", origin.front},
                                          {"request", absl::StrCat(origin.number)},
                                          {"data_centre", order.data_centre},
                                          {"change", order.ends ? "finish" : "begin"},
                                          {"remaining_ms", absl::StrCat(request.remaining_ms())},
                                          {"step", name_of(step)}});
    schema::front_answer question;
    schema::command command;
    switch (step)
    {
    case order_step::drop:
        break;
    case order_step::confirm:
        question.set_kind(schema::answer_confirm);
        question.set_stamp_us(absl::ToUnixMicros(now));
        send_answer(origin, std::move(question));
        break;
    case order_step::acknowledge:
        answer(origin, schema::answer_done);
        break;
    case order_step::await:
        evacuation_orders_.on_awaited(order);
        break;
    case order_step::propose:
        *command.mutable_evacuation_change() = request.evacuation();
        // Without an index this process leads no more, and the front repeats the order to the next
        // dispatcher.
        if (const auto index = port_.propose(std::move(command)))
        {
            evacuation_orders_.on_proposed(order, *index);
        }
        break;
    }
}

void dispatcher::obey_evacuations()
{
    obeyed_evacuations_ = store_.evacuated();
    std::size_t evacuated = 0;
    for (auto& [host, it] : endpoints_.all())
    {
        it->evacuated = obeyed_evacuations_.contains(it->data_centre);
        evacuated += it->evacuated ? 1 : 0;
    }
    rate_valid_until_ = absl::InfinitePast();
    invalidate_index();
    placement_due_ = true;
    events_.record("evacuation_in_force", {{"evacuated", absl::StrJoin(obeyed_evacuations_, ",")},
                                           {"evacuated_endpoints", absl::StrCat(evacuated)},
                                           {"endpoints", absl::StrCat(endpoints_.all().size())},
                                           {"rate", absl::StrCat(rate())}});
    refuse_evacuated_jobs();
}

bool dispatcher::is_evacuated(const std::string& service) const
{
    if (obeyed_evacuations_.empty())
    {
        return false;
    }
    std::size_t all = 0;
    std::size_t evacuated = 0;
    for (const auto& [host, it] : endpoints_.all())
    {
        const bool serves = it->service == service;
        all += serves ? 1 : 0;
        evacuated += serves && it->evacuated ? 1 : 0;
    }
    return evacuated > 0 && evacuated == all;
}

void dispatcher::refuse_evacuated_jobs()
{
    if (obeyed_evacuations_.empty())
    {
        return;
    }
    std::vector<std::uint64_t> refused;
    for (const auto& [id, it] : jobs_.all())
    {
        if (!it->started && !it->adopted && !it->may_have_run && is_evacuated(it->queue.service()))
        {
            refused.push_back(id);
        }
    }
    for (const auto id : refused)
    {
        ++counts_.refused;
        end_job(id, schema::answer_refused, "all endpoints are evacuated");
    }
}

void dispatcher::update_coldness(const endpoint& it)
{
    const auto now = clock_.now();
    if (!speeds_.set_cold(it.host, now < it.cold_until))
    {
        return;
    }
    rate_valid_until_ = absl::InfinitePast();
    invalidate_index();
    placement_due_ = true;
    const auto left = std::max(it.cold_until - now, absl::ZeroDuration());
    events_.record("endpoint_cold", {{"peer", it.host},
                                     {"cold_ms", absl::StrCat(absl::ToInt64Milliseconds(left))},
                                     {"cold_speed", absl::StrCat(speeds_.cold_speed())}});
}

absl::btree_map<std::string, std::size_t> dispatcher::endpoints_by_state() const
{
    absl::btree_map<std::string, std::size_t> out{
        {"unlinked", 0}, {"unknown", 0},   {"draining", 0}, {"evacuated", 0},
        {"silent", 0},   {"set_aside", 0}, {"cold", 0},     {"usable", 0}};
    for (const auto& [host, it] : endpoints_.all())
    {
        ++out[state_of(*it, clock_.now())];
    }
    return out;
}

} // namespace savoryreach::dispatch
