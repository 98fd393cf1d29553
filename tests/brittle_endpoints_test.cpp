#include <endivestage/routing.hpp>

#include <catch2/catch.hpp>

using namespace endivestage;

namespace
{

const service_id pool("pool");

endpoint_record make_endpoint(const std::string& id)
{
    endpoint_record record;
    record.id = endpoint_id(id);
    record.service = pool;
    return record;
}

} // namespace

// Guards against endpoints that count as sound until their first answer.
TEST_CASE("one answer makes all endpoints of the service brittle until they say otherwise")
{
    brittle_endpoints brittle;
    const endpoint_record e1 = make_endpoint("e1");
    const endpoint_record e2 = make_endpoint("e2");
    REQUIRE_FALSE(brittle.record_answer(e2, std::nullopt, time_point{0}));
    REQUIRE_FALSE(brittle.limit(e1, time_point{0}));
    REQUIRE(brittle.record_answer(e1, 5, time_point{100}) == 5U);
    REQUIRE(brittle.limit(e1, time_point{100}) == 5U);
    REQUIRE(brittle.limit(e2, time_point{100}) == 5U);
    REQUIRE_FALSE(brittle.record_answer(e2, 7, time_point{200}));
    REQUIRE(brittle.limit(e2, time_point{200}) == 7U);
    REQUIRE_FALSE(brittle.record_answer(e2, std::nullopt, time_point{300}));
    REQUIRE_FALSE(brittle.limit(e2, time_point{300}));
    REQUIRE(brittle.limit(e1, time_point{300}) == 5U);
    // A later statement of the service counts for endpoints that did not answer since.
    brittle.record_answer(e1, 5, time_point{400});
    REQUIRE(brittle.limit(e2, time_point{400}) == 5U);
}

// Guards against a limit that stays in force when no answer repeats it.
TEST_CASE("a statement ends some time after the last answer or announcement")
{
    brittle_endpoints brittle;
    const endpoint_record e1 = make_endpoint("e1");
    const endpoint_record e2 = make_endpoint("e2");
    REQUIRE(brittle.record_announcement(pool, 4, time_point{0}));
    REQUIRE_FALSE(brittle.record_announcement(pool, 4, time_point{6000}));
    REQUIRE(brittle.limit(e1, time_point{13999}) == 4U);
    REQUIRE(brittle.services(time_point{13999}) == 1);
    REQUIRE_FALSE(brittle.limit(e1, time_point{14000}));
    brittle.expire(time_point{14000});
    REQUIRE(brittle.services(time_point{14000}) == 0);
    // A higher limit elsewhere does not keep a lower one that nothing repeats.
    brittle.record_answer(e1, 2, time_point{20000});
    brittle.record_answer(e2, 9, time_point{24000});
    REQUIRE(brittle.limit(make_endpoint("e3"), time_point{24000}) == 2U);
    brittle.record_answer(e2, 9, time_point{28000});
    REQUIRE(brittle.limit(make_endpoint("e3"), time_point{28000}) == 9U);
}

// Guards against announcements with every answer of every router.
TEST_CASE("a statement is announced by one router at a time")
{
    brittle_endpoints brittle;
    const endpoint_record e1 = make_endpoint("e1");
    REQUIRE(brittle.record_answer(e1, 5, time_point{0}) == 5U);
    REQUIRE_FALSE(brittle.record_answer(e1, 5, time_point{1999}));
    brittle.record_announcement(pool, 5, time_point{1999});
    REQUIRE_FALSE(brittle.record_answer(e1, 5, time_point{3998}));
    REQUIRE(brittle.record_answer(e1, 5, time_point{3999}) == 5U);
}

// Guards against malformed announcements.
TEST_CASE("rejection limits are read from positive numbers only")
{
    REQUIRE(decode_rejection_limit(encode_rejection_limit(17)) == 17U);
    for (const char* text : {"", "0", "-1", "+1", "1 ", "x", "99999999999"})
    {
        CAPTURE(text);
        REQUIRE_FALSE(decode_rejection_limit(text));
    }
}
