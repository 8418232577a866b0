#include "savoryreach/observe/metrics.hpp"

#include "savoryreach/base/seeded_random.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace savoryreach::observe
{
namespace
{

class metrics_test : public testing::Test
{
public:
    metrics registry{2};
};

// Guards against text that scrapers refuse.
TEST_F(metrics_test, text_has_help_type_escaped_labels_and_values)
{
    registry.counter_of("starts_total", "Task starts.", {{"kind", "a\"b\\c\nd"}}) += 3;
    registry.gauge_of("waiting", "Waiting tasks.") = 1.5;
    auto& run = registry.histogram_of("run_seconds", "Run time.", {{"kind", "proof"}});
    for (int i = 1; i <= 4; ++i)
    {
        run.observe(i);
    }
    EXPECT_EQ(registry.to_text(), R"(# HELP run_seconds Run time.
# TYPE run_seconds summary
run_seconds{kind="proof",quantile="0.5"} 3
run_seconds{kind="proof",quantile="0.9"} 4
run_seconds{kind="proof",quantile="0.99"} 4
run_seconds_sum{kind="proof"} 10
run_seconds_count{kind="proof"} 4
# HELP starts_total Task starts.
# TYPE starts_total counter
starts_total{kind="a\"b\\c\nd"} 3
# HELP waiting Waiting tasks.
# TYPE waiting gauge
waiting 1.5
)");
}

// Guards against memory that grows with the names that callers invent.
TEST_F(metrics_test, label_sets_above_the_bound_share_one)
{
    for (const char* team : {"a", "b", "c", "d", "a"})
    {
        ++registry.counter_of("jobs_total", "Jobs.", {{"team", team}});
    }
    EXPECT_THAT(registry.to_text(), testing::HasSubstr("jobs_total{team=\"a\"} 2\n"
                                                       "jobs_total{team=\"b\"} 1\n"
                                                       "jobs_total{team=\"other\"} 2\n"));
}

// Guards against quantiles that are far off; P-square estimates lie within a few percent.
TEST_F(metrics_test, quantiles_of_uniform_values_are_close)
{
    constexpr std::uint64_t seed = 11;
    SCOPED_TRACE(testing::Message() << "seed " << seed);
    base::seeded_random random(seed);
    histogram values;
    for (int i = 0; i < 20'000; ++i)
    {
        values.observe(random.unit());
    }
    values.observe(std::numeric_limits<double>::quiet_NaN());
    const auto read = values.read();
    EXPECT_EQ(read.count, 20'000);
    EXPECT_NEAR(read.mean, 0.5, 0.02);
    ASSERT_EQ(read.quantiles.size(), 3);
    EXPECT_NEAR(read.quantiles[0], 0.5, 0.02);
    EXPECT_NEAR(read.quantiles[1], 0.9, 0.02);
    EXPECT_NEAR(read.quantiles[2], 0.99, 0.02);
}

} // namespace
} // namespace savoryreach::observe
