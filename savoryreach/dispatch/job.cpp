#include "savoryreach/dispatch/job.hpp"

#include <absl/strings/str_cat.h>

namespace savoryreach::dispatch
{

bool job::has_address(const std::string& host, const std::string& path) const
{
    return host == queue.host() && path == absl::StrCat(queue.path_prefix(), format_job_id(id));
}

} // namespace savoryreach::dispatch
