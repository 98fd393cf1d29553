// Bounds of changed settings and limits over several attempts, with a real router.

#include "platform_fleet.hpp"

#include <set>

using namespace endivestage;
using namespace endivestage::test;

// Guards against a withdrawn key that is served for as long as the bound allowed at the start, when
// settings with a shorter bound were loaded since.
TEST_CASE("a shorter revocation bound applies to the present copy of the tables")
{
    fleet f;
    f.settings.bounds.max_revocation_delay = millis{60000};
    f.add_engine("e1", respond_ok());
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            f.store.faults.silent = true;
            serving::server_settings changed = f.settings;
            changed.bounds.max_revocation_delay = millis{5000};
            f.router->reload(changed);
            int status = 200;
            for (int n = 0; n < 120 && status == 200; ++n)
            {
                co_await f.pause(100);
                const http_response got = co_await f.send_request("POST", "/o/");
                status = got.status;
            }
            REQUIRE(status == 503);
        });
}

// Guards against a repeat budget that grows with failed connections: each one counted as a first
// send, so that more requests were repeated than the limit allows.
TEST_CASE("connections that fail do not raise the limit on repeats")
{
    constexpr std::size_t requests_to_dead_engines = 100;
    constexpr std::size_t requests = 60;
    constexpr double ratio = 0.25;
    fleet f;
    const std::vector<std::string> dead{"dead-1", "dead-2", "dead-3", "dead-4"};
    for (const std::string& id : dead)
    {
        // No process listens on the discard port.
        f.put_engine_record(id, 9, "ready");
    }
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            serving::server_settings changed = f.settings;
            changed.bounds.repeats.ratio = ratio;
            changed.bounds.repeats.allowance = 0;
            f.router->reload(changed);
            for (std::size_t n = 0; n < requests_to_dead_engines; ++n)
            {
                const http_response got = co_await f.send_request("GET", "/i/");
                REQUIRE(got.status == 503);
            }
            std::size_t arrivals = 0;
            std::set<std::string> arrived;
            for (const std::string id : {"e1", "e2"})
            {
                f.add_engine(id,
                             [&](const http_request& request)
                             {
                                 ++arrivals;
                                 arrived.insert(standin::request_id(request));
                                 return keep_open(
                                     make_response(request, 503, "", "X-Not-Executed: 1\r\n"));
                             });
            }
            for (const std::string& id : dead)
            {
                f.put_engine_record(id, 9, "draining");
            }
            co_await f.pause(1500);
            for (std::size_t n = 0; n < requests; ++n)
            {
                const http_response got = co_await f.send_request("GET", "/i/");
                REQUIRE(got.status == 503);
            }
            REQUIRE(arrived.size() == requests);
            const double sent = static_cast<double>(requests_to_dead_engines + requests);
            REQUIRE(static_cast<double>(arrivals - arrived.size()) <= ratio * sent);
        });
}
