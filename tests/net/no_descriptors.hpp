#ifndef SAVORYREACH_TESTS_NET_NO_DESCRIPTORS_HPP
#define SAVORYREACH_TESTS_NET_NO_DESCRIPTORS_HPP

#include <sys/resource.h>
#include <unistd.h>

namespace savoryreach::net
{

/// Leaves this process without a free descriptor while it lives.
class no_descriptors
{
public:
    no_descriptors()
    {
        ::getrlimit(RLIMIT_NOFILE, &before_);
        const int lowest_free = ::dup(STDIN_FILENO);
        ::close(lowest_free);
        rlimit none = before_;
        none.rlim_cur = static_cast<rlim_t>(lowest_free);
        ::setrlimit(RLIMIT_NOFILE, &none);
    }
    ~no_descriptors() { ::setrlimit(RLIMIT_NOFILE, &before_); }
    no_descriptors(const no_descriptors&) = delete;
    no_descriptors& operator=(const no_descriptors&) = delete;

private:
    rlimit before_ = {};
};

} // namespace savoryreach::net

#endif
