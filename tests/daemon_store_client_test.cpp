// Lists of the platform's store that come in several pages.

#include <platform/store_client.hpp>
#include <standin/platform_store.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <exception>
#include <optional>
#include <string>

using namespace endivestage;
namespace asio = boost::asio;

namespace
{

constexpr int rows = 600; ///< More than a page holds.
constexpr std::chrono::seconds list_timeout{5};

/// Lists the endpoints' table; nothing if the list does not end.
std::optional<result<serving::timestamped_batch>> list_endpoints(asio::io_context& context,
                                                                 const standin::platform_store& s)
{
    platform::store_client client(context.get_executor(), {"127.0.0.1", s.port()});
    std::optional<result<serving::timestamped_batch>> listed;
    asio::co_spawn(context, client.list(serving::shared_table::endpoints),
                   [&](const std::exception_ptr&, result<serving::timestamped_batch> batch)
                   {
                       listed = std::move(batch);
                       context.stop();
                   });
    context.restart();
    context.run_for(list_timeout);
    return listed;
}

std::string make_key(const std::string& prefix, int n)
{
    char number[8];
    std::snprintf(number, sizeof number, "%04d", n);
    return prefix + number;
}

} // namespace

// Guards against routers that read the same page again and again, and run out of memory, when the
// key at its end has characters that are reserved in a URL (review/7).
TEST_CASE("a list goes on after a key with any characters")
{
    for (const std::string& prefix :
         {std::string("job&"), std::string("job "), std::string("50%25"), std::string("a+b="),
          std::string("a#b"), std::string("/a?b;c"), std::string("\xc3\xa9\"\\"),
          std::string("\r\nX-Other: 1"), std::string("\0", 1), std::string(196, '&')})
    {
        CAPTURE(prefix);
        asio::io_context context{1};
        standin::platform_store store(context);
        REQUIRE_FALSE(store.start());
        for (int n = 0; n < rows; ++n)
        {
            store.put("servers", make_key(prefix, n), "data");
        }
        const std::optional<result<serving::timestamped_batch>> listed =
            list_endpoints(context, store);
        REQUIRE(listed.has_value());
        REQUIRE(listed->has_value());
        const std::vector<replicated_row>& found = (*listed)->batch.rows;
        REQUIRE(found.size() == rows);
        for (int n = 0; n < rows; ++n)
        {
            REQUIRE(found[static_cast<std::size_t>(n)].key == make_key(prefix, n));
        }
        REQUIRE(store.lists() == 2);
    }
}

// Guards against a list without end at a store whose pages do not get past the key asked for.
TEST_CASE("a list that makes no progress fails")
{
    asio::io_context context{1};
    standin::platform_store store(context);
    REQUIRE_FALSE(store.start());
    for (int n = 0; n < rows; ++n)
    {
        store.put("servers", make_key("e", n), "data");
    }
    store.faults.repeat_pages = true;
    const std::optional<result<serving::timestamped_batch>> listed = list_endpoints(context, store);
    REQUIRE(listed.has_value());
    REQUIRE(listed->has_error());
    REQUIRE(listed->error() == errc::store_unavailable);
    REQUIRE(store.lists() <= 3);
}
