#include <endivestage/daemon/peer_rpc.hpp>

#include <endivestage/daemon/json_access.hpp>
#include <endivestage/daemon/logging.hpp>

#include <exception>
#include <utility>

namespace endivestage::daemon
{

namespace json = boost::json;

void peer_rpc::handle(std::string path, rpc_handler handler)
{
    handlers_[std::move(path)] = std::move(handler);
}

void peer_rpc::stamp(json::object& body)
{
    const hybrid_time at = events_.stamp();
    body["at"] = json::array{at.wall_ms, at.counter};
}

void peer_rpc::observe(const json::object& body)
{
    const json::array& at = get_array(body, "at");
    if (at.size() == 2 && at[0].is_int64() && at[1].is_int64())
    {
        events_.observe({at[0].get_int64(), static_cast<std::uint32_t>(at[1].get_int64())});
    }
}

boost::asio::awaitable<rpc_answer> peer_rpc::call(peer_address to, std::string path,
                                                  json::object body, millis timeout)
{
    stamp(body);
    const result<std::string> text = co_await call_peer(channel_, std::move(to), std::move(path),
                                                        json::serialize(body), timeout);
    if (!text)
    {
        co_return text.error();
    }
    result<json::object> answer = parse_json_object(*text);
    if (!answer)
    {
        co_return answer.error();
    }
    observe(*answer);
    const std::string error = get_text(*answer, "error");
    if (!error.empty())
    {
        co_return make_error_code(errc_from_name(error));
    }
    co_return std::move(*answer);
}

boost::asio::awaitable<peer_answer> peer_rpc::dispatch(peer_request request)
{
    peer_answer answer;
    const auto it = handlers_.find(request.path);
    const result<json::object> body = parse_json_object(request.body);
    if (it == handlers_.end() || !body)
    {
        answer.status = it == handlers_.end() ? 404 : 400;
        co_return answer;
    }
    observe(*body);
    rpc_answer value = make_error_code(errc::internal);
    try
    {
        value = co_await it->second(request.from, *body);
    }
    catch (const std::exception& failure)
    {
        log_event(log_level::error, "peer_call_failed",
                  {{"path", request.path}, {"reason", failure.what()}});
    }
    json::object reply;
    if (value)
    {
        reply = std::move(*value);
    }
    else
    {
        reply["error"] = value.error().category() == endivestage_category()
                             ? value.error().message()
                             : std::string(to_string(errc::internal));
    }
    stamp(reply);
    answer.body = json::serialize(reply);
    co_return answer;
}

} // namespace endivestage::daemon
