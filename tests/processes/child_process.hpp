#ifndef SAVORYREACH_PROCESSES_CHILD_PROCESS_HPP
#define SAVORYREACH_PROCESSES_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <string>
#include <vector>

namespace savoryreach::processes
{

/// Starts a program; its output is appended to the file \p output.
[[nodiscard]] pid_t spawn(const std::vector<std::string>& arguments, const std::string& output);

/// First three bytes of the loopback addresses that only this test process uses, so that test
/// processes can run in parallel.
[[nodiscard]] std::string own_network();

} // namespace savoryreach::processes

#endif
