#include "savoryreach/daemon/connection_slots.hpp"
#include "savoryreach/daemon/descriptor_budget.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace savoryreach::daemon
{
namespace
{

using ::testing::ElementsAre;
using ::testing::IsEmpty;

/// Three connections, the most that the service may have.
class connection_slots_test : public ::testing::Test
{
protected:
    connection_slots_test()
        : first_(slots_.add(most).added), second_(slots_.add(most).added),
          third_(slots_.add(most).added)
    {
    }

    static constexpr std::size_t most = 3;
    connection_slots slots_;
    connection_slots::id first_;
    connection_slots::id second_;
    connection_slots::id third_;
};

TEST_F(connection_slots_test, full_service_closes_the_connection_that_is_idle_longest)
{
    slots_.set_serving(first_);
    slots_.set_idle(first_);
    EXPECT_THAT(slots_.add(most).to_close, ElementsAre(second_));
    EXPECT_THAT(slots_.add(most).to_close, ElementsAre(third_));
    EXPECT_THAT(slots_.add(most).to_close, ElementsAre(first_));
    EXPECT_EQ(slots_.size(), most);
    EXPECT_EQ(slots_.closed_for_room(), 3U);
}

TEST_F(connection_slots_test, request_that_arrives_is_kept_before_idle_connections)
{
    slots_.set_reading(first_);
    EXPECT_THAT(slots_.add(most).to_close, ElementsAre(second_));
}

// Callers that send one byte each must not keep all others out.
TEST_F(connection_slots_test, only_incomplete_requests_the_oldest_is_closed)
{
    slots_.set_reading(second_);
    slots_.set_reading(first_);
    slots_.set_reading(third_);
    EXPECT_THAT(slots_.add(most).to_close, ElementsAre(second_));
}

TEST_F(connection_slots_test, all_being_served_the_new_connection_is_closed)
{
    for (const auto it : {first_, second_, third_})
    {
        slots_.set_serving(it);
    }
    const auto refused = slots_.add(most);
    EXPECT_THAT(refused.to_close, ElementsAre(refused.added));
    EXPECT_EQ(slots_.refused(), 1U);
    EXPECT_EQ(slots_.closed_for_room(), 0U);
    slots_.remove(second_);
    EXPECT_THAT(slots_.add(most).to_close, IsEmpty());
}

TEST_F(connection_slots_test, lowered_limit_closes_all_that_are_too_many)
{
    slots_.set_serving(third_);
    EXPECT_THAT(slots_.add(2).to_close, ElementsAre(first_, second_));
}

TEST_F(connection_slots_test, change_of_a_closed_connection_has_no_effect)
{
    slots_.remove(first_);
    slots_.set_idle(first_);
    EXPECT_EQ(slots_.size(), 2U);
    EXPECT_THAT(slots_.add(most).to_close, IsEmpty());
}

TEST(descriptor_budget, callers_leave_the_reserve_and_have_a_quarter_at_least)
{
    EXPECT_EQ(max_caller_connections(3072), 3072 - descriptor_reserve::total);
    EXPECT_EQ(max_caller_connections(1'048'576), max_caller_connections(3072));
    EXPECT_EQ(max_caller_connections(400), 100U);
    EXPECT_EQ(max_caller_connections(0), 0U);
}

} // namespace
} // namespace savoryreach::daemon
