// Callers whose requests break off at any byte.

#include "platform_fleet.hpp"

#include <standin/platform_engine.hpp>

#include <boost/asio/write.hpp>

using namespace endivestage;
using namespace endivestage::test;
using tcp = asio::ip::tcp;

namespace
{

std::string make_bytes(const std::string& target, bool chunked, int attempt)
{
    return "POST " + target + " HTTP/1.1\r\nHost: t.example\r\nX-Attempt-Id: cut-" +
           std::to_string(attempt) + "\r\nAuthorization: Bearer key-1\r\n" +
           (chunked ? "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
                    : "Content-Length: 4\r\n\r\nbody");
}

awaitable<void> write(tcp::socket& socket, std::string bytes)
{
    boost::system::error_code ec;
    co_await asio::async_write(socket, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, ec));
}

} // namespace

// Guards against a part of a request that an engine runs as a whole one.
TEST_CASE("a request that is cut at any byte reaches no engine")
{
    const bool chunked = GENERATE(false, true);
    const bool reset = GENERATE(false, true);
    const bool kept = GENERATE(false, true);
    const std::string target = GENERATE("/o/", "/i/", "/s/", "/r/");
    CAPTURE(chunked, reset, kept, target);
    fleet f;
    standin::platform_engine& engine = f.add_engine("e1", respond_ok());
    f.start_router();
    std::size_t whole = 0;
    f.run(
        [&]() -> awaitable<void>
        {
            const std::size_t length = make_bytes(target, chunked, 1000).size();
            for (std::size_t n = 0; n < length; n += 3)
            {
                tcp::socket socket(f.context);
                boost::system::error_code ec;
                co_await socket.async_connect(
                    tcp::endpoint(asio::ip::make_address(f.settings.callers.host),
                                  f.settings.callers.port),
                    asio::redirect_error(asio::use_awaitable, ec));
                REQUIRE_FALSE(ec);
                if (kept)
                {
                    co_await write(socket, make_bytes(target, chunked, 2000 + static_cast<int>(n)));
                    std::string answer(4096, '\0');
                    co_await socket.async_read_some(asio::buffer(answer),
                                                    asio::redirect_error(asio::use_awaitable, ec));
                    ++whole;
                }
                co_await write(
                    socket, make_bytes(target, chunked, 1000 + static_cast<int>(n)).substr(0, n));
                if (reset)
                {
                    socket.set_option(asio::socket_base::linger(true, 0), ec);
                }
                socket.close(ec);
            }
            co_await f.pause(50);
        });
    REQUIRE(engine.received().size() == whole);
}
