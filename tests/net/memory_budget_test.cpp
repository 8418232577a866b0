#include "savoryreach/net/memory_budget.hpp"

#include <gtest/gtest.h>

namespace savoryreach::net
{
namespace
{

class memory : public ::testing::Test
{
protected:
    using ids = std::vector<memory_budget::id>;

    memory_budget budget_{100};
    memory_budget::id first_ = budget_.add();
    memory_budget::id second_ = budget_.add();
    memory_budget::id third_ = budget_.add();
};

TEST_F(memory, request_beyond_the_limit_closes_the_largest_holder)
{
    EXPECT_TRUE(budget_.request(first_, 60).granted);
    EXPECT_TRUE(budget_.request(second_, 30).granted);
    EXPECT_EQ(budget_.request(third_, 20), (memory_budget::decision{true, ids{first_}}));
    EXPECT_EQ(budget_.used(), 50U);
}

TEST_F(memory, largest_holder_that_asks_for_more_is_refused_and_has_what_it_had)
{
    EXPECT_TRUE(budget_.request(first_, 30).granted);
    EXPECT_TRUE(budget_.request(second_, 60).granted);
    EXPECT_EQ(budget_.request(second_, 71), (memory_budget::decision{false, {}}));
    EXPECT_EQ(budget_.used(), 90U);
}

TEST_F(memory, newest_of_equal_holders_makes_room)
{
    EXPECT_TRUE(budget_.request(first_, 45).granted);
    EXPECT_TRUE(budget_.request(second_, 45).granted);
    EXPECT_EQ(budget_.request(third_, 20), (memory_budget::decision{true, ids{second_}}));
}

TEST_F(memory, kept_holders_make_no_room)
{
    EXPECT_TRUE(budget_.request(first_, 90).granted);
    budget_.keep(first_, 90);
    EXPECT_EQ(budget_.request(second_, 20), (memory_budget::decision{false, {}}));
    budget_.remove(first_);
    EXPECT_TRUE(budget_.request(second_, 20).granted);
    budget_.remove(second_);
    EXPECT_EQ(budget_.used(), 0U);
}

} // namespace
} // namespace savoryreach::net
