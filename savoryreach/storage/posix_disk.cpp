#include "savoryreach/storage/posix_disk.hpp"

#include "savoryreach/storage/posix_file.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace savoryreach::storage
{
namespace
{

constexpr mode_t file_mode = 0640;
constexpr mode_t folder_mode = 0750;

std::unique_ptr<posix_file> open_file(const std::string& path, int flags)
{
    const int descriptor = ::open(path.c_str(), flags | O_CLOEXEC, file_mode);
    return descriptor < 0 ? nullptr : std::make_unique<posix_file>(descriptor, path);
}

} // namespace

bool posix_disk::fail(const char* operation, const std::string& path)
{
    last_reason_ = posix_error_text(operation, path, errno);
    return false;
}

bool posix_disk::make_folder(const std::string& path)
{
    if (::mkdir(path.c_str(), folder_mode) != 0)
    {
        return errno == EEXIST || fail("mkdir", path);
    }
    const auto slash = path.find_last_of('/');
    if (slash == std::string::npos)
    {
        return sync_folder(".");
    }
    return sync_folder(slash == 0 ? "/" : path.substr(0, slash));
}

std::optional<std::vector<std::string>> posix_disk::list(const std::string& folder)
{
    DIR* dir = ::opendir(folder.c_str());
    if (dir == nullptr)
    {
        fail("opendir", folder);
        return std::nullopt;
    }
    std::vector<std::string> names;
    errno = 0;
    while (const dirent* it = ::readdir(dir))
    {
        struct stat info = {};
        if (::fstatat(::dirfd(dir), it->d_name, &info, 0) == 0 && S_ISREG(info.st_mode))
        {
            names.emplace_back(it->d_name);
        }
        errno = 0;
    }
    const bool read_error = errno != 0;
    if (read_error)
    {
        fail("readdir", folder);
    }
    ::closedir(dir);
    if (read_error)
    {
        return std::nullopt;
    }
    std::ranges::sort(names);
    return names;
}

std::unique_ptr<disk_file> posix_disk::create(const std::string& path)
{
    auto file = open_file(path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND);
    if (!file)
    {
        fail("open", path);
    }
    return file;
}

std::unique_ptr<disk_file> posix_disk::lock(const std::string& path)
{
    auto file = open_file(path, O_RDWR | O_CREAT);
    if (!file)
    {
        fail("open", path);
        return nullptr;
    }
    if (::flock(file->descriptor(), LOCK_EX | LOCK_NB) != 0)
    {
        fail("flock", path);
        return nullptr;
    }
    return file;
}

std::optional<std::string> posix_disk::read(const std::string& path)
{
    const auto file = open_file(path, O_RDONLY);
    if (!file)
    {
        fail("open", path);
        return std::nullopt;
    }
    std::string content;
    struct stat info = {};
    if (::fstat(file->descriptor(), &info) == 0)
    {
        content.reserve(static_cast<std::size_t>(info.st_size));
    }
    constexpr std::size_t chunk_bytes = 65'536;
    std::array<char, chunk_bytes> buf{};
    for (;;)
    {
        const ssize_t n = ::read(file->descriptor(), buf.data(), buf.size());
        if (n < 0 && errno == EINTR)
        {
            continue;
        }
        if (n < 0)
        {
            fail("read", path);
            return std::nullopt;
        }
        if (n == 0)
        {
            return content;
        }
        content.append(buf.data(), static_cast<std::size_t>(n));
    }
}

bool posix_disk::truncate(const std::string& path, std::uint64_t size)
{
    const auto file = open_file(path, O_WRONLY);
    if (!file)
    {
        return fail("open", path);
    }
    if (::ftruncate(file->descriptor(), static_cast<off_t>(size)) != 0)
    {
        return fail("ftruncate", path);
    }
    return ::fsync(file->descriptor()) == 0 || fail("fsync", path);
}

bool posix_disk::sync(const std::string& path)
{
    const auto file = open_file(path, O_WRONLY);
    if (!file)
    {
        return fail("open", path);
    }
    return ::fsync(file->descriptor()) == 0 || fail("fsync", path);
}

bool posix_disk::rename(const std::string& from, const std::string& to)
{
    return ::rename(from.c_str(), to.c_str()) == 0 || fail("rename", from);
}

bool posix_disk::remove(const std::string& path)
{
    return ::unlink(path.c_str()) == 0 || fail("unlink", path);
}

bool posix_disk::sync_folder(const std::string& folder)
{
    const auto file = open_file(folder, O_RDONLY | O_DIRECTORY);
    if (!file)
    {
        return fail("open", folder);
    }
    return ::fsync(file->descriptor()) == 0 || fail("fsync", folder);
}

} // namespace savoryreach::storage
