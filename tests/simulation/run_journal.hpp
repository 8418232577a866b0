#ifndef SAVORYREACH_SIMULATION_RUN_JOURNAL_HPP
#define SAVORYREACH_SIMULATION_RUN_JOURNAL_HPP

#include "savoryreach/observe/event_sink.hpp"
#include "tests/simulation/virtual_clock.hpp"

#include <cstdint>
#include <deque>
#include <iosfwd>
#include <stdexcept>
#include <string>
#include <string_view>

namespace savoryreach::simulation
{

/// An invariant did not hold; what() names it.
class violation final : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Numbers and hashes all events of a run, and keeps the last ones for the report of a violation.
class run_journal
{
public:
    explicit run_journal(const virtual_clock& clock) : clock_(clock) {}

    /// Prints every later line whose text contains \p filter to \p out; an empty filter prints all.
    void print_to(std::ostream& out, std::string filter);
    /// Records an event with its line.
    void note(const std::string& line);
    /// Counts and hashes an event that is too frequent for a line of its own.
    void count(std::string_view what, std::uint64_t value);
    [[noreturn]] void fail(std::string_view invariant, const std::string& what) const;

    [[nodiscard]] std::uint64_t events() const { return events_; }
    [[nodiscard]] std::uint64_t hash() const { return hash_; }
    [[nodiscard]] std::string stamp() const;
    void dump(std::ostream& out) const;

private:
    static constexpr std::size_t kept_lines = 120;

    const virtual_clock& clock_;
    std::ostream* out_ = nullptr;
    std::string filter_;
    std::uint64_t events_ = 0;
    std::uint64_t hash_ = 0;
    std::deque<std::string> lines_; ///< the last ones
};

/// Writes the events of one core to the journal.
class journal_sink final : public observe::event_sink
{
public:
    journal_sink(run_journal& journal, std::string node) : journal_(journal), node_(std::move(node))
    {
    }

    void record(std::string_view kind, std::initializer_list<observe::event_field> fields) override;

private:
    run_journal& journal_;
    std::string node_;
};

} // namespace savoryreach::simulation

#endif
