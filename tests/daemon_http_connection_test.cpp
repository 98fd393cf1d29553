// Connections to engines, relays and the store: answers that arrive while the event loop is late,
// or that a reset cuts off.

#include <endivestage/daemon/http_connection.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <exception>
#include <optional>
#include <string>
#include <thread>
#include <utility>

using namespace endivestage;
using daemon::awaitable;
using daemon::http_request;
using daemon::http_response;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

constexpr millis long_timeout{5000};

/// A connection to a server on a plain socket, with one request sent.
struct connection_fixture
{
    explicit connection_fixture(http_request request = {})
        : acceptor(server_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          server(server_context),
          connection(context.get_executor())
    {
        daemon::network_address address{"127.0.0.1", acceptor.local_endpoint().port()};
        const std::error_code ec =
            run(connection.connect(std::move(address), long_timeout, long_timeout));
        REQUIRE_FALSE(ec);
        connection.send(std::move(request));
        acceptor.accept(server);
    }

    void respond(const std::string& text) { asio::write(server, asio::buffer(text)); }

    /// Lets pending writes run, while nothing is read.
    void run_writes()
    {
        context.restart();
        context.run_for(std::chrono::milliseconds(20));
    }

    /// Resets the connection.
    void reset()
    {
        server.set_option(asio::socket_base::linger(true, 0));
        server.close();
    }

    /// Starts an operation, which sets \p outcome at its end.
    template <class T>
    void start(awaitable<T> operation, std::optional<T>& outcome)
    {
        asio::co_spawn(context, std::move(operation),
                       [&outcome](const std::exception_ptr&, T value)
                       { outcome = std::move(value); });
    }

    template <class T>
    T run_until(std::optional<T>& outcome)
    {
        for (int n = 0; n < 1000 && !outcome; ++n)
        {
            context.restart();
            context.run_one_for(std::chrono::milliseconds(5));
        }
        REQUIRE(outcome.has_value());
        return std::move(*outcome);
    }

    /// Runs an operation to its end.
    template <class T>
    T run(awaitable<T> operation)
    {
        std::optional<T> outcome;
        start(std::move(operation), outcome);
        return run_until(outcome);
    }

    asio::io_context server_context;
    asio::io_context context;
    tcp::acceptor acceptor;
    tcp::socket server;
    daemon::http_connection connection;
};

/// Reads an answer's head in time and its body when the time is over.
result<std::string> read_body_late(connection_fixture& f, const std::string& answer)
{
    f.respond(answer);
    REQUIRE(f.run(f.connection.read_head(long_timeout)).has_value());
    return f.run(daemon::read_body(f.connection, millis{-1}, 1U << 20U));
}

/// \returns A request with a longer body than the sockets of a connection hold.
http_request make_upload()
{
    http_request request;
    request.method = "POST";
    request.body.assign(16UL * 1024 * 1024, 'x');
    return request;
}

constexpr const char* unframed_answer = "HTTP/1.1 200 OK\r\n\r\nanswer";

/// Begins to read a head, and blocks the event loop until the time for it is over.
/// \param answer Sent before the end of the time is handled.
result<http_response> read_head_across_block(connection_fixture& f, const std::string& answer)
{
    constexpr std::chrono::milliseconds timeout{200};
    std::optional<result<http_response>> head;
    f.start(f.connection.read_head(millis{timeout.count()}), head);
    f.context.restart();
    f.context.poll();
    // Both timers have expired when the loop runs again, and this one is handled first.
    asio::steady_timer earlier(f.context, std::chrono::milliseconds(1));
    earlier.async_wait([&](const boost::system::error_code&) { f.respond(answer); });
    std::this_thread::sleep_for(timeout + std::chrono::milliseconds(100));
    return f.run_until(head);
}

} // namespace

// Guards against an answer that has arrived whole and is dropped, because the event loop was late
// and the time was over when the head had been read.
TEST_CASE("a body that has arrived is read after the end of its time")
{
    connection_fixture f;
    const result<std::string> body =
        read_body_late(f, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    REQUIRE(body);
    REQUIRE(*body == "ok");
}

// Guards against a late read that waits for bytes which have not arrived.
TEST_CASE("a body that has not arrived whole is given up after the end of its time")
{
    connection_fixture f;
    const result<std::string> body =
        read_body_late(f, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok");
    REQUIRE_FALSE(body);
    REQUIRE(body.error() == errc::deadline_exceeded);
}

// Guards against an answer that has arrived whole and is lost, because the timer of the read closed
// the socket: the caller gets a failure, or the request is sent once more.
TEST_CASE("an answer that arrives while a blocked event loop passes its time is read")
{
    connection_fixture f;
    const result<http_response> head =
        read_head_across_block(f, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(head.has_value());
    REQUIRE(head->status == 200);
    REQUIRE(f.connection.reusable());
}

// Guards against a read that its late bytes prolong without end.
TEST_CASE("an answer that has arrived in part is given up at the end of its time")
{
    connection_fixture f;
    const result<http_response> head = read_head_across_block(f, "HTTP/1.1 200 OK\r\nContent");
    REQUIRE_FALSE(head.has_value());
    REQUIRE(head.error() == errc::outcome_unknown);
    REQUIRE_FALSE(f.connection.quiet());
}

// Guards against a part of an answer that passes for the whole: a reset is reported once, and when
// the write of a long upload gets it, the next read sees the end of the stream.
TEST_CASE("an answer without a length that a reset cuts off during an upload is incomplete")
{
    const bool head_read_before = GENERATE(true, false);
    CAPTURE(head_read_before);
    connection_fixture f(make_upload());
    f.respond(unframed_answer);
    if (head_read_before)
    {
        REQUIRE(f.run(f.connection.read_head(long_timeout)).has_value());
        REQUIRE(*f.run(f.connection.read_some(long_timeout)) == "answer");
    }
    f.run_writes();
    f.reset();
    f.run_writes();
    if (!head_read_before)
    {
        REQUIRE(f.run(f.connection.read_head(long_timeout)).has_value());
    }
    const result<std::string> body =
        f.run(daemon::read_body(f.connection, long_timeout, 1U << 20U));
    REQUIRE_FALSE(body.has_value());
    REQUIRE_FALSE(f.connection.reusable());
}

// Guards against an answer that is lost although it has come whole, because its server has closed
// the connection, or reset it after that, without reading all of the upload.
TEST_CASE("an answer without a length that ends in order during an upload is complete")
{
    const bool reset_later = GENERATE(true, false);
    CAPTURE(reset_later);
    connection_fixture f(make_upload());
    f.respond(unframed_answer);
    f.server.shutdown(tcp::socket::shutdown_send);
    f.run_writes();
    if (reset_later)
    {
        f.reset();
        f.run_writes();
    }
    REQUIRE(f.run(f.connection.read_head(long_timeout)).has_value());
    const result<std::string> body =
        f.run(daemon::read_body(f.connection, long_timeout, 1U << 20U));
    REQUIRE(body.has_value());
    REQUIRE(*body == "answer");
    REQUIRE_FALSE(f.connection.reusable());
}

// Guards against callers that get an answer whose status HTTP does not define.
TEST_CASE("an answer with a status outside 100 to 599 is refused")
{
    const std::string status = GENERATE("000", "007", "099", "600", "999", "101");
    const std::string framing =
        GENERATE("Content-Length: 2\r\n\r\nok",
                 "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "\r\nok");
    CAPTURE(status, framing);
    connection_fixture f;
    f.respond("HTTP/1.1 " + status + " Odd\r\n" + framing);
    const result<http_response> head = f.run(f.connection.read_head(long_timeout));
    REQUIRE_FALSE(head.has_value());
    REQUIRE(head.error() == errc::outcome_unknown);
    REQUIRE_FALSE(f.connection.reusable());
    REQUIRE_FALSE(f.connection.quiet());
}

// Guards against a status line that is read as another one.
TEST_CASE("an answer with a malformed status line is refused")
{
    const std::string line =
        GENERATE("HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 2 0 OK",
                 "HTTP/1.1  200 OK", "HTTP/1.1 200OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK",
                 "HTTP/11 200 OK", " HTTP/1.1 200 OK", "http/1.1 200 OK", "200 OK");
    CAPTURE(line);
    connection_fixture f;
    f.respond(line + "\r\nContent-Length: 2\r\n\r\nok");
    const result<http_response> head = f.run(f.connection.read_head(long_timeout));
    REQUIRE_FALSE(head.has_value());
}

// Guards against an interim answer that passes for the final one.
TEST_CASE("interim answers are skipped")
{
    connection_fixture f;
    f.respond("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    const result<http_response> head = f.run(f.connection.read_head(long_timeout));
    REQUIRE(head.has_value());
    REQUIRE(head->status == 200);
    const result<std::string> body =
        f.run(daemon::read_body(f.connection, long_timeout, 1U << 20U));
    REQUIRE(body.has_value());
    REQUIRE(*body == "ok");
    REQUIRE(f.connection.reusable());
}

// Guards against a read that interim answers keep busy without end.
TEST_CASE("interim answers without end are refused")
{
    connection_fixture f;
    std::string answers;
    for (int n = 0; n < 1000; ++n)
    {
        answers += "HTTP/1.1 102 Processing\r\n\r\n";
    }
    f.respond(answers);
    const result<http_response> head = f.run(f.connection.read_head(long_timeout));
    REQUIRE_FALSE(head.has_value());
}

namespace
{

/// How a server that stops in the middle of an answer leaves the connection.
enum class cut
{
    close,
    reset,
    silence,
};

} // namespace

// Guards against an answer with an empty or short body that passes for the whole one, because its
// server stopped in the middle of its head.
TEST_CASE("an answer that is cut inside its head is no answer")
{
    const cut ending = GENERATE(cut::close, cut::reset, cut::silence);
    const bool kept = GENERATE(false, true);
    const std::string framing = GENERATE("Content-Length: 0\r\n", "Content-Length: 26\r\n",
                                         "Transfer-Encoding: chunked\r\n", "");
    const std::string head =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n" + framing + "X-Origin-Seal: s\r\n\r\n";
    for (std::size_t length = 0; length < head.size(); length += ending == cut::silence ? 7 : 1)
    {
        CAPTURE(static_cast<int>(ending), kept, framing, length);
        connection_fixture f;
        if (kept)
        {
            f.respond("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            REQUIRE(f.run(f.connection.read_head(long_timeout)).has_value());
            REQUIRE(f.run(f.connection.read_some(long_timeout))->empty());
            REQUIRE(f.connection.reusable());
            f.connection.send(http_request{});
        }
        f.respond(head.substr(0, length));
        if (ending == cut::close)
        {
            f.server.shutdown(tcp::socket::shutdown_both);
            f.server.close();
        }
        else if (ending == cut::reset)
        {
            f.reset();
        }
        const result<http_response> read = f.run(f.connection.read_head(millis{20}));
        REQUIRE_FALSE(read.has_value());
        REQUIRE_FALSE(f.connection.reusable());
    }
}
