// Load reports of endpoints, as the platform's codec decodes them and as a router counts them.

#include "platform_fleet.hpp"

using namespace endivestage;
using namespace endivestage::test;

namespace
{

serving::response_info decode(const std::string& report)
{
    const serving::server_settings settings;
    asio::io_context context;
    const serving::platform_adapter adapter = platform::make_adapter(context, settings);
    http_response head;
    head.status = 200;
    head.fields.emplace_back("X-Server-Load", report);
    return adapter.codec->decode_response(head, request_id("r"));
}

struct report_case
{
    std::string text;
    std::optional<double> load; ///< Running and waiting requests.
    std::optional<double> pace;
    std::optional<std::size_t> unknown_figures;
};

} // namespace

// Guards against dropping the whole report because of a figure that this release does not know, and
// against taking a figure that cannot be read for 0.
TEST_CASE("a load report is decoded as far as it is known")
{
    const std::vector<report_case> cases{
        {"3,2,16", 5.0, std::nullopt, std::nullopt}, {"3,2,16,130", 5.0, 1.3, std::nullopt},
        {"3, 2, 16, 100", 5.0, 1.0, std::nullopt},   {"3,2,16,130,7", 5.0, 1.3, 5},
        {"3,2,16,x", 5.0, std::nullopt, 4},          {"3,2,16,0", 5.0, std::nullopt, 4},
        {"3,2", std::nullopt, std::nullopt, 2},      {"x,2,16,130", std::nullopt, std::nullopt, 4},
        {"-1,2,16", std::nullopt, std::nullopt, 3},  {"", std::nullopt, std::nullopt, 0},
    };
    for (const report_case& c : cases)
    {
        CAPTURE(c.text);
        const serving::response_info info = decode(c.text);
        REQUIRE(info.load.has_value() == c.load.has_value());
        REQUIRE(info.unknown_load_figures == c.unknown_figures);
        if (info.load)
        {
            REQUIRE(info.load->running + info.load->waiting == *c.load);
            REQUIRE(info.load->slots == 16);
            REQUIRE(info.load->pace == c.pace);
        }
    }
}

// Guards against reports in an unknown form that nobody notices.
TEST_CASE("load reports with unknown figures are counted")
{
    fleet f;
    f.add_engine("e1",
                 [](const http_request& request) {
                     return keep_open(
                         make_response(request, 200, "done", "X-Server-Load: 1,0,16,100,5\r\n"));
                 });
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            for (int n = 0; n < 3; ++n)
            {
                const http_response response = co_await f.send_request("POST", "/o/x");
                REQUIRE(response.status == 200);
            }
            const http_response metrics = co_await f.get(f.settings.metrics, "/metrics");
            REQUIRE(metrics.body.find("endivestage_unknown_load_reports_total 3") !=
                    std::string::npos);
        });
}
