// Clients outside the limits at every port of a front and of an agent, real processes on loopback.

#include "savoryreach/net/frame.hpp"
#include "tests/soak/operators.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <ostream>
#include <sstream>

namespace savoryreach::soak
{
namespace
{

using boost::asio::ip::tcp;

constexpr int memory_mb = 64;
constexpr std::size_t max_descriptors = 512;
constexpr int metrics_port = 9464;

/// What one connection sends: \p head, then \p filler again and again.
struct flood
{
    std::string name;
    std::string head;
    std::string filler;
    bool reads = true;                         ///< takes the answers
    std::size_t step = 65536;                  ///< bytes of one send
    std::size_t max_bytes = 8UL * 1024 * 1024; ///< over all connections of one place in the crowd
};
std::ostream& operator<<(std::ostream& out, const flood& it)
{
    return out << it.name;
}

std::string repeated(const std::string& text, std::size_t size)
{
    std::string out;
    while (out.size() < size)
    {
        out += text;
    }
    return out;
}

const std::string start_line = "POST /jobs/0123456789abcdef HTTP/1.1\r\nHost: soak.example\r\n";
const std::string chunked = start_line + "Transfer-Encoding: chunked\r\n\r\n";
constexpr std::size_t filler_size = 65536;

flood one_request_again(const std::string& name, const std::string& request)
{
    return {.name = name, .head = {}, .filler = request};
}

std::vector<flood> http_floods()
{
    const auto body_of = [](std::size_t size)
    {
        return "Content-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, ' ');
    };
    constexpr std::size_t caller_body = 262144;
    constexpr std::size_t config_body = 4UL * 1024 * 1024;
    const std::string replace = "POST /savoryreach/config/replace HTTP/1.1\r\nHost: a\r\n";
    std::vector<flood> out = {
        {"start_line", "GET /", std::string(filler_size, 'a')},
        {"header", start_line + "X-Long: ", std::string(filler_size, 'a')},
        {"header_fields", start_line, repeated("a:\r\n", filler_size)},
        {"chunk_size", chunked, std::string(filler_size, '0')},
        {"chunk_extension", chunked + "5;a=", std::string(filler_size, 'a')},
        {"last_chunk_extension", chunked + "0;a=", std::string(filler_size, 'a')},
        {"trailers", chunked + "0\r\n", repeated("a: b\r\n", filler_size)},
        {"long_trailer", chunked + "0\r\na: ", std::string(filler_size, 'b')},
        {"empty_lines", "", repeated("\r\n", filler_size)},
        {"body_beyond_limit", chunked, "10000\r\n" + std::string(filler_size, ' ') + "\r\n"},
        one_request_again("body_within_limit", start_line + body_of(caller_body)),
        one_request_again("configuration_within_limit", replace + body_of(config_body)),
        one_request_again("pipelined", repeated("GET /jobs/ HTTP/1.1\r\nHost: soak.example\r\n\r\n",
                                                filler_size)),
        one_request_again("pipelined_reads",
                          repeated("GET /savoryreach/config/read HTTP/1.1\r\nHost: a\r\n\r\n"
                                   "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n",
                                   filler_size)),
    };
    for (const char* unread : {"pipelined", "pipelined_reads"})
    {
        auto it = *std::ranges::find(out, unread, &flood::name);
        it.name += "_answers_not_read";
        it.reads = false;
        out.push_back(it);
    }
    for (const char* slow : {"header_fields", "trailers", "body_beyond_limit"})
    {
        auto it = *std::ranges::find(out, slow, &flood::name);
        it.name += "_byte_by_byte";
        it.step = 1;
        out.push_back(it);
    }
    // An array of a body within the limit has two million values.
    const auto dense = "{\"routes\":[" + repeated("0,", config_body - 100) + "0]}";
    out.push_back(one_request_again("dense_configuration",
                                    replace + "Content-Length: " + std::to_string(dense.size()) +
                                        "\r\n\r\n" + dense));
    return out;
}

std::string hello_of(const std::string& name)
{
    schema::envelope message;
    auto& hello = *message.mutable_hello();
    hello.set_cluster("savoryreach");
    hello.set_node(name);
    hello.set_role("agent");
    hello.set_protocol_version(2);
    std::string out;
    net::append_frame(out, message);
    return out;
}

std::vector<flood> link_floods()
{
    constexpr std::size_t promised = 30UL * 1024 * 1024;
    std::string length(net::frame_header_bytes, '\0');
    for (std::size_t n = 0; n < length.size(); ++n)
    {
        length[n] = static_cast<char>(promised >> (8 * n));
    }
    return {{"frame_before_hello", length, std::string(filler_size, 'x')},
            {"frame_after_hello", hello_of("stranger") + length, std::string(filler_size, 'x')},
            {"hello_again", "", repeated(hello_of("stranger"), filler_size), false},
            {.name = "byte_by_byte", .head = {}, .filler = length + "x", .step = 1}};
}

/// Connections to one address that send the same. A connection that is closed is opened again until
/// its place has sent all bytes.
class crowd
{
public:
    crowd(const std::string& ip, int port, std::size_t size, const flood& sent)
        : to_(boost::asio::ip::make_address(ip), static_cast<std::uint16_t>(port)), sent_(sent)
    {
        for (std::size_t n = 0; n < size; ++n)
        {
            members_.push_back(std::make_unique<member>(io_));
        }
    }

    /// One round over all connections; false when all have sent all.
    bool advance()
    {
        bool busy = false;
        for (const auto& it : members_)
        {
            busy = advance(*it) || busy;
        }
        return busy;
    }

private:
    struct member
    {
        explicit member(boost::asio::io_context& io) : socket(io) {}
        tcp::socket socket;
        std::size_t at = 0;    ///< in head and filler of this connection
        std::size_t total = 0; ///< over all connections
    };

    bool advance(member& it)
    {
        if (it.total >= sent_.max_bytes)
        {
            return false;
        }
        boost::system::error_code ec;
        if (!it.socket.is_open())
        {
            it.at = 0;
            it.socket.open(tcp::v4(), ec);
            it.socket.non_blocking(true, ec);
            it.socket.connect(to_, ec);
            return true;
        }
        if (sent_.reads)
        {
            const auto n = it.socket.receive(boost::asio::buffer(answers_), 0, ec);
            if (n == 0 && ec && ec != boost::asio::error::would_block &&
                ec != boost::asio::error::not_connected)
            {
                it.socket.close(ec);
                return true;
            }
        }
        std::string_view text = sent_.head;
        if (it.at < text.size())
        {
            text.remove_prefix(it.at);
        }
        else
        {
            text = sent_.filler;
            text.remove_prefix((it.at - sent_.head.size()) % sent_.filler.size());
        }
        text = text.substr(0, sent_.step);
        const auto n = it.socket.send(boost::asio::buffer(text), MSG_NOSIGNAL, ec);
        if (ec == boost::asio::error::would_block || ec == boost::asio::error::not_connected)
        {
            return true;
        }
        if (ec)
        {
            it.socket.close(ec);
            return true;
        }
        it.at += n;
        it.total += n;
        return true;
    }

    boost::asio::io_context io_;
    tcp::endpoint to_;
    flood sent_;
    std::vector<std::unique_ptr<member>> members_;
    std::array<char, filler_size> answers_{};
};

class outside_limits : public ::testing::Test
{
protected:
    outside_limits()
    {
        folder_ = std::filesystem::temp_directory_path() /
                  ("savoryreach-outside-" + std::to_string(::getpid()));
        std::filesystem::remove_all(folder_);
        std::filesystem::create_directories(folder_);
        fleet_ = std::make_unique<deployment>(deployment_shape{"outside", 3, 0, 1, 1, memory_mb},
                                              folder_, jobs_, 1);
        front_ = fleet_->fronts().front();
        agent_ = fleet_->all().back().get();
    }
    ~outside_limits() override
    {
        crowds_.clear();
        fleet_.reset();
        if (!HasFailure())
        {
            std::filesystem::remove_all(folder_);
        }
    }

    void SetUp() override
    {
        for (int n = 0; n < tries && !acknowledged(1); ++n)
        {
        }
        ASSERT_EQ(look_up(), 200);
    }
    bool acknowledged(std::int64_t version)
    {
        const auto status = operators::send(front_->ip(), operators::make(version).body);
        std::this_thread::sleep_for(milliseconds(status == 200 ? 0 : 100));
        return status == 200;
    }
    /// The status of a read of the lasting queue at the front; 0 for no answer.
    int look_up()
    {
        httplib::Client to(front_->ip(), deployment::client_port);
        const auto reply =
            to.Get(lasting_queue, {{"Host", soak_host}, {"X-Savoryreach-Deadline-Ms", "5000"}});
        return reply ? reply->status : 0;
    }
    void add(const process& to, int port, std::size_t size, const flood& sent)
    {
        crowds_.push_back(std::make_unique<crowd>(to.ip(), port, size, sent));
    }
    void add_at_all_http_ports(const flood& sent)
    {
        add(*front_, deployment::client_port, 16, sent);
        add(*front_, control_port, 16, sent);
        add(*front_, deployment::ready_port, 8, sent);
        add(*front_, metrics_port, 8, sent);
        add(*agent_, control_port, 16, sent);
        add(*agent_, metrics_port, 8, sent);
    }
    /// Lets the crowds send for the time of an attack at most.
    void run()
    {
        const auto end = clock::now() + attack_time;
        bool busy = true;
        while (busy && clock::now() < end)
        {
            busy = false;
            for (const auto& it : crowds_)
            {
                busy = it->advance() || busy;
            }
            if (++rounds_ % rounds_of_check == 0)
            {
                check_bounds();
            }
            std::this_thread::sleep_for(milliseconds(1));
        }
    }
    void check_bounds()
    {
        for (auto* it : {front_, agent_})
        {
            most_descriptors_ = std::max(most_descriptors_, it->open_descriptors());
        }
    }
    void expect_bounds_and_service()
    {
        check_bounds();
        EXPECT_LE(most_descriptors_, max_descriptors);
        // Connections that are still open go on holding what they hold.
        int status = 0;
        for (int n = 0; n < tries && status != 200; ++n)
        {
            status = look_up();
        }
        EXPECT_EQ(status, 200);
        bool is_acknowledged = false;
        for (int n = 0; n < tries && !is_acknowledged; ++n)
        {
            is_acknowledged = acknowledged(2);
        }
        EXPECT_TRUE(is_acknowledged);
        for (auto* it : {front_, agent_})
        {
            EXPECT_FALSE(it->ended()) << it->name();
            EXPECT_LT(it->peak_memory_kib(), memory_mb * 1024U) << it->name();
            RecordProperty(it->name() + "_peak_kib", std::to_string(it->peak_memory_kib()));
        }
        httplib::Client to_agent(agent_->ip(), control_port);
        const auto reply = to_agent.Get("/");
        EXPECT_TRUE(reply && reply->status == 404);
    }

    static constexpr int tries = 100;
    static constexpr milliseconds attack_time{5000};
    static constexpr int rounds_of_check = 100;

    std::filesystem::path folder_;
    watch jobs_;
    std::unique_ptr<deployment> fleet_;
    std::vector<std::unique_ptr<crowd>> crowds_;
    process* front_ = nullptr;
    process* agent_ = nullptr;
    std::size_t most_descriptors_ = 0;
    int rounds_ = 0;
};

TEST_F(outside_limits, no_crowd_leaves_bounds_kept)
{
    expect_bounds_and_service();
}

class http_flood : public outside_limits, public ::testing::WithParamInterface<flood>
{
};
TEST_P(http_flood, at_all_ports_leaves_bounds_kept)
{
    add_at_all_http_ports(GetParam());
    run();
    expect_bounds_and_service();
}
INSTANTIATE_TEST_SUITE_P(outside, http_flood, ::testing::ValuesIn(http_floods()),
                         [](const auto& it) { return it.param.name; });

class trailers_at_port : public outside_limits, public ::testing::WithParamInterface<const char*>
{
};
TEST_P(trailers_at_port, leave_bounds_kept)
{
    const auto floods = http_floods();
    const auto sent = *std::ranges::find(floods, "trailers", &flood::name);
    const std::string port = GetParam();
    constexpr std::size_t size = 16;
    add(port.starts_with("agent") ? *agent_ : *front_,
        port == "clients"           ? deployment::client_port
        : port == "ready"           ? deployment::ready_port
        : port.ends_with("metrics") ? metrics_port
                                    : control_port,
        size, sent);
    run();
    expect_bounds_and_service();
}
INSTANTIATE_TEST_SUITE_P(outside, trailers_at_port,
                         ::testing::Values("clients", "control", "ready", "metrics",
                                           "agent_control", "agent_metrics"),
                         [](const auto& it) { return std::string(it.param); });

class link_flood : public outside_limits, public ::testing::WithParamInterface<flood>
{
};
TEST_P(link_flood, leaves_bounds_kept)
{
    constexpr std::size_t size = 16;
    add(*front_, deployment::internal_port, size, GetParam());
    run();
    expect_bounds_and_service();
}
INSTANTIATE_TEST_SUITE_P(outside, link_flood, ::testing::ValuesIn(link_floods()),
                         [](const auto& it) { return it.param.name; });

TEST_F(outside_limits, many_links_that_say_no_hello_leave_bounds_kept)
{
    constexpr std::size_t size = 600;
    add(*front_, deployment::internal_port, size, link_floods().back());
    run();
    expect_bounds_and_service();
}

TEST_F(outside_limits, all_floods_at_once_leave_bounds_kept)
{
    for (const auto& it : http_floods())
    {
        add(*front_, deployment::client_port, 2, it);
        add(*front_, control_port, 2, it);
        add(*front_, deployment::ready_port, 1, it);
        add(*front_, metrics_port, 1, it);
        add(*agent_, control_port, 2, it);
    }
    for (const auto& it : link_floods())
    {
        add(*front_, deployment::internal_port, 4, it);
    }
    run();
    expect_bounds_and_service();
}

} // namespace
} // namespace savoryreach::soak
