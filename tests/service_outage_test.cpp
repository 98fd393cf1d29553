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
    REQUIRE_FALSE(outage.rewritten_by(start + millis{3920}));
}

// Guards against the same where the calls for all tables fail in a short silence.
TEST_CASE("a short silence of the table service is no outage")
{
    service_outage outage;
    outage.record_success(start);
    outage.record_failure(start + millis{5});
    outage.record_failure(start + millis{100});
    outage.record_success(start + millis{1630});
    REQUIRE_FALSE(outage.rewritten_by(start + millis{1630}));
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
    REQUIRE(outage.rewritten_by(back) == back + millis{2000});
    outage.record_success(back + millis{900});
    REQUIRE(outage.rewritten_by(back + millis{1900}) == back + millis{2000});
    REQUIRE_FALSE(outage.rewritten_by(back + millis{2000}));
}

// Guards against taking the time in which a router followed a relay for an outage of the service.
TEST_CASE("time without calls is no outage")
{
    service_outage outage;
    outage.record_success(start);
    outage.record_failure(start + millis{60000});
    outage.record_success(start + millis{60500});
    REQUIRE_FALSE(outage.rewritten_by(start + millis{60500}));
}

// Guards against requests to endpoints that have left: a router whose calls had failed followed a
// relay until long after the service was back, and took its own next response for the end of the
// outage.
TEST_CASE("a response to another router ends the outage")
{
    service_outage outage;
    outage.record_success(start);
    outage.record_failure(start + millis{5});
    outage.record_failure(start + millis{1500});
    const time_point back = start + millis{8000};
    const time_point rewritten_by = back + millis{2000};
    outage.record_relay_answer(back, rewritten_by);
    REQUIRE(outage.rewritten_by(back) == rewritten_by);
    outage.record_relay_answer(back + millis{1400}, rewritten_by);
    outage.record_success(back + millis{1500});
    REQUIRE(outage.rewritten_by(back + millis{1500}) == rewritten_by);
    outage.record_failure(back + millis{1600});
    outage.record_relay_answer(back + millis{4000}, std::nullopt);
    outage.record_success(back + millis{5000});
    REQUIRE_FALSE(outage.rewritten_by(back + millis{5000}));
}

// Guards against the same with a router that was cut off on its own and is the relay of others
// afterwards: their copies were current, so no record can have expired.
TEST_CASE("a router whose copies were current ignores the outage of its relay")
{
    service_outage outage;
    outage.record_relay_answer(start, std::nullopt);
    outage.record_relay_answer(start + millis{2400}, std::nullopt);
    outage.record_relay_answer(start + millis{4800}, start + millis{6700});
    REQUIRE_FALSE(outage.rewritten_by(start + millis{4800}));
}

// Guards against dropping endpoints after an outage for the whole fleet: routers that made no calls
// of their own must learn of it from their relay.
TEST_CASE("a router with old copies takes the end of an outage from its relay")
{
    service_outage outage;
    outage.record_relay_answer(start, std::nullopt);
    const time_point back = start + millis{4000};
    outage.record_relay_answer(back, back + millis{1900});
    REQUIRE(outage.rewritten_by(back + millis{1800}) == back + millis{1900});
    // Another relay learned of it later.
    outage.record_relay_answer(back + millis{400}, back + millis{2400});
    REQUIRE_FALSE(outage.rewritten_by(back + millis{1900}));
}
