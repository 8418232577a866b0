#include "tests/processes/child_process.hpp"

#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <spawn.h>
#include <unistd.h>

extern char** environ;

namespace savoryreach::processes
{

pid_t spawn(const std::vector<std::string>& arguments, const std::string& output)
{
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (const auto& it : arguments)
    {
        argv.push_back(const_cast<char*>(it.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // Sockets of the test, such as connections that it holds open, are not the program's.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    pid_t pid = 0;
    const int ec = posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    EXPECT_EQ(ec, 0) << arguments[0];
    return pid;
}

std::string own_network()
{
    const auto pid = static_cast<unsigned>(getpid());
    return absl::StrCat("127.", 16 + (pid >> 8U) % 200, ".", pid % 256);
}

} // namespace savoryreach::processes
