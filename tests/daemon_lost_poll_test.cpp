// Calls to the store whose responses are lost, with a real router and a stand-in of the store.

#include "platform_fleet.hpp"

#include <endivestage/daemon/json_access.hpp>
#include <endivestage/serving/change_encoding.hpp>

using namespace endivestage;
using namespace endivestage::test;

// Guards against requests to leaving engines after a short silence of the store: the poll of the
// engines' records lost its response and was given up after 3.9 s only, while polls of the
// operator's table went on.
TEST_CASE("a leaving engine gets no requests after the poll of its record was lost")
{
    constexpr std::int64_t drain_ms = 3000;
    fleet f;
    f.settings.bounds.max_config_delay = millis{drain_ms};
    f.settings.bounds.max_drain_delay = millis{drain_ms};
    f.add_engine("e1", respond_ok());
    f.add_engine("e2", respond_ok());
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            http_response response = co_await f.send_request("POST", "/i/x");
            REQUIRE(response.status == 200);
            const std::size_t used = f.engines[0]->received().empty() ? 1 : 0;
            standin::platform_engine& leaving = *f.engines[used];
            // After this change the router pauses before it polls again.
            f.put_engine_record("e3", 9, "draining");
            co_await f.pause(60);
            f.put_engine_record(used == 0 ? "e1" : "e2", leaving.port(), "draining");
            f.store.faults.lose_responses = true;
            co_await f.pause(700);
            f.store.faults.lose_responses = false;
            co_await f.pause(drain_ms - 700);
            const std::size_t received = leaving.received().size();
            for (int n = 0; n < 5; ++n)
            {
                response = co_await f.send_request("POST", "/i/x");
                REQUIRE(response.status == 200);
            }
            REQUIRE(leaving.received().size() == received);
        });
}

// Guards against routers that stay with a relay whose copy of the engines' records is old, because
// its copy of the operator's table is current.
TEST_CASE("a relay states the age of each copy that its followers act on")
{
    fleet f;
    f.add_engine("e1", respond_ok());
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            f.store.faults.lost_table = "servers";
            co_await f.pause(1500);
            http_request request;
            request.method = "POST";
            request.target = "/v1/tables?wait_ms=0&operations=0&endpoints=0&routers=0&router=r2";
            request.fields.emplace_back("Host", "r1");
            daemon::network_address peers{f.settings.host, f.settings.peer_port};
            const http_response response =
                co_await f.exchange(std::move(peers), std::move(request));
            REQUIRE(response.status == 200);
            const result<std::string> body =
                serving::decompress_body(response, std::string(response.body));
            REQUIRE(body);
            const result<boost::json::object> answer = daemon::parse_json_object(*body);
            REQUIRE(answer);
            const std::int64_t operations_age = daemon::get_number(*answer, "age_ms");
            const std::int64_t endpoints_age = daemon::get_number(*answer, "endpoints_age_ms");
            REQUIRE(endpoints_age > operations_age);
            REQUIRE(endpoints_age >= 900);
        });
}
