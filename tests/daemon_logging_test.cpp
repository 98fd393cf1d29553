#include <catch2/catch.hpp>
#include <cstdio>
#include <endivestage/daemon/logging.hpp>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

using namespace endivestage;
using namespace endivestage::daemon;

// Guards against a value that looks like further fields or lines.
TEST_CASE("an event is one line of key=value pairs")
{
    const log_options options{"", "127.0.0.1", "z1"};
    CHECK(format_event({1'796'360'645'007}, options, log_level::warning, "peer_lost",
                       {{"peer", router_id("r1")},
                        {"text", "a b=\"c\"\\\n\x01"},
                        {"empty", ""},
                        {"count", 3},
                        {"wait_ms", millis{20}},
                        {"live", true},
                        {"ratio", 0.5},
                        make_error_code(errc::peer_unavailable)}) ==
          "time=2026-12-04T05:04:05.007Z level=warning event=peer_lost host=127.0.0.1 zone=z1 "
          "peer=r1 text=\"a b=\\\"c\\\"\\\\\\n\\x01\" empty=\"\" count=3 wait_ms=20 live=true "
          "ratio=0.5 error=endivestage:peer_unavailable");
}

// Guards against lost lines, a level that is ignored, and a log file that fails silently.
TEST_CASE("events are appended to the log file")
{
    const std::string file = "daemon_logging_test." + std::to_string(getpid()) + ".log";
    const std::error_code failure = start_logging({"no-such-directory/x.log", "h", "z"});
    CHECK(failure == std::errc::no_such_file_or_directory);
    for (int n = 0; n < 2; ++n)
    {
        REQUIRE_FALSE(start_logging({file, "h", "z"}));
        log_event(log_level::debug, "hidden");
        log_event(log_level::info, "started", {{"n", n}});
        stop_logging();
        log_event(log_level::error, "after_stop");
    }
    std::ifstream stream(file);
    std::ostringstream text;
    text << stream.rdbuf();
    std::remove(file.c_str());
    CHECK(text.str().find("hidden") == std::string::npos);
    CHECK(text.str().find("after_stop") == std::string::npos);
    CHECK(text.str().find("level=info event=started host=h zone=z n=0\n") != std::string::npos);
    CHECK(text.str().find("level=info event=started host=h zone=z n=1\n") != std::string::npos);
}
