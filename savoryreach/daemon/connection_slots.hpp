#ifndef SAVORYREACH_DAEMON_CONNECTION_SLOTS_HPP
#define SAVORYREACH_DAEMON_CONNECTION_SLOTS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace savoryreach::daemon
{

/// Decides which connections of a service are closed when it has more than it may. A connection
/// whose request is being served is never closed for a new one.
class connection_slots
{
public:
    using id = std::uint64_t;

    struct addition
    {
        id added = 0;
        std::vector<id> to_close;

        friend bool operator==(const addition&, const addition&) = default;
    };
    /// Adds an idle connection. For it are closed the ones that have been idle longest, then the
    /// ones whose incomplete request began first; it is closed itself if all others are being
    /// served.
    [[nodiscard]] addition add(std::size_t max_connections);
    void remove(id it);

    /// The connection waits for the first byte of a request.
    void set_idle(id it) { move(it, state::idle); }
    /// The first byte of a request has arrived, the last has not.
    void set_reading(id it) { move(it, state::reading); }
    /// The request is complete, its response is not sent.
    void set_serving(id it) { move(it, state::serving); }

    [[nodiscard]] std::size_t size() const { return places_.size(); }
    [[nodiscard]] std::uint64_t closed_for_room() const { return closed_for_room_; }
    [[nodiscard]] std::uint64_t refused() const { return refused_; }

private:
    /// In the order in which connections are closed.
    enum class state
    {
        idle,
        reading,
        serving,
    };
    struct place
    {
        state in;
        std::uint64_t since; ///< number of the change to this state

        friend auto operator<=>(const place&, const place&) = default;
    };

    void move(id it, state to);
    /// The connection to close next, other than \p added.
    [[nodiscard]] std::optional<id> next_to_close(id added) const;

    std::map<id, place> places_;
    std::map<place, id> order_;
    std::uint64_t last_change_ = 0;
    id last_id_ = 0;
    std::uint64_t closed_for_room_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace savoryreach::daemon

#endif
