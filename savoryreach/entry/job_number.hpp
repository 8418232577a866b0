#ifndef SAVORYREACH_ENTRY_JOB_NUMBER_HPP
#define SAVORYREACH_ENTRY_JOB_NUMBER_HPP

#include <cstdint>

namespace savoryreach::entry
{

/// Identifies a job within one entry process; never reused.
enum class job_number : std::uint64_t
{
};

} // namespace savoryreach::entry

#endif
