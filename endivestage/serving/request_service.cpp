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
class open_count
{
public:
    explicit open_count(std::size_t& count) : count_(count) { ++count_; }
    ~open_count() { --count_; }
    open_count(const open_count&) = delete;
    open_count& operator=(const open_count&) = delete;

private:
    std::size_t& count_;
};

/// Retry delay of a refused handover; the first router asks others before it passes it on.
constexpr millis retry_after_refusal{250};

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
    std::shared_ptr<exchange> handler = std::make_shared<exchange>(
        executor_, state_, std::move(request), std::move(*decoded), caller);
    co_await run(std::move(handler));
}

daemon::awaitable<void> request_service::run(std::shared_ptr<exchange> handler)
{
    const open_count counted(state_.open_requests);
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

std::optional<handover_refusal> request_service::find_refusal(const handover_info& info) const
{
    if (!state_.is_ready())
    {
        return handover_refusal::not_ready;
    }
    if (state_.reach.cut_off_since() && state_.pool.size() == 0)
    {
        return handover_refusal::cut_off;
    }
    if (state_.taken_requests >= state_.max_taken_requests)
    {
        return handover_refusal::busy;
    }
    if (state_.routes->version() < info.config_version)
    {
        return handover_refusal::stale;
    }
    return std::nullopt;
}

daemon::awaitable<void> request_service::serve_taken(http_request request,
                                                     daemon::response_writer& caller)
{
    handover_writer writer(caller);
    const result<handover_info> info = take_handover(request);
    result<caller_request> decoded = state_.codec.decode_request(request);
    std::optional<handover_refusal> refusal = handover_refusal::malformed;
    if (info && decoded)
    {
        refusal = find_refusal(*info);
    }
    if (refusal)
    {
        daemon::log_event(daemon::log_level::info, "handover_refused",
                          {{"request", decoded ? decoded->id : request_id()},
                           {"reason", to_string(*refusal)},
                           {"taken", state_.taken_requests}});
        writer.refuse(*refusal);
        http_response response = state_.codec.encode_error(503, errc::no_endpoint,
                                                           execution::not_run, retry_after_refusal);
        co_await writer.send(std::move(response));
        co_return;
    }
    const open_count counted(state_.taken_requests);
    std::shared_ptr<exchange> handler = std::make_shared<exchange>(
        executor_, state_, std::move(request), std::move(*decoded), writer);
    handler->take_over(*info, writer);
    co_await run(std::move(handler));
}

void request_service::leave_silent_connections(time_point since)
{
    for (exchange* handler : open_)
    {
        handler->leave_silent_connection(since);
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
