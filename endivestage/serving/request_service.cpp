#include <endivestage/serving/request_service.hpp>

#include <endivestage/daemon/logging.hpp>
#include <endivestage/serving/exchange.hpp>

#include <utility>

namespace endivestage::serving
{

daemon::awaitable<void> request_service::serve(http_request request,
                                               daemon::response_writer& caller)
{
    result<caller_request> decoded = state_.codec.decode_request(request);
    if (!decoded)
    {
        daemon::log_event(daemon::log_level::info, "request_refused",
                          {{"reason", "malformed"}, {"target", request.target}});
        http_response response =
            state_.codec.encode_error(400, errc::invalid_request, execution::not_run, std::nullopt);
        co_await caller.send(std::move(response));
        co_return;
    }
    ++state_.open_requests;
    std::shared_ptr<exchange> handler = std::make_shared<exchange>(
        executor_, state_, std::move(request), std::move(*decoded), caller);
    co_await handler->run();
    --state_.open_requests;
}

} // namespace endivestage::serving
