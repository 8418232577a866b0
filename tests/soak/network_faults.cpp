// Preloaded into the processes of the soak: connections to hosts that the process does not reach go
// silent for good, and the time of day is shifted. process_faults.hpp says what is in force.

#include "tests/soak/process_faults.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <ctime>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

namespace
{

using savoryreach::soak::process_faults;
using savoryreach::soak::reach;

template <typename Function>
Function* real(Function* /*replacement*/, const char* name)
{
    return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

const process_faults* map_faults()
{
    const char* path = std::getenv(savoryreach::soak::faults_variable);
    const int descriptor = path == nullptr ? -1 : ::open(path, O_RDONLY | O_CLOEXEC);
    if (descriptor < 0)
    {
        return nullptr;
    }
    void* at = ::mmap(nullptr, sizeof(process_faults), PROT_READ, MAP_SHARED, descriptor, 0);
    ::close(descriptor);
    return at == MAP_FAILED ? nullptr : static_cast<const process_faults*>(at);
}

const process_faults* faults()
{
    static const process_faults* const out = map_faults();
    return out;
}

constexpr std::size_t max_descriptors = 16384;
constexpr std::uint8_t lost_out = 1;
constexpr std::uint8_t lost_in = 2;

/// Directions in which a connection has lost data, by descriptor. A stream with a gap must deliver
/// nothing more, so a direction stays lost until the descriptor is closed.
std::array<std::atomic<std::uint8_t>, max_descriptors> lost = {};

reach reach_of(const sockaddr_in& address)
{
    constexpr std::uint32_t last_byte = 0xff;
    return address.sin_family != AF_INET
               ? reach::both
               : faults()->reaches[ntohl(address.sin_addr.s_addr) & last_byte].load();
}

bool loses(reach how, std::uint8_t direction)
{
    return how == reach::none || how == (direction == lost_out ? reach::hears : reach::is_heard);
}

bool is_lost(int descriptor, std::uint8_t direction)
{
    if (faults() == nullptr || descriptor < 0 ||
        static_cast<std::size_t>(descriptor) >= max_descriptors)
    {
        return false;
    }
    auto& state = lost[static_cast<std::size_t>(descriptor)];
    if ((state.load() & direction) == 0)
    {
        sockaddr_in peer = {};
        socklen_t size = sizeof peer;
        if (::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) == 0 &&
            loses(reach_of(peer), direction))
        {
            state |= direction;
        }
    }
    return (state.load() & direction) != 0;
}

ssize_t nothing_arrives()
{
    errno = EAGAIN;
    return -1;
}

ssize_t size_of(const msghdr* message)
{
    ssize_t out = 0;
    for (std::size_t n = 0; n < message->msg_iovlen; ++n)
    {
        out += static_cast<ssize_t>(message->msg_iov[n].iov_len);
    }
    return out;
}

} // namespace

extern "C"
{

    ssize_t send(int descriptor, const void* buf, size_t n, int flags)
    {
        static auto* const next = real(&send, "send");
        return is_lost(descriptor, lost_out) ? static_cast<ssize_t>(n)
                                             : next(descriptor, buf, n, flags);
    }

    ssize_t sendmsg(int descriptor, const msghdr* message, int flags)
    {
        static auto* const next = real(&sendmsg, "sendmsg");
        return is_lost(descriptor, lost_out) ? size_of(message) : next(descriptor, message, flags);
    }

    ssize_t recv(int descriptor, void* buf, size_t n, int flags)
    {
        static auto* const next = real(&recv, "recv");
        return is_lost(descriptor, lost_in) ? nothing_arrives() : next(descriptor, buf, n, flags);
    }

    ssize_t recvmsg(int descriptor, msghdr* message, int flags)
    {
        static auto* const next = real(&recvmsg, "recvmsg");
        return is_lost(descriptor, lost_in) ? nothing_arrives() : next(descriptor, message, flags);
    }

    int connect(int descriptor, const sockaddr* address, socklen_t size)
    {
        static auto* const next = real(&connect, "connect");
        if (faults() != nullptr && size >= sizeof(sockaddr_in))
        {
            auto to = *reinterpret_cast<const sockaddr_in*>(address);
            if (reach_of(to) != reach::both)
            {
                to.sin_addr.s_addr = faults()->silent_ip;
                to.sin_port = faults()->silent_port;
                return next(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof to);
            }
        }
        return next(descriptor, address, size);
    }

    int close(int descriptor)
    {
        static auto* const next = real(&close, "close");
        if (descriptor >= 0 && static_cast<std::size_t>(descriptor) < max_descriptors)
        {
            lost[static_cast<std::size_t>(descriptor)] = 0;
        }
        return next(descriptor);
    }

    int clock_gettime(clockid_t id, timespec* out) noexcept
    {
        static auto* const next = real(&clock_gettime, "clock_gettime");
        const int result = next(id, out);
        if (result == 0 && id == CLOCK_REALTIME && faults() != nullptr)
        {
            constexpr std::int64_t ms_per_s = 1000;
            constexpr std::int64_t ns_per_ms = 1'000'000;
            const std::int64_t offset_ms = faults()->clock_offset_ms;
            out->tv_sec += offset_ms / ms_per_s;
            out->tv_nsec += offset_ms % ms_per_s * ns_per_ms;
            constexpr std::int64_t ns_per_s = ms_per_s * ns_per_ms;
            if (out->tv_nsec >= ns_per_s || out->tv_nsec < 0)
            {
                const int carry = out->tv_nsec < 0 ? -1 : 1;
                out->tv_sec += carry;
                out->tv_nsec -= carry * ns_per_s;
            }
        }
        return result;
    }

} // extern "C"
