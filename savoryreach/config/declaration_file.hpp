#ifndef SAVORYREACH_CONFIG_DECLARATION_FILE_HPP
#define SAVORYREACH_CONFIG_DECLARATION_FILE_HPP

#include "savoryreach/base/error.hpp"
#include "schema/generated/ledger.pb.h"

#include <optional>
#include <string>
#include <vector>

namespace savoryreach::config
{

/// A JSON file with comments that holds one declaration or an array of them.
class declaration_file
{
public:
    explicit declaration_file(std::string path);

    /// Reads and validates the file. Nullopt when any declaration is refused; see last_reason.
    [[nodiscard]] std::optional<std::vector<schema::declaration>> read();

    /// As read, for a text that is already in memory.
    [[nodiscard]] std::optional<std::vector<schema::declaration>> parse(const std::string& text);

    /// Why the last call failed; the text names the file and the field.
    [[nodiscard]] const base::reason& last_reason() const { return last_reason_; }

private:
    std::string path_;         ///< Named in errors.
    base::reason last_reason_; ///< Why the last call failed.
};

} // namespace savoryreach::config

#endif
