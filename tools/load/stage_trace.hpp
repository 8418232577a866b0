#ifndef SAVORYREACH_LOAD_STAGE_TRACE_HPP
#define SAVORYREACH_LOAD_STAGE_TRACE_HPP

#include "savoryreach/base/clock.hpp"
#include "savoryreach/observe/event_sink.hpp"
#include "tools/load/outcome.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace savoryreach::load
{

/// Measures how long jobs and tasks stay in each stage, from the time line events of all cores.
class stage_trace final : public observe::event_sink
{
public:
    explicit stage_trace(const base::clock& clock) : clock_(clock) {}

    /// The caller has submitted the job.
    void submitted(const std::string& id) { times_[id] = clock_.now(); }
    void record(std::string_view kind, std::initializer_list<observe::event_field> fields) override;

    [[nodiscard]] const std::map<std::string, stage>& stages() const { return stages_; }

private:
    /// Adds the time since the event stored under \p from to the stage \p name.
    void measure(const std::string& name, const std::string& from);

    const base::clock& clock_;
    absl::flat_hash_map<std::string, absl::Time> times_; ///< of the latest event, by subject
    std::map<std::string, stage> stages_;                ///< by name
};

} // namespace savoryreach::load

#endif
