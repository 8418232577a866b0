#include "savoryreach/base/error.hpp"

#include <gtest/gtest.h>

namespace savoryreach::base
{
namespace
{

class error_table_test : public testing::Test
{
};

// Guards against a refusal kind that would not tell the caller that nothing ran.
TEST_F(error_table_test, refusal_kinds_claim_not_run)
{
    for (std::uint32_t value = 20; value < 40; ++value)
    {
        const auto kind = error_kind_from(value);
        if (kind != error_kind::internal)
        {
            EXPECT_EQ(traits_of(kind).claim, not_run::yes) << traits_of(kind).name;
        }
    }
}

// Guards against a failure after a start that claims that nothing ran.
TEST_F(error_table_test, failure_kinds_never_claim_not_run)
{
    for (std::uint32_t value = 40; value < 60; ++value)
    {
        EXPECT_NE(traits_of(error_kind_from(value)).claim, not_run::yes) << value;
    }
}

// Guards against a number from a newer peer being read as some other kind.
TEST_F(error_table_test, unlisted_number_maps_to_internal)
{
    EXPECT_EQ(error_kind_from(9999), error_kind::internal);
}

} // namespace
} // namespace savoryreach::base
