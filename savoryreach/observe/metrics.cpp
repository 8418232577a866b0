#include "savoryreach/observe/metrics.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <cassert>
#include <iterator>

namespace savoryreach::observe
{
namespace
{

std::string escape(const std::string& text)
{
    return absl::StrReplaceAll(text, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
}

std::string label_text(const metrics::labels& with, const std::string& quantile = "")
{
    std::string out;
    for (const auto& [key, value] : with)
    {
        absl::StrAppend(&out, out.empty() ? "" : ",", key, "=\"", escape(value), "\"");
    }
    if (!quantile.empty())
    {
        absl::StrAppend(&out, out.empty() ? "" : ",", "quantile=\"", quantile, "\"");
    }
    return out.empty() ? "" : absl::StrCat("{", out, "}");
}

/// Appends the lines of one measure to a text.
struct line_writer
{
    std::string& out;
    const std::string& name;
    const metrics::labels& with;

    void operator()(const std::unique_ptr<metrics::counter>& it) const
    {
        absl::StrAppend(&out, name, label_text(with), " ", it->load(), "\n");
    }

    void operator()(const std::unique_ptr<metrics::gauge>& it) const
    {
        absl::StrAppend(&out, name, label_text(with), " ", it->load(), "\n");
    }

    void operator()(const std::unique_ptr<histogram>& it) const
    {
        const histogram::summary read = it->read();
        for (std::size_t i = 0; i < read.quantiles.size(); ++i)
        {
            absl::StrAppend(&out, name, label_text(with, absl::StrCat(histogram::probabilities[i])),
                            " ", read.quantiles[i], "\n");
        }
        absl::StrAppend(&out, name, "_sum", label_text(with), " ", read.sum, "\n");
        absl::StrAppend(&out, name, "_count", label_text(with), " ", read.count, "\n");
    }
};

} // namespace

metrics::metrics(std::size_t max_label_sets) : max_label_sets_(max_label_sets) {}

template <typename Measure>
Measure& metrics::measure_of(const std::string& name, const std::string& help, const labels& with)
{
    const std::lock_guard guard(mutex_);
    family& all = families_[name];
    if (all.help.empty())
    {
        all.help = help;
    }
    labels key = with;
    if (!with.empty() && !all.members.contains(with) && all.members.size() >= max_label_sets_)
    {
        for (auto& [label, value] : key)
        {
            value = overflow_label;
        }
    }
    const auto [it, is_new] = all.members.try_emplace(key);
    if (is_new)
    {
        it->second = std::make_unique<Measure>();
    }
    assert(it->second.index() == all.members.begin()->second.index());
    return *std::get<std::unique_ptr<Measure>>(it->second);
}

metrics::counter& metrics::counter_of(const std::string& name, const std::string& help,
                                      const labels& with)
{
    return measure_of<counter>(name, help, with);
}

metrics::gauge& metrics::gauge_of(const std::string& name, const std::string& help,
                                  const labels& with)
{
    return measure_of<gauge>(name, help, with);
}

histogram& metrics::histogram_of(const std::string& name, const std::string& help,
                                 const labels& with)
{
    return measure_of<histogram>(name, help, with);
}

std::string metrics::to_text() const
{
    constexpr const char* type_names[] = {"counter", "gauge", "summary"};
    const std::lock_guard guard(mutex_);
    std::string out;
    for (const auto& [name, all] : families_)
    {
        absl::StrAppend(&out, "# HELP ", name, " ",
                        absl::StrReplaceAll(all.help, {{"\\", "\\\\"}, {"\n", "\\n"}}), "\n");
        absl::StrAppend(&out, "# TYPE ", name, " ", type_names[all.members.begin()->second.index()],
                        "\n");
        for (const auto& [with, member] : all.members)
        {
            std::visit(line_writer{out, name, with}, member);
        }
    }
    return out;
}

} // namespace savoryreach::observe
