#include "platform/evacuation_call.hpp"

#include <gtest/gtest.h>

namespace savoryreach::platform
{
namespace
{

class evacuation_call : public ::testing::Test
{
protected:
    [[nodiscard]] std::optional<schema::evacuation_change> decode(const std::string& path)
    {
        error_.clear();
        return decode_evacuation(path, data_centres_, error_);
    }

    const std::vector<std::string> data_centres_ = {"north", "a b/c", "begin"};
    std::string error_;
};

TEST_F(evacuation_call, name_and_change_are_read_from_the_path)
{
    const auto begins = decode("/savoryreach/evacuations/north/begin");
    ASSERT_TRUE(begins) << error_;
    EXPECT_EQ(begins->data_centre(), "north");
    EXPECT_FALSE(begins->ends());
    const auto ends = decode("/savoryreach/evacuations/a%20b%2Fc/finish");
    ASSERT_TRUE(ends) << error_;
    EXPECT_EQ(ends->data_centre(), "a b/c");
    EXPECT_TRUE(ends->ends());
    EXPECT_TRUE(decode("/savoryreach/evacuations/begin/finish")->ends());
}

TEST_F(evacuation_call, name_that_is_unknown_or_badly_encoded_has_a_reason)
{
    for (const char* name : {"south", "", "north%", "north%2", "%zz", "north%00", "%ff", "NORTH"})
    {
        const auto path = std::string("/savoryreach/evacuations/") + name + "/begin";
        EXPECT_TRUE(is_evacuation_call(path));
        EXPECT_FALSE(decode(path)) << name;
        EXPECT_FALSE(error_.empty());
    }
}

TEST_F(evacuation_call, other_paths_are_no_such_call)
{
    for (const char* path : {"/savoryreach/evacuations/north", "/savoryreach/evacuations/begin",
                             "/savoryreach/evacuations/north/stop", "/savoryreach/config/replace",
                             "/savoryreach/evacuations/north/begin/"})
    {
        EXPECT_FALSE(is_evacuation_call(path)) << path;
    }
}

} // namespace
} // namespace savoryreach::platform
