#ifndef SAVORYREACH_NET_TRANSPORT_HPP
#define SAVORYREACH_NET_TRANSPORT_HPP

#include "savoryreach/base/node_name.hpp"
#include "schema/generated/wire.pb.h"

#include <string>

namespace savoryreach::net
{

/// Sends envelopes to other processes. An envelope may be lost, delayed, duplicated or arrive out
/// of order; it is never changed. Called from the control thread only and never blocks.
class transport
{
public:
    virtual ~transport() = default;

    /// Sends \p message to \p to, or drops it when the peer is not connected and has no address.
    virtual void send(const base::node_name& to, schema::envelope message) = 0;

    /// Sets the listening address ("ip:port") of \p peer, as given by a membership view.
    virtual void learn_address(const base::node_name& peer, const std::string& address) = 0;
};

} // namespace savoryreach::net

#endif
