#include "savoryreach/daemon/metrics_service.hpp"

#include <memory>
#include <utility>

namespace savoryreach::daemon
{
namespace
{

constexpr const char* metrics_path = "/metrics";

} // namespace

metrics_service::metrics_service(boost::asio::io_context& io, std::function<std::string()> text)
    : text_(std::move(text)),
      service_(io, {},
               [this](const http_call& call, const std::shared_ptr<http_exchange>& to)
               {
                   const bool known = call.method == "GET" && call.path == metrics_path;
                   http_answer out;
                   out.status = known ? status_ok : status_not_found;
                   out.content_type = "text/plain";
                   out.body = known ? text_() : "no such page\n";
                   to->answer(std::move(out));
               })
{
}

} // namespace savoryreach::daemon
