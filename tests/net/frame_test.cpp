#include "savoryreach/net/frame.hpp"

#include <gtest/gtest.h>

#include <random>

namespace savoryreach::net
{
namespace
{

class frame_test : public testing::Test
{
protected:
    static std::string stream_of(int n)
    {
        std::string out;
        for (int index = 0; index < n; ++index)
        {
            schema::envelope message;
            message.mutable_hello()->set_node("node-" + std::to_string(index));
            append_frame(out, message);
        }
        return out;
    }
};

// Guards against messages lost or merged when the stream arrives in pieces of any size.
TEST_F(frame_test, stream_in_pieces_yields_every_message_once)
{
    constexpr int count = 20;
    const auto stream = stream_of(count);
    for (std::size_t chunk_size = 1; chunk_size < 40; ++chunk_size)
    {
        frame_decoder decoder;
        int seen = 0;
        for (std::size_t begin = 0; begin < stream.size(); begin += chunk_size)
        {
            decoder.feed(std::string_view(stream).substr(begin, chunk_size));
            while (const auto message = decoder.next())
            {
                EXPECT_EQ(message->hello().node(), "node-" + std::to_string(seen));
                ++seen;
            }
        }
        EXPECT_EQ(seen, count);
    }
}

// A link was closed by a message with text of a caller that is not UTF-8, and an entry of the log
// with such text was never committed.
TEST_F(frame_test, text_of_any_bytes_is_decoded)
{
    const std::string text = "\xa9"
                             "en\xe8"
                             "ur";
    schema::envelope message;
    auto& config =
        *message.mutable_append_request()->add_entries()->mutable_command()->mutable_fleet_config();
    config.add_queues()->set_name(text);
    config.add_services()->set_name(text);
    auto& claims =
        *message.mutable_append_request()->add_entries()->mutable_command()->mutable_claims();
    claims.add_claims()->set_submission_id(text);
    schema::envelope request;
    request.mutable_front_request()->mutable_submit()->set_path(text);
    request.mutable_front_request()->mutable_submit()->mutable_spec()->set_payload(text);
    schema::envelope report;
    report.mutable_endpoint_report()->add_labels(text);
    std::string stream;
    for (const auto& it : {message, request, report})
    {
        append_frame(stream, it);
    }
    frame_decoder decoder;
    decoder.feed(stream);
    for (const auto& it : {message, request, report})
    {
        const auto decoded = decoder.next();
        ASSERT_TRUE(decoded) << decoder.error()->text;
        EXPECT_EQ(decoded->SerializeAsString(), it.SerializeAsString());
    }
}

// Guards against unbounded allocation when a peer speaks another protocol.
TEST_F(frame_test, length_over_the_bound_ends_the_stream)
{
    frame_decoder decoder;
    decoder.feed("\xff\xff\xff\xffGET / HTTP/1.1");
    EXPECT_FALSE(decoder.next());
    ASSERT_TRUE(decoder.error());
    EXPECT_EQ(decoder.error()->kind, base::error_kind::too_large);
}

// Guards against a crash on bytes that no process of this cluster sent.
TEST_F(frame_test, mutated_streams_never_crash)
{
    std::mt19937_64 engine(23);
    const auto original = stream_of(4);
    constexpr int runs = 20'000;
    for (int n = 0; n < runs; ++n)
    {
        auto stream = original;
        for (auto changes = 1 + engine() % 4; changes > 0; --changes)
        {
            stream[engine() % stream.size()] = static_cast<char>(engine() % 256);
        }
        frame_decoder decoder;
        decoder.feed(stream);
        int seen = 0;
        while (decoder.next())
        {
            ++seen;
        }
        EXPECT_LE(seen, static_cast<int>(stream.size() / frame_header_bytes));
    }
}

} // namespace
} // namespace savoryreach::net
