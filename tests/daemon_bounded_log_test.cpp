#include <endivestage/daemon/internal/bounded_appender.hpp>
#include <endivestage/daemon/logging.hpp>

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <memory>
#include <string>
#include <unistd.h>

using namespace endivestage::daemon;

namespace
{

/// A pipe and an appender that writes to it.
struct piped_log
{
    explicit piped_log(std::size_t most_queued)
    {
        REQUIRE(::pipe(ends) == 0);
        // One page: the smallest buffer that the kernel gives.
        ::fcntl(ends[1], F_SETPIPE_SZ, 4096);
        appender = new bounded_appender(ends[1], most_queued);
        appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    }

    ~piped_log()
    {
        appender->close();
        ::close(ends[0]);
        ::close(ends[1]);
    }

    void write(const std::string& text)
    {
        const log4cplus::spi::InternalLoggingEvent event("log", log4cplus::INFO_LOG_LEVEL, text,
                                                         __FILE__, __LINE__);
        appender->doAppend(event);
    }

    std::string read_available()
    {
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        std::string all;
        char buf[4096];
        for (ssize_t n = ::read(ends[0], buf, sizeof buf); n > 0;
             n = ::read(ends[0], buf, sizeof buf))
        {
            all.append(buf, static_cast<std::size_t>(n));
        }
        return all;
    }

    int ends[2] = {-1, -1};
    log4cplus::helpers::SharedObjectPtr<bounded_appender> appender;
};

const log4cplus::Initializer library;

} // namespace

// Fault: nobody reads the standard output. The router must go on; the test would hang otherwise.
TEST_CASE("a reader that never reads neither stops nor slows the writer")
{
    piped_log log(50);
    const std::string line(200, 'x');
    for (int n = 0; n < 5000; ++n)
    {
        log.write(line);
    }
    REQUIRE(log.appender->dropped() > 4800);
}

TEST_CASE("lines come out whole and in order when the reader goes on")
{
    piped_log log(1000);
    std::string expected;
    for (int n = 0; n < 300; ++n)
    {
        const std::string line = "line-" + std::to_string(n) + std::string(40, '.');
        log.write(line);
        expected += line + "\n";
    }
    std::string got;
    while (got.size() < expected.size())
    {
        const std::string part = log.read_available();
        REQUIRE_FALSE(part.empty());
        got += part;
        log.appender->flush();
    }
    REQUIRE(got == expected);
    REQUIRE(log.appender->dropped() == 0);
}
