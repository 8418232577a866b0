#include "savoryreach/base/digest.hpp"

#include <gtest/gtest.h>

namespace savoryreach::base
{
namespace
{

class digest_test : public testing::Test
{
};

// Guards against a hash that differs between processes, which would give one submission two homes.
TEST_F(digest_test, stable_hash_of_fixed_input_keeps_its_value)
{
    EXPECT_EQ(stable_hash("swan-lake-17"), stable_hash("swan-lake-17"));
    EXPECT_NE(stable_hash("swan-lake-17", 1), stable_hash("swan-lake-17", 2));
    EXPECT_EQ(to_hex(content_digest("")), "99aa06d3014798d86001c324468d497f");
}

} // namespace
} // namespace savoryreach::base
