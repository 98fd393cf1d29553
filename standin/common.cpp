#include "standin.hpp"

#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <iostream>

namespace endivestage::standin
{

namespace asio = boost::asio;
namespace json = boost::json;

time_point steady_now()
{
    return {std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now().time_since_epoch())
                .count()};
}

std::int64_t unix_time_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

http_response json_response(const json::value& body, int status)
{
    return {status, {{"Content-Type", "application/json"}}, json::serialize(body) + "\n"};
}

// A separate function because g++ 12 rejects nested initializer lists inside co_await expressions.
// The same applies to event_stream_head().
http_response error_response(const char* code, int status)
{
    return json_response(json::object{{"error", code}}, status);
}

http_response event_stream_head()
{
    http_response head;
    head.fields.emplace_back("Content-Type", "text/event-stream");
    head.fields.emplace_back("Cache-Control", "no-store");
    return head;
}

json::object parse_object(const std::string& text)
{
    json::error_code ec;
    const json::value value = json::parse(text, ec);
    return !ec && value.is_object() ? value.as_object() : json::object{};
}

std::int64_t number_or(const json::object& object, const char* key, std::int64_t fallback)
{
    const json::value* value = object.if_contains(key);
    if (value == nullptr || !value->is_number())
    {
        return fallback;
    }
    return value->is_double() ? static_cast<std::int64_t>(value->as_double())
                              : value->to_number<std::int64_t>();
}

std::string text_or_empty(const json::object& object, const char* key)
{
    const json::value* value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

int serve(asio::io_context& context, http_server& server, const network_address& listen)
{
    const std::error_code ec = server.listen(listen);
    if (ec)
    {
        std::cerr << "event=listen_failed address=" << to_string(listen)
                  << " error=" << ec.message() << "\n";
        return 3;
    }
    std::cout << "event=listening address=" << listen.host << ":" << server.port() << std::endl;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace endivestage::standin
