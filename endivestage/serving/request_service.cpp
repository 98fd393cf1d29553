#include <endivestage/serving/request_service.hpp>

#include <endivestage/daemon/logging.hpp>
#include <endivestage/serving/exchange.hpp>

#include <exception>
#include <utility>

namespace endivestage::serving
{

namespace
{

/// Counts an open request for as long as it exists, also when its handler throws.
class open_request_count
{
public:
    explicit open_request_count(router_state& state) : state_(state) { ++state_.open_requests; }
    ~open_request_count() { --state_.open_requests; }
    open_request_count(const open_request_count&) = delete;
    open_request_count& operator=(const open_request_count&) = delete;

private:
    router_state& state_;
};

} // namespace

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
    const open_request_count counted(state_);
    std::shared_ptr<exchange> handler = std::make_shared<exchange>(
        executor_, state_, std::move(request), std::move(*decoded), caller);
    // Not removed by a destructor: suspended coroutines may be destroyed after the service.
    open_.insert(handler.get());
    std::exception_ptr failure;
    try
    {
        co_await handler->run();
    }
    catch (const std::exception&)
    {
        failure = std::current_exception();
    }
    open_.erase(handler.get());
    if (failure)
    {
        std::rethrow_exception(failure);
    }
}

void request_service::end_open_requests()
{
    for (exchange* handler : open_)
    {
        handler->stop();
    }
}

} // namespace endivestage::serving
