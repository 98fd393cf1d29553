#include <standin/platform_engine.hpp>

#include <endivestage/daemon/sleep.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <cstdlib>

namespace endivestage::standin
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using daemon::awaitable;
using daemon::http_request;
using tcp = asio::ip::tcp;

platform_engine::platform_engine(asio::io_context& context, response_function initial_respond)
    : respond(std::move(initial_respond)),
      context_(context),
      acceptor_(context)
{
}

std::error_code platform_engine::start()
{
    boost::system::error_code ec;
    const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), 0);
    acceptor_.open(endpoint.protocol(), ec);
    if (!ec)
    {
        acceptor_.bind(endpoint, ec);
    }
    if (!ec)
    {
        acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (!ec)
    {
        accept();
    }
    return ec ? std::error_code(ec.value(), std::system_category()) : std::error_code();
}

void platform_engine::stop()
{
    boost::system::error_code ec;
    acceptor_.close(ec);
}

void platform_engine::crash()
{
    stop();
    for (tcp::socket* socket : open_)
    {
        boost::system::error_code ec;
        socket->close(ec);
    }
}

std::uint16_t platform_engine::port() const
{
    return acceptor_.local_endpoint().port();
}

void platform_engine::accept()
{
    acceptor_.async_accept(
        [this](const boost::system::error_code& ec, tcp::socket socket)
        {
            if (ec)
            {
                return;
            }
            asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
            accept();
        });
}

awaitable<bool> platform_engine::send_piece(tcp::socket& socket, std::string_view piece,
                                            millis delay)
{
    boost::system::error_code ec;
    if (delay > millis{0})
    {
        co_await daemon::sleep_for(delay);
    }
    // Anything but would_block means that the client closed the connection or sent more bytes.
    char byte = 0;
    socket.non_blocking(true, ec);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    const bool disconnected = ec != asio::error::would_block;
    co_await asio::async_write(socket, asio::buffer(piece),
                               asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec && !disconnected;
}

awaitable<bool> platform_engine::send(tcp::socket& socket, engine_reply reply)
{
    const bool endless = reply.final_action == engine_reply::connection_action::repeat;
    for (std::size_t n = 0; n < reply.pieces.size();
         n += endless && n + 1 == reply.pieces.size() ? 0 : 1)
    {
        const bool connected = co_await send_piece(socket, reply.pieces[n], reply.delay);
        if (!connected)
        {
            ++abandoned_;
            co_return false;
        }
    }
    boost::system::error_code ec;
    if (reply.final_action == engine_reply::connection_action::hang)
    {
        char byte = 0;
        co_await socket.async_read_some(asio::buffer(&byte, 1),
                                        asio::redirect_error(asio::use_awaitable, ec));
        ++abandoned_;
        co_return false;
    }
    if (reply.final_action == engine_reply::connection_action::reset)
    {
        socket.set_option(asio::socket_base::linger(true, 0), ec);
    }
    co_return reply.final_action == engine_reply::connection_action::keep_open;
}

awaitable<void> platform_engine::serve(tcp::socket socket)
{
    beast::flat_buffer buf;
    open_.insert(&socket);
    for (bool open = true; open;)
    {
        http::request<http::string_body> message;
        boost::system::error_code ec;
        co_await http::async_read(socket, buf, message,
                                  asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
        {
            break;
        }
        http_request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.body = message.body();
        for (const auto& field : message)
        {
            request.fields.emplace_back(field.name_string(), field.value());
        }
        received_.push_back(request);
        engine_reply reply = respond(request);
        open = co_await send(socket, std::move(reply));
    }
    open_.erase(&socket);
    boost::system::error_code ec;
    socket.close(ec);
}

std::string request_id(const http_request& request)
{
    return std::string(daemon::find_field(request.fields, "X-Attempt-Id"));
}

bool is_addressed_to(const http_request& request, const std::string& id)
{
    const std::string_view expected = daemon::find_field(request.fields, "X-Expect-Instance");
    return expected.empty() || expected == id;
}

int last_event_id(const http_request& request)
{
    return std::atoi(std::string(daemon::find_field(request.fields, "Last-Event-Id")).c_str());
}

std::string make_not_executed(const http_request& request, int status)
{
    return make_response(request, status, "", "X-Not-Executed: 1\r\n");
}

std::string make_response(const http_request& request, int status, const std::string& body,
                          const std::string& extra_fields)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " Scripted\r\nX-Attempt-Id: " + request_id(request) + "\r\nX-Origin-Seal: seal\r\n" +
           extra_fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string make_stream_head(const http_request& request)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request_id(request) +
           "\r\nX-Origin-Seal: seal\r\nContent-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

std::string make_event_chunk(int id)
{
    return make_chunk("id: " + std::to_string(id) + "\ndata: token\n\n");
}

std::string make_chunk(const std::string& data)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    return size + data + "\r\n";
}

} // namespace endivestage::standin
