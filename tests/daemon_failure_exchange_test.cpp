// Failing endpoints that routers report to each other.

#include "platform_fleet.hpp"

#include <endivestage/serving/sum_datagram.hpp>

using namespace endivestage;
using namespace endivestage::test;

namespace
{

const auto report = [](fleet& f, const std::string& router,
                       const std::string& failing) -> awaitable<void>
{
    const daemon::network_address peer{f.settings.host, f.settings.peer_port};
    const http_response response = co_await f.get(
        peer, "/v1/tables?wait_ms=0&failures=0&router=" + router + "&failing=" + failing);
    REQUIRE(response.status == 200);
    REQUIRE(response.body.find("\"failures_complete\":true") != std::string::npos);
};

} // namespace

// Guards against a fleet that avoids an endpoint because of one router's bad link, and against one
// in which every router has to find out by itself that an endpoint fails.
TEST_CASE("an endpoint is avoided when three routers report it, not when one does")
{
    fleet f;
    std::vector<standin::platform_engine*> engines;
    for (const std::string id : {"e1", "e2", "e3"})
    {
        engines.push_back(&f.add_engine(id, respond_ok()));
    }
    const std::string failing = std::to_string(hash64("e2"));
    std::string repeated = failing;
    repeated.append(",").append(failing).append(",").append(failing);
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            for (int n = 0; n < 30; ++n)
            {
                co_await report(f, "r2", repeated);
                co_await f.pause(20);
                const http_response response = co_await f.send_request("POST", "/o/x");
                REQUIRE(response.status == 200);
            }
            const std::size_t before = engines[1]->received().size();
            REQUIRE(before > 0);
            // Until the sums of the relay include the reports.
            std::string metrics;
            while (metrics.find("endivestage_failing_endpoints 1") == std::string::npos)
            {
                for (const std::string router : {"r2", "r3", "r4"})
                {
                    co_await report(f, router, failing);
                }
                co_await f.pause(20);
                const http_response page = co_await f.get(f.settings.metrics, "/metrics");
                metrics = page.body;
            }
            for (int n = 0; n < 15; ++n)
            {
                for (const std::string router : {"r2", "r3", "r4"})
                {
                    co_await report(f, router, failing);
                }
                const http_response response = co_await f.send_request("POST", "/o/x");
                REQUIRE(response.status == 200);
            }
            REQUIRE(engines[1]->received().size() == before);
        });
}

// Guards against sums of one kind that replace those of the other, and against reading beyond the
// end of a short datagram.
TEST_CASE("sums pass through a datagram unchanged")
{
    const std::vector<engine_requests> sums{{7, 3}, {9, 1}};
    for (const serving::sum_kind kind : {serving::sum_kind::loads, serving::sum_kind::failures})
    {
        const std::string datagram = serving::encode_sums(kind, 5, sums);
        const std::optional<serving::group_sums> decoded = serving::decode_sums(datagram);
        REQUIRE(decoded);
        REQUIRE(decoded->kind == kind);
        REQUIRE(decoded->sender == 5);
        REQUIRE(decoded->sums == sums);
        REQUIRE(serving::decode_sums(datagram.substr(0, 20))->sums.size() == 1);
        REQUIRE_FALSE(serving::decode_sums(datagram.substr(0, 8)));
    }
    REQUIRE_FALSE(serving::decode_sums("S"));
    REQUIRE_FALSE(serving::decode_sums({}));
}
