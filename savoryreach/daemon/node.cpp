#include "savoryreach/daemon/node.hpp"

#include "savoryreach/daemon/logger.hpp"
#include "savoryreach/daemon/shutdown_signal.hpp"

#include <random>

namespace savoryreach::daemon
{
namespace
{

/// Bound on messages that wait for the control thread; the senders resend dropped messages.
constexpr std::size_t max_waiting_events = 65'536;
constexpr auto tick_interval = absl::Milliseconds(5);
constexpr std::uint32_t default_drain_deadline_ms = 30'000;

std::uint64_t random_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

net::tcp_transport_options transport_options(const schema::common_settings& settings,
                                             const std::string& role)
{
    net::tcp_transport_options options;
    options.hello.set_cluster(settings.cluster());
    options.hello.set_node(settings.name());
    options.hello.set_role(role);
    options.listen = settings.listen();
    return options;
}

void log_transport_event(const std::string& event, const base::node_name& peer,
                         const std::string& detail)
{
    const auto level = event == "hello_refused" ? log_level::warning : log_level::info;
    log(level, event, {{"peer", peer.value()}, {"detail", detail}});
}

} // namespace

node::node(const schema::common_settings& settings, const std::string& role, http_limits limits)
    : settings_(settings), random_(random_seed()), hybrid_(clock_),
      loop_(max_waiting_events, tick_interval), http_(limits),
      transport_(
          transport_options(settings, role),
          [this](const base::node_name& from, std::vector<schema::envelope> messages)
          { handle_messages(from, std::move(messages)); },
          log_transport_event),
      core_transport_(transport_, hybrid_)
{
    if (!settings.event_file().empty())
    {
        event_log_ =
            observe::event_log::open(settings.event_file(), {settings.name(), hybrid_, clock_});
        if (!event_log_)
        {
            log(log_level::error, "event_file_unusable", {{"file", settings.event_file()}});
        }
    }
    for (const auto& it : settings.keepers())
    {
        if (it.name() != settings.name())
        {
            transport_.learn_address(base::node_name(it.name()), it.address());
        }
    }
}

node::~node()
{
    stop();
}

void node::stop()
{
    http_.stop();
    transport_.stop();
    loop_.stop();
}

std::optional<base::reason> node::start(message_handler on_message, std::function<void()> on_tick)
{
    on_message_ = std::move(on_message);
    loop_.start(std::move(on_tick));
    if (auto error = transport_.start())
    {
        return error;
    }
    return http_.start(settings_.http_listen());
}

void node::set_incarnation(std::uint64_t incarnation)
{
    if (event_log_)
    {
        event_log_->set_incarnation(incarnation);
    }
}

void node::set_operator_reply_handler(node_transport::reply_handler on_reply)
{
    core_transport_.set_reply_handler(std::move(on_reply));
}

void node::handle_messages(const base::node_name& from, std::vector<schema::envelope> messages)
{
    loop_.try_post(
        [this, from, batch = std::move(messages)]
        {
            for (const auto& it : batch)
            {
                hybrid_.receive(it.hlc());
                on_message_(from, it);
            }
        });
}

int node::run_until_stopped(const std::function<void()>& begin_drain,
                            const std::function<bool()>& is_drained)
{
    shutdown_signal::wait();
    log(log_level::info, "drain_started", {});
    loop_.run_and_wait(begin_drain);
    const auto deadline_ms = settings_.drain_deadline_ms() > 0 ? settings_.drain_deadline_ms()
                                                               : default_drain_deadline_ms;
    const bool drained = shutdown_signal::wait_for_drain(
        [&]
        {
            bool result = false;
            loop_.run_and_wait([&] { result = is_drained(); });
            return result && http_.requests_in_progress() == 0;
        },
        clock_.now() + absl::Milliseconds(deadline_ms));
    log(drained ? log_level::info : log_level::warning, "drain_finished",
        {{"complete", drained ? "true" : "false"}});
    if (drained)
    {
        http_.stop();
    }
    return drained ? 0 : 1;
}

} // namespace savoryreach::daemon
