#ifndef SAVORYREACH_TESTS_SOAK_POWER_LOSS_HPP
#define SAVORYREACH_TESTS_SOAK_POWER_LOSS_HPP

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>

namespace savoryreach::soak
{

/// What a loss of power leaves of a folder whose process disk_faults.cpp has watched.
///
/// Synced content stays. Each later change of a name, and each part of what was written later,
/// stays or is lost by itself; or all of them are lost.
class power_loss
{
public:
    power_loss(std::filesystem::path folder, std::uint64_t seed)
        : folder_(std::move(folder)), durable_(folder_.string() + ".durable"),
          names_(folder_.string() + ".names"), random_(seed), loses_all_(random_() % 4 == 0)
    {
    }

    /// To be called while no process uses the folder.
    void strike()
    {
        namespace fs = std::filesystem;
        apply_some_names();
        if (!loses_all_)
        {
            for (const auto& it : fs::recursive_directory_iterator(folder_))
            {
                if (it.is_regular_file())
                {
                    keep_some_bytes(it.path());
                }
            }
        }
        for (const auto& it : fs::recursive_directory_iterator(folder_))
        {
            if (it.is_directory())
            {
                fs::create_directories(durable_ / fs::relative(it.path(), folder_));
            }
        }
        fs::remove_all(folder_);
        fs::copy(durable_, folder_, fs::copy_options::recursive);
    }

    /// Begins to watch \p folder, or begins anew after its content was lost.
    static void watch(const std::filesystem::path& folder)
    {
        namespace fs = std::filesystem;
        fs::remove_all(folder.string() + ".durable");
        fs::remove(folder.string() + ".names");
        fs::create_directories(folder);
        fs::copy(folder, folder.string() + ".durable", fs::copy_options::recursive);
    }

private:
    [[nodiscard]] std::filesystem::path in_durable(const std::filesystem::path& path) const
    {
        return durable_ / std::filesystem::relative(path, folder_);
    }

    void apply_some_names()
    {
        std::ifstream names(names_);
        std::string from;
        std::string to;
        std::error_code ec;
        while (names >> from >> to)
        {
            if (loses_all_ || random_() % 2 == 0)
            {
                continue;
            }
            if (to == "-")
            {
                std::filesystem::remove(in_durable(from), ec);
            }
            else
            {
                std::filesystem::rename(in_durable(from), in_durable(to), ec);
            }
        }
        names.close();
        std::filesystem::remove(names_);
    }

    static std::string content_of(const std::filesystem::path& path)
    {
        std::ifstream file(path, std::ios::binary);
        return {std::istreambuf_iterator<char>(file), {}};
    }

    /// A file that was never synced may be gone; what was written behind the synced part of a file
    /// may be there up to any byte, with a sector of it missing.
    void keep_some_bytes(const std::filesystem::path& path)
    {
        const auto kept = in_durable(path);
        const bool is_known = std::filesystem::exists(kept);
        if (!is_known && random_() % 2 == 0)
        {
            return;
        }
        auto content = content_of(path);
        const auto synced = is_known ? content_of(kept).size() : 0;
        if (content.size() <= synced)
        {
            return;
        }
        content.resize(synced + random_() % (content.size() - synced + 1));
        constexpr std::size_t sector_bytes = 512;
        if (random_() % 3 == 0 && content.size() > synced)
        {
            const auto at = synced + random_() % (content.size() - synced);
            std::fill(content.begin() + static_cast<std::ptrdiff_t>(at),
                      content.begin() +
                          static_cast<std::ptrdiff_t>(std::min(content.size(), at + sector_bytes)),
                      '\0');
        }
        std::ofstream(kept, std::ios::binary) << content;
    }

    std::filesystem::path folder_;
    std::filesystem::path durable_;
    std::filesystem::path names_;
    std::mt19937_64 random_;
    bool loses_all_;
};

} // namespace savoryreach::soak

#endif
