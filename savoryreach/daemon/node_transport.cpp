#include "savoryreach/daemon/node_transport.hpp"

namespace savoryreach::daemon
{

void node_transport::send(const base::node_name& to, schema::envelope message)
{
    if (on_reply_ && to.value().starts_with(operator_prefix))
    {
        on_reply_(to, message);
        return;
    }
    message.set_hlc(hybrid_.now());
    next_.send(to, std::move(message));
}

void node_transport::learn_address(const base::node_name& peer, const std::string& address)
{
    next_.learn_address(peer, address);
}

} // namespace savoryreach::daemon
