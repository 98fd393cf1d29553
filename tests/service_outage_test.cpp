#include <endivestage/replication.hpp>

#include <catch2/catch.hpp>

using namespace endivestage;

namespace
{

constexpr time_point start{10000};

} // namespace

// Guards against requests to endpoints that have left: the poll of one table that lost its response
// was taken for an outage when it timed out, and records that went then were kept.
TEST_CASE("a lost poll beside answered calls is no outage")
{
    service_outage outage;
    outage.record_success(start);
    const time_point poll_sent = start + millis{10};
    for (std::int64_t n = 1; n <= 6; ++n)
    {
        outage.record_success(start + millis{600} * n);
    }
    outage.record_failure(poll_sent);
    outage.record_success(start + millis{3920});
    REQUIRE_FALSE(outage.is_settling(start + millis{3920}));
}

// Guards against the same where the calls for all tables fail in a short silence.
TEST_CASE("a short silence of the table service is no outage")
{
    service_outage outage;
    outage.record_success(start);
    outage.record_failure(start + millis{5});
    outage.record_failure(start + millis{100});
    outage.record_success(start + millis{1630});
    REQUIRE_FALSE(outage.is_settling(start + millis{1630}));
}

// Guards against dropping endpoints that could not write their records: the first table that is
// read again must not hide the outage from the others.
TEST_CASE("an outage lasts for all tables until records are written again")
{
    service_outage outage;
    outage.record_success(start);
    outage.record_failure(start + millis{5});
    outage.record_failure(start + millis{5});
    const time_point back = start + millis{4000};
    outage.record_success(back);
    REQUIRE(outage.is_settling(back));
    outage.record_success(back + millis{900});
    REQUIRE(outage.is_settling(back + millis{2400}));
    REQUIRE_FALSE(outage.is_settling(back + millis{2500}));
}

// Guards against taking the time in which a router followed a relay for an outage of the service.
TEST_CASE("time without calls is no outage")
{
    service_outage outage;
    outage.record_success(start);
    outage.record_failure(start + millis{60000});
    outage.record_success(start + millis{60500});
    REQUIRE_FALSE(outage.is_settling(start + millis{60500}));
}
