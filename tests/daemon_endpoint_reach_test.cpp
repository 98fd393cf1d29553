// Evidence that a router takes from its requests for having lost the endpoints.

#include "platform_fleet.hpp"

#include <algorithm>

using namespace endivestage;
using namespace endivestage::test;

// Guards against health checks, which take slots of endpoints, in a fleet that has no trouble but a
// request that takes long wherever it is sent.
TEST_CASE("one slow request raises no doubt about the router's links")
{
    fleet f;
    for (const char* id : {"e1", "e2", "e3", "e4"})
    {
        f.add_engine(id,
                     [](const http_request& request)
                     {
                         engine_reply reply = respond_ok()(request);
                         reply.delay = millis{request.target == "/i/slow" ? 4000 : 0};
                         return reply;
                     });
    }
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            co_await f.send_request("GET", "/i/slow");
            co_await f.pause(300);
            std::size_t sends = 0;
            std::size_t checks = 0;
            for (auto it = f.engines.begin(); it != f.engines.end(); ++it)
            {
                const std::vector<http_request>& received = (*it)->received();
                sends += received.size();
                checks += static_cast<std::size_t>(std::count_if(
                    received.begin(), received.end(),
                    [](const http_request& request) { return request.target == "/healthz"; }));
            }
            REQUIRE(sends - checks == 2);
            REQUIRE(checks == 0);
        });
}
