#ifndef SAVORYREACH_AGENT_SESSION_TABLE_HPP
#define SAVORYREACH_AGENT_SESSION_TABLE_HPP

#include "savoryreach/agent/entry_session.hpp"
#include "savoryreach/agent/registration.hpp"
#include "savoryreach/agent/session_directory.hpp"
#include "savoryreach/agent/view_store.hpp"
#include "savoryreach/base/clock.hpp"
#include "savoryreach/net/transport.hpp"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <string>

namespace savoryreach::agent
{

/// The sessions of one incarnation, by entry epoch.
class session_table final : public session_directory
{
public:
    using map = absl::btree_map<std::uint64_t, entry_session>;

    session_table(const base::clock& clock, const view_store& views, const registration& registrar)
        : clock_(clock), views_(views), registrar_(registrar)
    {
    }

    [[nodiscard]] bool may_start(std::uint64_t epoch) const override;
    void push(std::uint64_t epoch, schema::session_item item) override;
    [[nodiscard]] std::string entry_of(std::uint64_t epoch) const override;

    /// nullptr when there is no session of \p epoch.
    [[nodiscard]] entry_session* find(std::uint64_t epoch);
    /// The session of the entry's highest known epoch, which belongs to its latest process; nullptr
    /// when there is none.
    [[nodiscard]] entry_session* current(const base::node_name& entry);
    entry_session& add(const base::node_name& entry, std::uint64_t epoch,
                       std::uint64_t incarnation);
    map::iterator erase(map::iterator it) { return sessions_.erase(it); }
    void clear() { sessions_.clear(); }

    [[nodiscard]] map::iterator begin() { return sessions_.begin(); }
    [[nodiscard]] map::iterator end() { return sessions_.end(); }
    [[nodiscard]] map::const_iterator begin() const { return sessions_.begin(); }
    [[nodiscard]] map::const_iterator end() const { return sessions_.end(); }

    /// Sends all frames that are due and returns their number.
    std::uint64_t send_frames(net::transport& transport);

private:
    const base::clock& clock_;
    const view_store& views_;
    const registration& registrar_;
    map sessions_;
};

} // namespace savoryreach::agent

#endif
