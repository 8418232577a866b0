#ifndef SAVORYREACH_DISPATCH_EVENT_TEXT_HPP
#define SAVORYREACH_DISPATCH_EVENT_TEXT_HPP

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include <string>

namespace savoryreach::dispatch
{

/// Whole milliseconds as the text of a field of an event.
[[nodiscard]] inline std::string ms_text(absl::Duration it)
{
    return absl::StrCat(absl::ToInt64Milliseconds(it));
}

} // namespace savoryreach::dispatch

#endif
