// Overload of a service as its callers see it: one engine with one slot.

#include "platform_fleet.hpp"

#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace endivestage;
using namespace endivestage::test;

namespace
{

constexpr std::int64_t service_ms = 200;

http_request make_request(std::string id)
{
    http_request request;
    request.method = "POST";
    request.target = "/s/x";
    request.fields = {{"Host", "t.example"},
                      {"X-Attempt-Id", std::move(id)},
                      {"X-Deadline-Ms", "3000"},
                      {"Authorization", "Bearer key-1"}};
    return request;
}

/// A fleet whose engine has one slot and takes \ref service_ms for each request.
struct narrow_fleet : fleet
{
    explicit narrow_fleet(bool enabled, std::int64_t delay_ms = service_ms)
    {
        settings.overload.wait_share = 1.0;
        settings.overload.enabled = enabled;
        settings.overload.bound_factor = 1.0;
        settings.overload.rank_band = 0.0;
        engines.push_back(std::make_unique<standin::platform_engine>(
            context,
            [delay_ms](const http_request& request)
            {
                return engine_reply{{standin::make_stream_head(request) +
                                     standin::make_event_chunk(1) + standin::last_chunk},
                                    millis{delay_ms}};
            }));
        REQUIRE_FALSE(engines.back()->start());
        store.put("servers", "e1",
                  R"({"service":"pool","address":"127.0.0.1:)" +
                      std::to_string(engines.back()->port()) +
                      R"(","zone":"zone-a","version":"v1","slots":1,"state":"ready",)" +
                      R"("cold_left_ms":0,"sequence":1})");
        start_router();
    }

    /// Sends requests at the same time.
    awaitable<std::vector<http_response>> send_all(int n)
    {
        std::vector<http_response> responses;
        for (int i = 0; i < n; ++i)
        {
            asio::co_spawn(
                context,
                [&, i]() -> awaitable<void>
                {
                    http_request request = make_request("o-" + std::to_string(i));
                    http_response response =
                        co_await exchange(settings.callers, std::move(request));
                    responses.push_back(std::move(response));
                },
                asio::detached);
        }
        while (responses.size() < static_cast<std::size_t>(n))
        {
            co_await pause(5);
        }
        co_return responses;
    }
};

awaitable<void> wait_for(fleet& f, std::string metric)
{
    for (;;)
    {
        const http_response metrics = co_await f.get(f.settings.metrics, "/metrics");
        if (metrics.body.find(metric) != std::string::npos)
        {
            co_return;
        }
        co_await f.pause(5);
    }
}

} // namespace

// Guards against a router that sends everything to full engines, and against refusals that are not
// proofs or name no time.
TEST_CASE("requests beyond the bound wait or are refused with a time to return")
{
    narrow_fleet f(true);
    f.run(
        [&]() -> awaitable<void>
        {
            const std::vector<http_response> responses = co_await f.send_all(20);
            std::size_t served = 0;
            for (const http_response& response : responses)
            {
                served += response.status == 200 ? 1 : 0;
                if (response.status != 200)
                {
                    CHECK(response.status == 503);
                    CHECK(response.body.find("not_run") != std::string::npos);
                    const std::string delay(daemon::find_field(response.fields, "Retry-After"));
                    CHECK(std::stod("0" + delay) > 0.0);
                    CHECK(std::stod("0" + delay) <= 1.0);
                }
            }
            CHECK(served >= 1);
            CHECK(served < responses.size());
            CHECK(f.engines[0]->received().size() == served);
        });
}

// Guards against waits or refusals without contention, and against a switch without effect.
TEST_CASE("nothing waits or is refused below the bound or when the control is off")
{
    narrow_fleet off(false);
    off.run(
        [&]() -> awaitable<void>
        {
            const std::vector<http_response> responses = co_await off.send_all(20);
            for (const http_response& response : responses)
            {
                CHECK(response.status == 200);
            }
        });
    narrow_fleet on(true);
    on.run(
        [&]() -> awaitable<void>
        {
            for (int n = 0; n < 5; ++n)
            {
                const std::vector<http_response> responses = co_await on.send_all(1);
                CHECK(responses.front().status == 200);
            }
            const http_response metrics = co_await on.get(on.settings.metrics, "/metrics");
            CHECK(metrics.body.find("endivestage_admissions_total") == std::string::npos);
        });
}

// Guards against a waiting request that is sent although its caller has left.
TEST_CASE("a request whose caller leaves while it waits is not sent")
{
    narrow_fleet f(true, 1000 * service_ms);
    f.run(
        [&]() -> awaitable<void>
        {
            asio::co_spawn(f.context, f.send_all(1), asio::detached);
            co_await wait_for(f, "endivestage_open_requests 1\n");
            daemon::http_connection caller(f.context.get_executor());
            daemon::network_address address = f.settings.callers;
            const std::error_code ec =
                co_await caller.connect(std::move(address), millis{500}, millis{500});
            REQUIRE_FALSE(ec);
            caller.send(make_request("leaves"));
            co_await wait_for(f, "endivestage_waiting_requests 1\n");
            caller.close();
            co_await wait_for(f, "endivestage_waiting_requests 0\n");
            CHECK(f.engines[0]->received().size() == 1);
            const http_response metrics = co_await f.get(f.settings.metrics, "/metrics");
            CHECK(metrics.body.find("{decision=\"caller_left\"} 1") != std::string::npos);
        });
}

// Guards against one endpoint that hangs, whose open requests make the whole service seem full.
TEST_CASE("requests that pile up at one endpoint do not fill the others")
{
    endpoint_directory directory;
    for (const char* name : {"e1", "e2", "e3"})
    {
        endpoint_record record;
        record.id = endpoint_id(name);
        record.service = service_id("plain");
        record.slots = 6;
        directory.update(record, {0});
    }
    for (int n = 0; n < 60; ++n)
    {
        directory.begin_request(endpoint_id("e1"));
    }
    const endpoint_notices notices(1);
    serving::overload_control control;
    overload_config config;
    config.enabled = true;
    control.set_config(config);
    serving::service_overload& service = *control.service(service_id("plain"));
    service.refresh(service_id("plain"), {directory, notices, millis{2000}, 1}, {10});
    CHECK(service.admission().load().slots == 18.0);
    CHECK_FALSE(service.admission().observe({10}));
    for (const char* name : {"e2", "e3"})
    {
        for (int n = 0; n < 8; ++n)
        {
            directory.begin_request(endpoint_id(name));
        }
    }
    service.refresh(service_id("plain"), {directory, notices, millis{2000}, 1}, {40});
    CHECK(service.admission().observe({40}));
}
