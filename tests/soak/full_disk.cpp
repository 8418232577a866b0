// Preloaded into the processes of the soak. While the file that SAVORYREACH_SOAK_FULL_DISK names
// exists, the folder of that name without its suffix takes no changes, as a full disk does.

#include <cerrno>
#include <cstdarg>
#include <cstdlib>
#include <dlfcn.h>
#include <fcntl.h>
#include <string>
#include <sys/stat.h>
#include <sys/types.h>
#include <unistd.h>

namespace
{

template <typename Function>
Function* real(Function* /*replacement*/, const char* name)
{
    return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

const std::string& mark()
{
    static const char* text = std::getenv("SAVORYREACH_SOAK_FULL_DISK");
    static const std::string out = text == nullptr ? "" : text;
    return out;
}

/// True when \p path is on the disk and the disk is full; sets errno then.
bool refuses(const std::string& path)
{
    const std::string folder = mark().substr(0, mark().rfind('.')) + "/";
    if (mark().empty() || path.compare(0, folder.size(), folder) != 0 ||
        ::access(mark().c_str(), F_OK) != 0)
    {
        return false;
    }
    errno = ENOSPC;
    return true;
}

bool refuses(int descriptor)
{
    if (mark().empty() || ::access(mark().c_str(), F_OK) != 0)
    {
        return false;
    }
    char path[4096];
    const ssize_t n =
        ::readlink(("/proc/self/fd/" + std::to_string(descriptor)).c_str(), path, sizeof path);
    return n > 0 && refuses(std::string(path, static_cast<std::size_t>(n)));
}

} // namespace

extern "C"
{

    ssize_t write(int descriptor, const void* buf, size_t n)
    {
        static auto* const next = real(&write, "write");
        return refuses(descriptor) ? -1 : next(descriptor, buf, n);
    }

    int ftruncate(int descriptor, off_t size) noexcept
    {
        static auto* const next = real(&ftruncate, "ftruncate");
        return refuses(descriptor) ? -1 : next(descriptor, size);
    }

    int rename(const char* from, const char* to) noexcept
    {
        static auto* const next = real(&rename, "rename");
        return refuses(std::string(from)) ? -1 : next(from, to);
    }

    int unlink(const char* path) noexcept
    {
        static auto* const next = real(&unlink, "unlink");
        return refuses(std::string(path)) ? -1 : next(path);
    }

    int open(const char* path, int flags, ...)
    {
        static auto* const next =
            reinterpret_cast<int (*)(const char*, int, ...)>(::dlsym(RTLD_NEXT, "open"));
        std::va_list arguments;
        va_start(arguments, flags);
        const mode_t mode = (flags & O_CREAT) != 0 ? va_arg(arguments, mode_t) : 0;
        va_end(arguments);
        return (flags & O_CREAT) != 0 && refuses(std::string(path)) ? -1 : next(path, flags, mode);
    }

} // extern "C"
