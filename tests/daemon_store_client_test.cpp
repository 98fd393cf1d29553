// Answers of the platform's store that are large: lists in several pages, rows of other writers,
// and feeds with many changes.

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

using batch_result = result<serving::timestamped_batch>;

/// Runs a call to its end; nothing if it does not end.
std::optional<batch_result> run(asio::io_context& context, daemon::awaitable<batch_result> call)
{
    std::optional<batch_result> outcome;
    asio::co_spawn(context, std::move(call),
                   [&](const std::exception_ptr&, batch_result batch)
                   {
                       outcome = std::move(batch);
                       context.stop();
                   });
    context.restart();
    context.run_for(list_timeout);
    return outcome;
}

std::optional<batch_result>
list_table(asio::io_context& context, const standin::platform_store& s,
           serving::shared_table table = serving::shared_table::endpoints)
{
    platform::store_client client(context.get_executor(), {"127.0.0.1", s.port()});
    return run(context, client.list(table));
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
        const std::optional<batch_result> listed = list_table(context, store);
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
    const std::optional<batch_result> listed = list_table(context, store);
    REQUIRE(listed.has_value());
    REQUIRE(listed->has_error());
    REQUIRE(listed->error() == errc::store_unavailable);
    REQUIRE(store.lists() <= 3);
}

// Guards against routers that exceed their memory because another writer leaves many large entries
// among the records of the engines.
TEST_CASE("large rows that name no endpoint are kept without their data")
{
    constexpr std::size_t row_bytes = 65000;
    const std::string record =
        R"({"service":"pool","address":"10.0.0.1:80","zone":"zone-a","version":"v1","slots":64,)"
        R"("state":"ready","cold_left_ms":0,"sequence":1,"model_list":[")" +
        std::string(row_bytes, 'm') + "\"]}";
    asio::io_context context{1};
    standin::platform_store store(context);
    REQUIRE_FALSE(store.start());
    store.put("servers", "large", std::string(row_bytes, 'x'));
    store.put("servers", "named", record);
    store.put("servers", "small", "x");
    store.put("op", "config", std::string(row_bytes, 'x'));
    const std::optional<batch_result> listed = list_table(context, store);
    REQUIRE(listed.has_value());
    REQUIRE(listed->has_value());
    const std::vector<replicated_row>& found = (*listed)->batch.rows;
    REQUIRE(found.size() == 3);
    REQUIRE(found[0].key == "large");
    REQUIRE(found[0].data.empty());
    REQUIRE(found[1].data == record);
    REQUIRE(found[2].data == "x");
    platform::store_client client(context.get_executor(), {"127.0.0.1", store.port()});
    const std::optional<batch_result> changes =
        run(context, client.fetch_changes(serving::shared_table::endpoints, 0, millis{0}));
    REQUIRE(changes.has_value());
    REQUIRE(changes->has_value());
    REQUIRE((*changes)->batch.rows[0].data.empty());
    const std::optional<batch_result> operations =
        list_table(context, store, serving::shared_table::operations);
    REQUIRE(operations.has_value());
    REQUIRE(operations->has_value());
    REQUIRE((*operations)->batch.rows[0].data.size() == row_bytes);
}

// Guards against a copy that no longer follows the store: more changes at once than an answer may
// hold made every later poll of the feed fail.
TEST_CASE("a feed that is too large is followed by a list")
{
    asio::io_context context{1};
    standin::platform_store store(context);
    REQUIRE_FALSE(store.start());
    for (int n = 0; n < 60; ++n)
    {
        store.put("servers", make_key("e", n), std::string(65536, 'x'));
    }
    platform::store_client client(context.get_executor(), {"127.0.0.1", store.port()});
    const std::optional<batch_result> changes =
        run(context, client.fetch_changes(serving::shared_table::endpoints, 0, millis{0}));
    REQUIRE(changes.has_value());
    REQUIRE(changes->has_error());
    REQUIRE(changes->error() == errc::stale_view);
    const std::optional<batch_result> listed = list_table(context, store);
    REQUIRE(listed.has_value());
    REQUIRE(listed->has_value());
    REQUIRE((*listed)->batch.rows.size() == 60);
}
