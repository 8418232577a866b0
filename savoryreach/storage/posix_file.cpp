#include "savoryreach/storage/posix_file.hpp"

#include <absl/strings/str_cat.h>

#include <cerrno>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace savoryreach::storage
{

std::string posix_error_text(std::string_view operation, std::string_view path, int error_number)
{
    return absl::StrCat(absl::string_view(operation.data(), operation.size()), " ",
                        absl::string_view(path.data(), path.size()), ": ",
                        std::generic_category().message(error_number));
}

posix_file::posix_file(int descriptor, std::string path)
    : descriptor_(descriptor), path_(std::move(path))
{
}

posix_file::~posix_file()
{
    ::close(descriptor_);
}

bool posix_file::write(std::string_view bytes)
{
    while (!bytes.empty())
    {
        const ssize_t n = ::write(descriptor_, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR)
        {
            continue;
        }
        if (n <= 0)
        {
            last_reason_ = posix_error_text("write", path_, n < 0 ? errno : ENOSPC);
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

bool posix_file::sync()
{
    if (::fdatasync(descriptor_) != 0)
    {
        last_reason_ = posix_error_text("fdatasync", path_, errno);
        return false;
    }
    return true;
}

} // namespace savoryreach::storage
