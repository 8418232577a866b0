#ifndef SAVORYREACH_SIMULATION_TASK_CONTENT_HPP
#define SAVORYREACH_SIMULATION_TASK_CONTENT_HPP

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <cstdint>
#include <string>
#include <vector>

namespace savoryreach::simulation
{

/// Names one task of one content of a submission id; the simulated payload carries it.
struct task_content
{
    std::string id;
    std::uint32_t variant = 0; ///< differs between contents under the same id
    std::uint32_t task = 0;

    [[nodiscard]] std::string payload() const { return absl::StrCat(id, "/", variant, "/", task); }

    static task_content of(const std::string& payload)
    {
        const std::vector<std::string> parts = absl::StrSplit(payload, '/');
        task_content content;
        content.id = parts.at(0);
        const bool is_read = absl::SimpleAtoi(parts.at(1), &content.variant) &&
                             absl::SimpleAtoi(parts.at(2), &content.task);
        return is_read ? content : task_content{};
    }
};

inline std::string output_of(const std::string& payload)
{
    return absl::StrCat("out:", payload);
}

} // namespace savoryreach::simulation

#endif
