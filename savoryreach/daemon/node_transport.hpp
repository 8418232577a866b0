#ifndef SAVORYREACH_DAEMON_NODE_TRANSPORT_HPP
#define SAVORYREACH_DAEMON_NODE_TRANSPORT_HPP

#include "savoryreach/net/transport.hpp"
#include "savoryreach/observe/hybrid_clock.hpp"

#include <functional>

namespace savoryreach::daemon
{

/// The transport that a daemon's core uses. It stamps each envelope with the hybrid logical clock
/// and passes replies to operators' requests, which arrive over HTTP, to the operator interface.
class node_transport final : public net::transport
{
public:
    using reply_handler =
        std::function<void(const base::node_name& to, const schema::envelope& reply)>;

    /// Prefix of the sender names in operators' requests; no process has such a name.
    static constexpr const char* operator_prefix = "operator/";

    node_transport(net::transport& next, observe::hybrid_clock& hybrid)
        : next_(next), hybrid_(hybrid)
    {
    }

    void set_reply_handler(reply_handler on_reply) { on_reply_ = std::move(on_reply); }

    void send(const base::node_name& to, schema::envelope message) override;
    void learn_address(const base::node_name& peer, const std::string& address) override;

private:
    net::transport& next_;
    observe::hybrid_clock& hybrid_;
    reply_handler on_reply_; ///< empty when the process serves no operators
};

} // namespace savoryreach::daemon

#endif
