// Engines that answer before they have read a long request, and end the connection meanwhile.

#include "platform_fleet.hpp"

#include <standin/platform_engine.hpp>

#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

using namespace endivestage;
using namespace endivestage::test;
using tcp = asio::ip::tcp;

namespace
{

/// How an engine ends its connection.
enum class ending
{
    reset,        ///< With the upload unread.
    order,        ///< After it has read the whole upload.
    order_unread, ///< The engine closes its side first, and resets the connection later.
};

/// An engine that reads the head of a request and then answers.
class early_engine
{
public:
    early_engine(asio::io_context& context, std::string answer, ending end)
        : context_(context),
          acceptor_(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          answer_(std::move(answer)),
          end_(end)
    {
        // Long requests do not fit into the sockets, so that their write goes on.
        acceptor_.set_option(asio::socket_base::receive_buffer_size(4096));
        accept();
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    int requests() const { return requests_; }

private:
    void accept()
    {
        acceptor_.async_accept(
            [this](const boost::system::error_code& ec, tcp::socket socket)
            {
                if (!ec)
                {
                    asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
                    accept();
                }
            });
    }

    static awaitable<std::size_t> read(tcp::socket& socket, std::string& bytes,
                                       boost::system::error_code& ec)
    {
        bytes.resize(65536);
        const std::size_t n = co_await socket.async_read_some(
            asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
        bytes.resize(n);
        co_return n;
    }

    awaitable<void> pause(std::chrono::microseconds time)
    {
        asio::steady_timer timer(context_, time);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }

    awaitable<void> serve(tcp::socket socket)
    {
        boost::system::error_code ec;
        std::string head;
        std::string bytes;
        while (head.find("\r\n\r\n") == std::string::npos && !ec)
        {
            co_await read(socket, bytes, ec);
            head += bytes;
        }
        ++requests_;
        const std::string field = "X-Attempt-Id: ";
        const std::size_t id = head.find(field);
        const std::string echoed = head.substr(id, head.find('\r', id) - id);
        const std::string answer =
            "HTTP/1.1 200 OK\r\n" + echoed + "\r\nX-Origin-Seal: seal\r\n" + answer_;
        co_await asio::async_write(socket, asio::buffer(answer),
                                   asio::redirect_error(asio::use_awaitable, ec));
        // The moment of the end varies against the router's reads and writes.
        co_await pause(std::chrono::microseconds(requests_ % 20 * 50));
        if (end_ == ending::reset)
        {
            socket.set_option(asio::socket_base::linger(true, 0), ec);
            co_return;
        }
        socket.shutdown(tcp::socket::shutdown_send, ec);
        if (end_ == ending::order_unread)
        {
            co_await pause(std::chrono::milliseconds(5));
            co_return;
        }
        while (!ec)
        {
            co_await read(socket, bytes, ec);
        }
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    std::string answer_;
    ending end_;
    int requests_ = 0;
};

constexpr const char* stream_fields = "Content-Type: text/event-stream\r\n\r\n";
constexpr const char* two_events = "id: 1\ndata: token\n\nid: 2\ndata: token\n\n";
constexpr int rounds = 40;

/// Sends long requests, one after another, and counts the complete answers with status 200.
int count_complete(const std::string& target, const std::string& answer, ending end)
{
    fleet f;
    early_engine first(f.context, answer, end);
    early_engine second(f.context, answer, end);
    f.put_engine_record("e1", first.port(), "ready");
    f.put_engine_record("e2", second.port(), "ready");
    f.start_router();
    int complete = 0;
    f.run(
        [&]() -> awaitable<void>
        {
            for (int n = 0; n < rounds; ++n)
            {
                const std::size_t bytes = 3000000 + 100000 * static_cast<std::size_t>(n % 10);
                const http_response response =
                    co_await f.send_request("POST", target, "key-1", std::string(bytes, 'x'), 1000);
                complete += response.status == 200 ? 1 : 0;
            }
            // Writes that are still pending refer to the router, which is destroyed first.
            co_await f.pause(20);
        });
    REQUIRE(first.requests() + second.requests() >= rounds / 4);
    return complete;
}

} // namespace

// Guards against a part of an answer that callers get as the whole one: the engine has reset the
// connection while the request was being written.
TEST_CASE("an early answer without a length that a reset cuts off is not delivered as complete")
{
    REQUIRE(count_complete("/o/", "\r\npart of an answer", ending::reset) == 0);
    REQUIRE(count_complete("/i/", "\r\npart of an answer", ending::reset) == 0);
    const std::string stream = std::string(stream_fields) + two_events;
    REQUIRE(count_complete("/s/", stream, ending::reset) == 0);
    REQUIRE(count_complete("/r/", stream, ending::reset) == 0);
}

// The same with framings that show the end themselves.
TEST_CASE("an early answer with a length or in chunks that a reset cuts off is not delivered")
{
    const std::string length = "Content-Length: 100\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    REQUIRE(count_complete("/o/", length + "\r\npart", ending::reset) == 0);
    REQUIRE(count_complete("/o/", chunked + "\r\n4\r\npart\r\n", ending::reset) == 0);
    REQUIRE(count_complete("/s/", length + stream_fields + two_events, ending::reset) == 0);
    REQUIRE(count_complete("/s/", chunked + stream_fields + standin::make_event_chunk(1),
                           ending::reset) == 0);
}

// Guards against complete answers that are dropped because the request was not read to its end.
TEST_CASE("an early answer without a length that ends in order is delivered")
{
    const ending end = GENERATE(ending::order, ending::order_unread);
    REQUIRE(count_complete("/o/", "\r\nan answer", end) == rounds);
    REQUIRE(count_complete("/s/", std::string(stream_fields) + two_events, end) == rounds);
}
