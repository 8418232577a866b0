#include "tests/simulation/run_journal.hpp"

#include "savoryreach/base/digest.hpp"

#include <absl/strings/str_cat.h>

#include <ostream>

namespace savoryreach::simulation
{

void run_journal::print_to(std::ostream& out, std::string filter)
{
    out_ = &out;
    filter_ = std::move(filter);
}

std::string run_journal::stamp() const
{
    return absl::StrCat("t=", absl::ToUnixMillis(clock_.now()) - 1'000'000'000,
                        "ms event=", events_);
}

void run_journal::note(const std::string& line)
{
    ++events_;
    auto stamped = absl::StrCat(stamp(), " ", line);
    hash_ = base::stable_hash(stamped, hash_);
    if (out_ != nullptr && (filter_.empty() || stamped.find(filter_) != std::string::npos))
    {
        *out_ << stamped << '\n';
    }
    lines_.push_back(std::move(stamped));
    if (lines_.size() > kept_lines)
    {
        lines_.pop_front();
    }
}

void run_journal::count(std::string_view what, std::uint64_t value)
{
    ++events_;
    hash_ = base::stable_hash(what, hash_ + value);
}

void run_journal::fail(std::string_view invariant, const std::string& what) const
{
    throw violation(absl::StrCat("invariant=", std::string(invariant), " ", stamp(), " ", what));
}

void run_journal::dump(std::ostream& out) const
{
    for (const auto& line : lines_)
    {
        out << line << '\n';
    }
}

void journal_sink::record(std::string_view kind, std::initializer_list<observe::event_field> fields)
{
    auto line = absl::StrCat(node_, " ", std::string(kind));
    for (const auto& it : fields)
    {
        absl::StrAppend(&line, " ", std::string(it.key), "=", it.value);
    }
    journal_.note(line);
}

} // namespace savoryreach::simulation
