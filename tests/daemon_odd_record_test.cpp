// Records of endpoints that another writer left in the store and that no router can use.

#include "platform_fleet.hpp"

using namespace endivestage;
using namespace endivestage::test;

namespace
{

std::string make_record(const std::string& address, const std::string& slots,
                        const std::string& cold_ms)
{
    return R"({"service":"pool","address":")" + address +
           R"(","zone":"zone-a","version":"v1","slots":)" + slots +
           R"(,"state":"ready","cold_left_ms":)" + cold_ms + R"(,"sequence":1})";
}

std::string nest(std::size_t depth)
{
    return R"({"service":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
}

} // namespace

// Guards against routers that stop following the endpoints' records: a record with bytes that are
// no text made every response of a relay unreadable.
TEST_CASE("routers follow a relay whose tables have unreadable records")
{
    fleet f;
    f.add_engine("e1", respond_ok());
    f.store.put("servers", "bytes", std::string("\xff\xfe\x00\x80", 4));
    f.store.put("servers", "nested", nest(10000));
    f.start_router();
    serving::server_settings other;
    std::unique_ptr<serving::server> second;
    f.run(
        [&]() -> awaitable<void>
        {
            co_await f.pause(300);
            const std::uint64_t lists = f.store.lists();
            second = f.start_second_router(name_below(f.settings.name), other);
            http_response ready;
            ready.status = 0;
            while (ready.status != 200)
            {
                co_await f.pause(10);
                ready = co_await f.get(other.readiness, "/v1/readyz");
            }
            REQUIRE(f.store.lists() - lists == 1);
            // A record that is written later reaches the second router too.
            f.store.put("servers", "later", std::string("{\"zone\":\"\xc3\x28\"}"));
            f.put_engine_record("e2", f.engines.front()->port(), "ready");
            http_response metrics;
            while (metrics.body.find("\nendivestage_endpoints 2\n") == std::string::npos)
            {
                co_await f.pause(10);
                metrics = co_await f.get(other.metrics, "/metrics");
            }
            REQUIRE(f.store.lists() - lists == 1);
        });
}

// Guards against requests to endpoints that do not exist, and against numbers that overflow when
// they are converted.
TEST_CASE("a record with a value out of range names no endpoint")
{
    const serving::server_settings settings;
    asio::io_context context;
    const serving::platform_adapter adapter = platform::make_adapter(context, settings);
    const auto is_usable = [&](const std::string& key, const std::string& data)
    {
        const replicated_row row{key, data, 1, false};
        return static_cast<bool>(adapter.records->decode_endpoint(row));
    };
    REQUIRE(is_usable("e1", make_record("10.0.0.1:80", "64", "0")));
    REQUIRE(is_usable("e1", make_record("10.0.0.1:80", "64", "2500.5")));
    REQUIRE_FALSE(is_usable("e1", make_record("10.0.0.1:70000", "64", "0")));
    REQUIRE_FALSE(is_usable("e1", make_record("10.0.0.1:0", "64", "0")));
    REQUIRE_FALSE(is_usable("e1", make_record("10.0.0.1:-1", "64", "0")));
    REQUIRE_FALSE(is_usable("e1", make_record("10.0.0.1:99999999999999999999", "64", "0")));
    for (const char* number : {"1e300", "-1e300", "9223372036854775807", "18446744073709551616",
                               "-1", "1e400", "\"5\"", "null", "[]"})
    {
        CAPTURE(number);
        REQUIRE_FALSE(is_usable("e1", make_record("10.0.0.1:80", "64", number)));
        REQUIRE_FALSE(is_usable("e1", make_record("10.0.0.1:80", number, "0")));
    }
    REQUIRE_FALSE(is_usable("e1", make_record("10.0.0.1:80", "4294967297", "0")));
    REQUIRE_FALSE(is_usable("e1", nest(10)));
    REQUIRE_FALSE(is_usable("e1", nest(1000000)));
}

// Guards against header fields that a record's key would add to every request to its endpoint.
TEST_CASE("a record whose key is no field value names no endpoint")
{
    const serving::server_settings settings;
    asio::io_context context;
    const serving::platform_adapter adapter = platform::make_adapter(context, settings);
    for (const std::string& key : {std::string("e\r\nX-Tenant: other"), std::string("e\n"),
                                   std::string("e\0", 2), std::string()})
    {
        const replicated_row row{key, make_record("10.0.0.1:80", "64", "0"), 1, false};
        REQUIRE(adapter.records->decode_endpoint(row).has_error());
    }
}
