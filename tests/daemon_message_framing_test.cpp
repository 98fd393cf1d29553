// Messages whose end is ambiguous: neither callers nor endpoints may hide one message in another.

#include <endivestage/daemon/http_connection.hpp>
#include <endivestage/daemon/http_server.hpp>
#include <standin/text_response.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

using namespace endivestage;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: t.example\r\n\r\n";

/// Lines of a head between the first line and the empty one, and the status of a request with them.
struct framing_case
{
    std::string rule; ///< Section of RFC 9112 or RFC 9110.
    std::string fields;
    std::string body;
    int status;
    std::string version = "1.1";
};

const std::vector<framing_case> cases{
    {"6.1 unknown coding", "Transfer-Encoding: gzip\r\n", hidden, 501},
    {"6.1 identity is no coding", "Transfer-Encoding: identity\r\n", hidden, 501},
    {"6.1 unregistered coding", "Transfer-Encoding: x-custom\r\n", hidden, 501},
    {"6.3 chunked not last", "Transfer-Encoding: chunked, identity\r\n", hidden, 501},
    {"6.1 other coding first", "Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n" + hidden, 501},
    {"6.1 chunked twice", "Transfer-Encoding: chunked, chunked\r\n", "0\r\n\r\n" + hidden, 501},
    {"6.1 two fields", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", hidden,
     400},
    {"6.1 with parameter", "Transfer-Encoding: chunked;q=1\r\n", "0\r\n\r\n" + hidden, 501},
    {"6.1 empty coding", "Transfer-Encoding: \r\n", hidden, 501},
    {"6.1 coding in HTTP/1.0", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n" + hidden, 400, "1.0"},
    {"6.3 coding and length", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
     "0\r\n\r\n" + hidden, 400},
    {"6.3 length and coding", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
     "0\r\n\r\n" + hidden, 400},
    {"6.3 unlike lengths", "Content-Length: 1\r\nContent-Length: 0\r\n", hidden, 400},
    {"6.3 equal lengths", "Content-Length: 0\r\nContent-Length: 0\r\n", hidden, 400},
    {"6.3 list of lengths", "Content-Length: 0, 0\r\n", hidden, 400},
    {"6.2 signed length", "Content-Length: +1\r\n", "x" + hidden, 400},
    {"6.2 negative length", "Content-Length: -1\r\n", hidden, 400},
    {"6.2 hexadecimal length", "Content-Length: 0x0\r\n", hidden, 400},
    {"6.2 empty length", "Content-Length: \r\n", hidden, 400},
    {"6.2 length beyond 64 bits", "Content-Length: 99999999999999999999\r\n", hidden, 400},
    {"2.2 bare line feed", "X-One: a\nContent-Length: 5\r\n", hidden, 400},
    {"5.1 space before colon", "Content-Length : 5\r\n", hidden, 400},
    {"2.2 space before the first field", " Content-Length: 5\r\n", hidden, 400},
    {"RFC 9110 5.5 control byte", std::string("X-One: a\x01") + "b\r\n", hidden, 400},
    {"RFC 9110 5.5 carriage return", "X-One: a\rb\r\n", hidden, 400},
    {"7.1 chunk size with sign", "Transfer-Encoding: chunked\r\n", "+0\r\n\r\n" + hidden, 400},
    {"7.1 chunk size too large", "Transfer-Encoding: chunked\r\n", "fffffffffffffffff\r\n" + hidden,
     400},
    {"7.1 no end of chunk data", "Transfer-Encoding: chunked\r\n", "1\r\nxx0\r\n\r\n" + hidden,
     400},
};

/// A server that records the targets of its requests, and a caller on a plain socket.
struct server_fixture
{
    server_fixture()
        : server(context, {},
                 [this](const daemon::http_request& request, daemon::response_writer& writer)
                 {
                     handled.push_back(request);
                     return standin::send_text(writer, "ok");
                 })
    {
        REQUIRE_FALSE(server.listen({"127.0.0.1", 0}));
    }

    /// Sends bytes and runs the server until it has closed the connection.
    std::string exchange(const std::string& text)
    {
        asio::io_context caller_context;
        tcp::socket caller(caller_context);
        caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        caller.non_blocking(true);
        boost::system::error_code ec;
        asio::write(caller, asio::buffer(text), ec);
        caller.shutdown(tcp::socket::shutdown_send, ec);
        std::string received;
        for (int n = 0; n < 400; ++n)
        {
            context.restart();
            context.run_for(std::chrono::milliseconds(5));
            char buf[1024];
            ec = {};
            received.append(buf, caller.read_some(asio::buffer(buf), ec));
            if (ec && ec != asio::error::would_block)
            {
                return received;
            }
        }
        FAIL("the connection is still open");
        return received;
    }

    asio::io_context context;
    std::vector<daemon::http_request> handled;
    daemon::http_server server;
};

/// \returns Whether a connection accepts a response with these bytes after its status line.
bool accepts_response(const std::string& text)
{
    asio::io_context context;
    asio::io_context server_context;
    tcp::acceptor acceptor(server_context, {asio::ip::make_address("127.0.0.1"), 0});
    daemon::http_connection connection(context.get_executor());
    std::optional<bool> accepted;
    asio::co_spawn(
        context,
        [&]() -> daemon::awaitable<void>
        {
            daemon::network_address address{"127.0.0.1", acceptor.local_endpoint().port()};
            const std::error_code ec =
                co_await connection.connect(std::move(address), millis{5000}, millis{5000});
            REQUIRE_FALSE(ec);
            tcp::socket server(server_context);
            acceptor.accept(server);
            connection.send(daemon::http_request{});
            asio::write(server, asio::buffer(text));
            server.shutdown(tcp::socket::shutdown_send);
            const result<daemon::http_response> head = co_await connection.read_head(millis{5000});
            bool whole = head.has_value();
            if (whole)
            {
                const result<std::string> body =
                    co_await daemon::read_body(connection, millis{5000}, 4096);
                whole = body.has_value();
            }
            accepted = whole && connection.reusable();
        },
        [](const std::exception_ptr& failure)
        {
            if (failure)
            {
                std::rethrow_exception(failure);
            }
        });
    for (int n = 0; n < 2000 && !accepted; ++n)
    {
        context.restart();
        context.run_for(std::chrono::milliseconds(5));
    }
    REQUIRE(accepted.has_value());
    return *accepted;
}

} // namespace

// Guards against a request that is hidden in the body of another one and run under an id that no
// caller sent.
TEST_CASE("requests with an ambiguous end are refused and their connection is closed")
{
    for (const framing_case& row : cases)
    {
        INFO(row.rule << ": " << row.fields);
        server_fixture fixture;
        const std::string answer =
            fixture.exchange("POST /first HTTP/" + row.version + "\r\n" + row.fields +
                             "Host: t.example\r\n\r\n" + row.body);
        CHECK(fixture.handled.empty());
        CHECK(answer.starts_with("HTTP/1.1 " + std::to_string(row.status)));
    }
}

// Guards against a framing check that refuses what callers may send.
TEST_CASE("requests with one length or in chunks are served")
{
    for (const std::string& rest :
         {std::string("Content-Length: 2\r\n\r\nab"), std::string("\r\n"),
          std::string("transfer-encoding: Chunked\r\n\r\n1\r\na\r\n1;x=y\r\nb\r\n0\r\n\r\n")})
    {
        INFO(rest);
        server_fixture fixture;
        const std::string answer =
            fixture.exchange("POST /first HTTP/1.1\r\nHost: t.example\r\n" + rest);
        CHECK(fixture.handled.size() == 1);
        CHECK(answer.starts_with("HTTP/1.1 200"));
    }
}

// Guards against a folded field that becomes a field of its own, which RFC 9112 (5.2) forbids.
TEST_CASE("a folded field keeps one value")
{
    server_fixture fixture;
    fixture.exchange("POST /first HTTP/1.1\r\nHost: t.example\r\nX-One: a\r\n Content-Length: "
                     "9\r\n\r\n");
    REQUIRE(fixture.handled.size() == 1);
    CHECK(daemon::find_field(fixture.handled[0].fields, "X-One") == "a Content-Length: 9");
    CHECK(daemon::find_field(fixture.handled[0].fields, "Content-Length").empty());
}

// Guards against a trailer that replaces what the head of the request said.
TEST_CASE("trailer fields do not become header fields")
{
    server_fixture fixture;
    fixture.exchange("POST /first HTTP/1.1\r\nHost: t.example\r\nX-Model: m\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n1\r\nx\r\n0\r\nX-Model: other\r\nX-Two: b\r\n\r\n");
    REQUIRE(fixture.handled.size() == 1);
    CHECK(daemon::find_field(fixture.handled[0].fields, "X-Model") == "m");
    CHECK(daemon::find_field(fixture.handled[0].fields, "X-Two").empty());
    CHECK(fixture.handled[0].body == "x");
}

// Guards against an endpoint's response whose end is guessed: the next one on the connection would
// reach another caller.
TEST_CASE("responses with an ambiguous end break their connection")
{
    for (const framing_case& row : cases)
    {
        INFO(row.rule << ": " << row.fields);
        CHECK_FALSE(accepts_response("HTTP/" + row.version + " 200 OK\r\n" + row.fields + "\r\n" +
                                     row.body));
    }
    CHECK(accepts_response("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"));
    CHECK(accepts_response("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
}
