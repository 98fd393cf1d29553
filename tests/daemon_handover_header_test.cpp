// The header field of requests that one router hands to another one.

#include <endivestage/serving/handover_header.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace endivestage;
using daemon::http_request;
using serving::handover_info;

namespace
{

constexpr const char* handover_field = "Endivestage-Handover";

result<handover_info> read(std::string text)
{
    http_request request;
    request.fields.emplace_back(handover_field, std::move(text));
    return serving::take_handover(request);
}

bool is_refused(const std::string& text)
{
    const result<handover_info> info = read(text);
    return !info && info.error() == make_error_code(errc::invalid_request);
}

std::string write(const handover_info& info)
{
    http_request request;
    serving::write_handover(request, info);
    return std::string(daemon::find_field(request.fields, handover_field));
}

handover_info random_info()
{
    handover_info info;
    info.config_version = *rc::gen::arbitrary<std::uint64_t>();
    info.sends = *rc::gen::arbitrary<std::uint32_t>();
    info.possible_executions = *rc::gen::arbitrary<std::uint32_t>();
    const std::string attempt = *rc::gen::arbitrary<std::string>();
    if (!attempt.empty())
    {
        info.last_event_id = *rc::gen::arbitrary<std::uint64_t>();
        info.first_attempt = request_id(attempt);
    }
    return info;
}

bool equal(const handover_info& a, const handover_info& b)
{
    return a.config_version == b.config_version && a.sends == b.sends &&
           a.possible_executions == b.possible_executions && a.last_event_id == b.last_event_id &&
           a.first_attempt == b.first_attempt;
}

} // namespace

// Guards against figures that change on the way, and against fields that a caller smuggles in.
TEST_CASE("a handover is read as it was written and leaves no field behind")
{
    rc::check(
        []
        {
            const handover_info info = random_info();
            http_request request;
            request.fields.emplace_back("ENDIVESTAGE-handover", "1;9;9;9");
            request.fields.emplace_back("Host", "t.example");
            serving::write_handover(request, info);
            RC_ASSERT(serving::is_handed_over(request));
            const result<handover_info> taken = serving::take_handover(request);
            RC_ASSERT(taken.has_value());
            RC_ASSERT(equal(*taken, info));
            RC_ASSERT(!serving::is_handed_over(request));
            RC_ASSERT(request.fields.size() == 1U);
        });
}

// Guards against malformed bytes between routers that pass as a handover or end a router.
TEST_CASE("malformed handovers are errors")
{
    for (const char* text :
         {"", ";", ";;;;;;;", "1", "1;", "1;2;3", "2;2;3;4", "1;2;3;4;", "1;2;3;4;5", "1;2;3;4;5;",
          "1;2;3;4;x;first", "1;-2;3;4", "1; 2;3;4", "1;2;3;4294967296",
          "1;18446744073709551616;3;4", "1;2;3;4x", "01;2;3;4", "1;2;3;4;-1;first"})
    {
        INFO(text);
        REQUIRE(is_refused(text));
    }
}

// Guards against bytes that are read as something that no router has written.
TEST_CASE("damaged handovers are errors or read as what a router could have written")
{
    rc::check(
        []
        {
            std::string text = *rc::gen::element(write(random_info()), std::string("1;2;3;4"),
                                                 *rc::gen::arbitrary<std::string>());
            for (std::size_t n = *rc::gen::inRange<std::size_t>(0, 4); n > 0; --n)
            {
                const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
                const std::size_t erased = *rc::gen::inRange<std::size_t>(0, 3);
                text.replace(at, erased, 1, *rc::gen::element(';', '1', '-', 'x', '\0', '\xff'));
            }
            const result<handover_info> info = read(text);
            if (!info)
            {
                RC_ASSERT(info.error() == make_error_code(errc::invalid_request));
                return;
            }
            const result<handover_info> again = read(write(*info));
            RC_ASSERT(again.has_value());
            RC_ASSERT(equal(*again, *info));
        });
}

// Guards against refusals that pass for answers, and against marks that callers get to see.
TEST_CASE("the mark of a response says whether the request was taken and is removed")
{
    for (const serving::handover_refusal refusal :
         {serving::handover_refusal::cut_off, serving::handover_refusal::busy,
          serving::handover_refusal::not_ready, serving::handover_refusal::stale,
          serving::handover_refusal::malformed})
    {
        daemon::http_response response;
        serving::mark_response(response, refusal);
        const serving::handover_mark mark = serving::take_mark(response);
        REQUIRE(mark.present);
        REQUIRE(mark.refused);
        REQUIRE(mark.reason == serving::to_string(refusal));
        REQUIRE(response.fields.empty());
    }
    daemon::http_response response;
    REQUIRE_FALSE(serving::take_mark(response).present);
    serving::mark_response(response, std::nullopt);
    const serving::handover_mark mark = serving::take_mark(response);
    REQUIRE(mark.present);
    REQUIRE_FALSE(mark.refused);
    REQUIRE(response.fields.empty());
}

// Guards against requests that run twice because an endpoint's response passes for a refusal of the
// router that took the request.
TEST_CASE("a field of an endpoint does not change the mark of a response")
{
    daemon::http_response response;
    response.fields.emplace_back("endivestage-handover-answer", "busy");
    serving::mark_response(response, std::nullopt);
    const serving::handover_mark mark = serving::take_mark(response);
    REQUIRE(mark.present);
    REQUIRE_FALSE(mark.refused);
    REQUIRE(response.fields.empty());
}
