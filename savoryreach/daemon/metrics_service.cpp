#include "savoryreach/daemon/metrics_service.hpp"

#include "savoryreach/daemon/descriptor_budget.hpp"

#include <memory>
#include <utility>

namespace savoryreach::daemon
{
namespace
{

constexpr const char* metrics_path = "/metrics";

} // namespace

metrics_service::metrics_service(boost::asio::io_context& io,
                                 std::function<std::string()> make_text)
    : make_text_(std::move(make_text)),
      service_(io, {"metrics", ""},
               [this](const http_request& request, const std::shared_ptr<http_exchange>& caller)
               {
                   const bool known = request.method == "GET" && request.path == metrics_path;
                   http_response out;
                   out.status = known ? status_ok : status_not_found;
                   out.content_type = "text/plain";
                   out.body = known ? make_text_() : "no such page\n";
                   caller->respond(std::move(out));
               })
{
    service_.limit_connections(descriptor_reserve::metrics);
    service_.limit_memory(memory_shares::of(0).metrics);
}

} // namespace savoryreach::daemon
