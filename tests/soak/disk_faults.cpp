// Preloaded into the processes of the soak. SAVORYREACH_SOAK_DISK names the folder of a process:
// while a file of that name with the suffix .full exists, the folder takes no changes, as a full
// disk does; while one with the suffix .slow exists, each sync takes as many milliseconds as it
// says; while one with the suffix .stalled exists, writes and syncs wait. If a folder with the
// suffix .durable exists, it holds what a loss of power would leave (power_loss.hpp).

#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdlib>
#include <dlfcn.h>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <string>
#include <sys/stat.h>
#include <sys/types.h>
#include <thread>
#include <unistd.h>

namespace
{

template <typename Function>
Function* real(Function* /*replacement*/, const char* name)
{
    return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

const std::string& disk()
{
    static const char* const text = std::getenv("SAVORYREACH_SOAK_DISK");
    static const std::string out = text == nullptr ? "" : text;
    return out;
}

bool is_on_disk(const std::string& path)
{
    return !disk().empty() && path.compare(0, disk().size() + 1, disk() + "/") == 0;
}

bool exists(const std::string& suffix)
{
    return !disk().empty() && ::access((disk() + suffix).c_str(), F_OK) == 0;
}

std::string path_of(int descriptor)
{
    char path[4096];
    const auto link = "/proc/self/fd/" + std::to_string(descriptor);
    const ssize_t n = ::readlink(link.c_str(), path, sizeof path);
    return n < 0 ? "" : std::string(path, static_cast<std::size_t>(n));
}

bool is_full()
{
    return exists(".full");
}

/// True when a change of \p path is refused; sets errno then.
bool refuses(const std::string& path)
{
    if (!is_full() || !is_on_disk(path))
    {
        return false;
    }
    errno = ENOSPC;
    return true;
}

bool refuses(int descriptor)
{
    return is_full() && refuses(path_of(descriptor));
}

void wait_if_stalled(const std::string& path)
{
    while (is_on_disk(path) && exists(".stalled"))
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

void wait_if_slow(int descriptor)
{
    const auto path = path_of(descriptor);
    wait_if_stalled(path);
    if (is_on_disk(path) || path == disk())
    {
        int delay_ms = 0;
        std::ifstream(disk() + ".slow") >> delay_ms;
        std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms));
    }
}

// ---- what a loss of power leaves ----

std::mutex durable_mutex;

std::string durable(const std::string& path)
{
    return disk() + ".durable" + path.substr(disk().size());
}

/// Appends a renaming or a removal to the list of those that no sync of their folder has covered.
void record_name(const std::string& change)
{
    if (exists(".durable"))
    {
        const std::lock_guard guard(durable_mutex);
        std::ofstream(disk() + ".names", std::ios::app) << change << "\n";
    }
}

std::string folder_of(const std::string& path)
{
    return path.substr(0, path.rfind('/'));
}

void apply_names(const std::string& folder)
{
    std::error_code ec;
    std::string kept;
    std::ifstream names(disk() + ".names");
    std::string from;
    std::string to;
    while (names >> from >> to)
    {
        if (folder_of(from) != folder)
        {
            kept.append(from).append(" ").append(to).append("\n");
        }
        else if (to == "-")
        {
            std::filesystem::remove(durable(from), ec);
        }
        else
        {
            std::filesystem::rename(durable(from), durable(to), ec);
        }
    }
    names.close();
    std::ofstream(disk() + ".names") << kept;
}

void keep_durable(int descriptor)
{
    const auto path = path_of(descriptor);
    if (!exists(".durable") || (!is_on_disk(path) && path != disk()))
    {
        return;
    }
    const std::lock_guard guard(durable_mutex);
    std::error_code ec;
    if (std::filesystem::is_directory(path, ec))
    {
        apply_names(path);
        return;
    }
    // Copied aside first: the process may be killed during the copy.
    const auto kept = durable(path);
    std::filesystem::create_directories(folder_of(kept), ec);
    std::filesystem::copy_file(path, disk() + ".copy",
                               std::filesystem::copy_options::overwrite_existing, ec);
    std::filesystem::rename(disk() + ".copy", kept, ec);
}

} // namespace

extern "C"
{

    ssize_t write(int descriptor, const void* buf, size_t n)
    {
        static auto* const next = real(&write, "write");
        if (exists(".stalled"))
        {
            wait_if_stalled(path_of(descriptor));
        }
        return refuses(descriptor) ? -1 : next(descriptor, buf, n);
    }

    int fsync(int descriptor)
    {
        static auto* const next = real(&fsync, "fsync");
        wait_if_slow(descriptor);
        const int result = next(descriptor);
        if (result == 0)
        {
            keep_durable(descriptor);
        }
        return result;
    }

    int fdatasync(int descriptor)
    {
        static auto* const next = real(&fdatasync, "fdatasync");
        wait_if_slow(descriptor);
        const int result = next(descriptor);
        if (result == 0)
        {
            keep_durable(descriptor);
        }
        return result;
    }

    int ftruncate(int descriptor, off_t size) noexcept
    {
        static auto* const next = real(&ftruncate, "ftruncate");
        // A full disk lets a file be cut.
        struct stat it = {};
        const bool grows = ::fstat(descriptor, &it) != 0 || size > it.st_size;
        return grows && refuses(descriptor) ? -1 : next(descriptor, size);
    }

    int rename(const char* from, const char* to) noexcept
    {
        static auto* const next = real(&rename, "rename");
        if (refuses(std::string(from)))
        {
            return -1;
        }
        const int result = next(from, to);
        if (result == 0 && is_on_disk(from))
        {
            record_name(std::string(from) + " " + to);
        }
        return result;
    }

    int unlink(const char* path) noexcept
    {
        static auto* const next = real(&unlink, "unlink");
        const int result = next(path);
        if (result == 0 && is_on_disk(path))
        {
            record_name(std::string(path) + " -");
        }
        return result;
    }

    int open(const char* path, int flags, ...)
    {
        static auto* const next =
            reinterpret_cast<int (*)(const char*, int, ...)>(::dlsym(RTLD_NEXT, "open"));
        std::va_list arguments;
        va_start(arguments, flags);
        const mode_t mode = (flags & O_CREAT) != 0 ? va_arg(arguments, mode_t) : 0;
        va_end(arguments);
        const bool creates = (flags & O_CREAT) != 0 && ::access(path, F_OK) != 0;
        return creates && refuses(std::string(path)) ? -1 : next(path, flags, mode);
    }

} // extern "C"
