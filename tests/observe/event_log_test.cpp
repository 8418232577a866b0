#include "savoryreach/observe/event_log.hpp"

#include "savoryreach/base/seeded_random.hpp"
#include "tests/simulation/virtual_clock.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <sstream>

namespace savoryreach::observe
{
namespace
{

/// A stream buffer that holds the writer back until it is opened.
class gated_buffer final : public std::stringbuf
{
public:
    explicit gated_buffer(std::string& target) : target_(target) {}

    void wait_for_writer()
    {
        std::unique_lock guard(mutex_);
        changed_.wait(guard, [this] { return waiting_; });
    }

    void open()
    {
        const std::lock_guard guard(mutex_);
        open_ = true;
        changed_.notify_all();
    }

protected:
    std::streamsize xsputn(const char* bytes, std::streamsize n) override
    {
        std::unique_lock guard(mutex_);
        waiting_ = true;
        changed_.notify_all();
        changed_.wait(guard, [this] { return open_; });
        target_.append(bytes, static_cast<std::size_t>(n));
        return n;
    }

private:
    std::string& target_;             ///< Receives what is written.
    std::mutex mutex_;                ///< Guards the members below.
    std::condition_variable changed_; ///< Signalled when a member below changes.
    bool waiting_ = false;            ///< The writer has arrived.
    bool open_ = false;               ///< The writer may go on.
};

class event_log_test : public testing::Test
{
public:
    simulation::virtual_clock clock;
    hybrid_clock hybrid{clock};
    std::string written;
};

// Guards against a time line whose order contradicts cause and effect when clocks differ or step.
TEST_F(event_log_test, hybrid_clock_rises_within_a_process_and_over_messages)
{
    simulation::virtual_clock slow_clock;
    slow_clock.advance(-absl::Seconds(5));
    hybrid_clock slow(slow_clock);
    const auto sent = hybrid.now();
    EXPECT_GT(hybrid.now(), sent);
    EXPECT_LT(slow.now(), sent);
    const auto received = slow.receive(sent);
    EXPECT_GT(received, sent);
    slow_clock.advance(-absl::Seconds(60));
    EXPECT_GT(slow.now(), received);
    EXPECT_EQ(hybrid_clock::time_of(sent), clock.wall_now());
    // One wrong clock must not carry the others into the future.
    clock.advance(absl::Hours(1));
    EXPECT_LT(slow.receive(hybrid.now()), received + 10);
}

// Guards against lines that are read back as other events.
TEST_F(event_log_test, any_bytes_in_values_survive_the_line)
{
    constexpr std::uint64_t seed = 5;
    SCOPED_TRACE(testing::Message() << "seed " << seed);
    base::seeded_random random(seed);
    for (int round = 0; round < 500; ++round)
    {
        event_line line{random.next(), clock.wall_now(), "entry 1", round + 1ULL, "task_sent", {}};
        std::string value;
        for (std::uint64_t i = random.below(20); i > 0; --i)
        {
            value.push_back(static_cast<char>(random.below(256)));
        }
        line.fields = {{"reason", value}, {"submission", "swan-lake-17"}};
        const std::string text = line.to_text();
        EXPECT_EQ(text.find('\n'), std::string::npos);
        EXPECT_EQ(event_line::parse(text), line);
        // The death of a process can cut its last line; one cut before its kind is no event.
        const auto cut = event_line::parse(text.substr(0, random.below(text.find("kind="))));
        EXPECT_FALSE(cut);
    }
}

// Guards against a full queue that blocks the control thread, or that loses events silently.
TEST_F(event_log_test, full_queue_drops_counts_and_reports)
{
    gated_buffer buffer(written);
    {
        event_log log(std::make_unique<std::ostream>(&buffer), {"entry-1", hybrid, clock}, 3);
        log.set_incarnation(9);
        log.record("first", {});
        buffer.wait_for_writer();
        for (int i = 0; i < 5; ++i)
        {
            log.record("later", {{"submission", "swan lake"}});
        }
        EXPECT_EQ(log.dropped(), 2);
        buffer.open();
    }
    std::vector<std::string> kinds;
    std::istringstream in(written);
    for (std::string text; std::getline(in, text);)
    {
        const auto line = event_line::parse(text);
        ASSERT_TRUE(line) << text;
        EXPECT_EQ(line->process, "entry-1");
        EXPECT_EQ(line->incarnation, 9);
        kinds.push_back(line->kind);
    }
    EXPECT_THAT(kinds, testing::ElementsAre("first", "later", "later", "later", "events_dropped"));
    EXPECT_THAT(written, testing::HasSubstr("submission=\"swan lake\""));
    EXPECT_THAT(written, testing::HasSubstr("count=2"));
}

} // namespace
} // namespace savoryreach::observe
