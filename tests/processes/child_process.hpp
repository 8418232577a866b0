#ifndef SAVORYREACH_PROCESSES_CHILD_PROCESS_HPP
#define SAVORYREACH_PROCESSES_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <string>
#include <vector>

namespace savoryreach::processes
{

/// Starts a program; its output is appended to the file \p output.
[[nodiscard]] pid_t spawn(const std::vector<std::string>& arguments, const std::string& output);

/// First three bytes of loopback addresses that belong to this test process alone, so that tests
/// can run side by side.
[[nodiscard]] std::string own_network();

} // namespace savoryreach::processes

#endif
