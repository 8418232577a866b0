#ifndef SAVORYREACH_AGENT_RUN_COUNTERS_HPP
#define SAVORYREACH_AGENT_RUN_COUNTERS_HPP

#include "schema/generated/wire.pb.h"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <string>

namespace savoryreach::agent
{

/// Totals of the runs of an incarnation by kind. Each hello carries them, so that every entry also
/// learns from the runs of the other entries.
class run_counters
{
public:
    void count(const std::string& kind, const schema::task_result& result);
    void clear();
    void write(schema::agent_hello& hello) const;

    [[nodiscard]] std::uint64_t succeeded() const { return succeeded_; }
    [[nodiscard]] std::uint64_t failed() const { return failed_; }

private:
    std::uint64_t succeeded_ = 0;
    std::uint64_t failed_ = 0; ///< includes unknown outcomes
    absl::btree_map<std::string, schema::endpoint_counter> kinds_;
};

} // namespace savoryreach::agent

#endif
