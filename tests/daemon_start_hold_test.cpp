// Requests that arrive before a starting router has read its tables.

#include "platform_fleet.hpp"

#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

using namespace endivestage;
using namespace endivestage::test;

namespace
{

std::string error_of(const http_response& response)
{
    return response.body.substr(0, response.body.find(",\"execution"));
}

/// Starts the router while the store is silent and runs the steps at once.
void run_with_silent_store(fleet& f, std::function<awaitable<void>()> steps)
{
    f.store.faults.silent = true;
    f.start_router();
    f.run(std::move(steps), fleet::start::at_once);
}

} // namespace

// Guards against 503 to callers of a router that is ready some hundred milliseconds later: all
// routers of a fleet may start at the same time.
TEST_CASE("a request that is sent before the store answers is served afterwards")
{
    fleet f;
    f.add_engine("e1", respond_ok());
    run_with_silent_store(f,
                          [&]() -> awaitable<void>
                          {
                              http_response response;
                              response.status = 0;
                              bool ended = false;
                              asio::co_spawn(
                                  f.context,
                                  [&]() -> awaitable<void>
                                  {
                                      response = co_await f.send_request("POST", "/o/");
                                      ended = true;
                                  },
                                  asio::detached);
                              co_await f.pause(50);
                              REQUIRE_FALSE(ended);
                              f.store.faults.silent = false;
                              while (!ended)
                              {
                                  co_await f.pause(5);
                              }
                              REQUIRE(response.status == 200);
                              const http_response denied =
                                  co_await f.send_request("POST", "/o/", "wrong");
                              REQUIRE(denied.status == 401);
                          });
}

// Guards against callers that wait for a silent store until their time is over.
TEST_CASE("a request is refused as not run when the store stays silent")
{
    fleet f;
    standin::platform_engine& engine = f.add_engine("e1", respond_ok());
    run_with_silent_store(
        f,
        [&]() -> awaitable<void>
        {
            const std::vector<std::int64_t> deadlines{400, 5000, 5000};
            for (const std::int64_t deadline_ms : deadlines)
            {
                const http_response refused =
                    co_await f.send_request("POST", "/o/", "key-1", {}, deadline_ms);
                REQUIRE(refused.status == 503);
                REQUIRE(error_of(refused) == R"({"error":{"code":"store_unavailable")");
                const std::optional<std::string_view> retry_after =
                    daemon::find_field(refused.fields, "Retry-After");
                REQUIRE(retry_after);
                REQUIRE(std::stod(std::string(*retry_after)) * 3000 <
                        static_cast<double>(deadline_ms));
            }
            // The bound of the start has passed by now, so that nothing waits any longer.
            const http_response metrics = co_await f.get(f.settings.metrics, "/metrics");
            REQUIRE(metrics.body.find("endivestage_held_requests 0") != std::string::npos);
            REQUIRE(metrics.body.find("endivestage_held_requests_total{result=\"refused\"} 3") !=
                    std::string::npos);
            REQUIRE(engine.received().empty());
        });
}

// Guards against a request that is served although nobody waits for it any longer.
TEST_CASE("a held request is dropped when its caller disconnects")
{
    fleet f;
    standin::platform_engine& engine = f.add_engine("e1", respond_ok());
    run_with_silent_store(
        f,
        [&]() -> awaitable<void>
        {
            {
                http_request request;
                request.method = "POST";
                request.target = "/o/";
                request.fields.emplace_back("Host", "t.example");
                request.fields.emplace_back("X-Attempt-Id", "leaves");
                request.fields.emplace_back("Authorization", "Bearer key-1");
                daemon::http_connection connection(f.context.get_executor());
                co_await connection.connect(f.settings.callers, millis{1000}, millis{1000});
                connection.send(std::move(request));
                co_await f.pause(50);
                connection.close();
            }
            std::string left;
            while (left.empty())
            {
                co_await f.pause(5);
                const http_response metrics = co_await f.get(f.settings.metrics, "/metrics");
                const std::size_t at = metrics.body.find("held_requests_total{result=\"left\"} 1");
                left = at == std::string::npos ? "" : metrics.body.substr(at);
            }
            f.store.faults.silent = false;
            co_await f.wait_ready();
            REQUIRE(engine.received().empty());
        });
}

// Guards against a stop that keeps held requests until the process ends, and closes their
// connections without an answer.
TEST_CASE("a router that stops refuses the requests that it holds")
{
    fleet f;
    run_with_silent_store(f,
                          [&]() -> awaitable<void>
                          {
                              asio::co_spawn(
                                  f.context,
                                  [&]() -> awaitable<void>
                                  {
                                      co_await f.pause(50);
                                      f.router->stop();
                                  },
                                  asio::detached);
                              const http_response refused = co_await f.send_request("POST", "/o/");
                              REQUIRE(refused.status == 503);
                              REQUIRE(error_of(refused) == R"({"error":{"code":"shutting_down")");
                          });
}

// Guards against an order of resumption that differs from the one that was decided.
TEST_CASE("coroutines of held requests go on in the order of their priority")
{
    asio::io_context context;
    const daemon::process_clock time;
    serving::start_gate gate(time, {});
    std::vector<std::uint32_t> order;
    for (const std::uint32_t priority : {2U, 0U, 3U, 1U})
    {
        asio::co_spawn(
            asio::make_strand(context),
            [&, priority]() -> awaitable<void>
            {
                serving::start_gate::waiting_request waiting;
                waiting.request.received = time.now();
                waiting.priority = [priority]
                {
                    return priority;
                };
                const serving::start_outcome outcome = co_await gate.wait(std::move(waiting));
                REQUIRE(outcome == serving::start_outcome::released);
                order.push_back(priority);
            },
            asio::detached);
    }
    while (gate.hold().size() < 4)
    {
        context.run_one();
    }
    gate.open();
    context.run();
    REQUIRE(order == std::vector<std::uint32_t>{0, 1, 2, 3});
}
