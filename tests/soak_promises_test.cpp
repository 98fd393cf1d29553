#include <soak/promises.hpp>

#include <catch2/catch.hpp>

using namespace endivestage;
using namespace endivestage::soak;

// Guards against a soak run that passes although a promise was broken, because a check misses it.
TEST_CASE("each broken promise is reported")
{
    promise_checker checker;
    checker.record_disturbance({0});
    checker.record_sent("a", request_kind::once, "key", {10000});
    SECTION("a request that may run only once runs twice")
    {
        checker.record_execution("a", "e1", "z", {10001});
        checker.record_execution("a", "e2", "z", {10002});
        REQUIRE(checker.violations().front().promise == "at_most_once");
    }
    SECTION("a refused request had run")
    {
        checker.record_execution("a", "e1", "z", {10001});
        checker.record_outcome("a", caller_outcome::refused, false, false, {10002});
        REQUIRE(checker.violations().front().promise == "true_refusal");
    }
    SECTION("a refused request runs later")
    {
        checker.record_outcome("a", caller_outcome::refused, false, false, {10002});
        checker.record_execution("a", "e1", "z", {10003});
        REQUIRE(checker.violations().front().promise == "true_refusal");
    }
    SECTION("a response differs from the bytes that the engine generated")
    {
        checker.record_outcome("a", caller_outcome::served, false, false, {10002});
        REQUIRE(checker.violations().front().promise == "whole_answer");
    }
    SECTION("an engine runs a request that no caller sent")
    {
        checker.record_execution("b", "e1", "z", {10001});
        REQUIRE(checker.violations().front().promise == "only_what_was_sent");
    }
    SECTION("a withdrawn key is served")
    {
        checker.record_key_withdrawn("key", {4000});
        checker.record_execution("a", "e1", "z", {10001});
        REQUIRE(checker.violations().front().promise == "withdrawn_key");
    }
    SECTION("a leaving engine gets requests")
    {
        checker.record_engine_leaving("e1", {7000});
        checker.record_execution("a", "e1", "z", {10001});
        REQUIRE(checker.violations().front().promise == "leaving_engine");
    }
    SECTION("a zone out of service gets requests")
    {
        checker.record_zone_out_of_service("z", {5000});
        checker.record_execution("a", "e1", "z", {10001});
        REQUIRE(checker.violations().front().promise == "zone_out_of_service");
    }
    SECTION("a planned stop interrupts a request")
    {
        checker.record_execution("a", "e1", "z", {10001});
        checker.record_outcome("a", caller_outcome::no_answer, false, true, {10002});
        REQUIRE(checker.violations().front().promise == "planned_stop");
    }
    SECTION("a request that ran gets no response")
    {
        checker.record_execution("a", "e1", "z", {10001});
        checker.record_outcome("a", caller_outcome::no_answer, false, false, {10002});
        REQUIRE(checker.violations().front().promise == "answer_or_refusal");
    }
    SECTION("a connection ends long after the request was sent")
    {
        checker.record_outcome("a", caller_outcome::no_answer, false, true, {10201});
        REQUIRE(checker.violations().front().promise == "answer_or_refusal");
    }
    SECTION("a connection ends long after the request was sent, also for a delayed observer")
    {
        checker.record_observer_delay(millis{100});
        checker.record_sent("a", request_kind::once, "key", {10000});
        checker.record_observer_delay(millis{50});
        checker.record_outcome("a", caller_outcome::no_answer, false, false, {10251});
        REQUIRE(checker.violations().front().promise == "answer_or_refusal");
    }
    SECTION("a request runs after its connection has ended")
    {
        checker.record_outcome("a", caller_outcome::no_answer, false, false, {10002});
        checker.record_execution("a", "e1", "z", {10003});
        REQUIRE(checker.violations().front().promise == "answer_or_refusal");
    }
    SECTION("a router exits unexpectedly")
    {
        checker.record_process_exit("r1", 11);
        REQUIRE(checker.violations().front().promise == "process_runs");
    }
    SECTION("requests are not served after the faults")
    {
        checker.record_failed_recovery({100, 20});
        REQUIRE(checker.violations().front().promise == "recovery");
    }
    REQUIRE(checker.violations().size() == 1);
}

// Guards against joined streams that nobody notices.
TEST_CASE("a stream of two versions is reported")
{
    promise_checker checker;
    checker.record_versions("r1", {"v1"});
    checker.record_versions("r2", {});
    REQUIRE(checker.violations().empty());
    checker.record_versions("r3", {"v1", "v2"});
    REQUIRE(checker.violations().size() == 1);
    REQUIRE(checker.violations().front().promise == "one_version");
}

// Guards against false alarms for observations that the promises allow.
TEST_CASE("allowed observations are not reported")
{
    promise_checker checker;
    checker.record_disturbance({9000});
    checker.record_sent("a", request_kind::idempotent, "key", {10000});
    checker.record_execution("a", "e1", "z", {10001});
    checker.record_execution("a", "e2", "z", {10002});
    checker.record_outcome("a", caller_outcome::refused, false, false, {10003});
    checker.record_sent("b", request_kind::once, "old", {10000});
    checker.record_key_withdrawn("old", {9000});
    checker.record_engine_leaving("e3", {7000});
    checker.record_execution("b", "e3", "z", {10001});
    checker.record_outcome("b", caller_outcome::no_answer, false, true, {10004});
    REQUIRE(checker.violations().empty());
    REQUIRE(checker.count_requests({0}, {20000}).sent == 1);
    // The connection ended while the request was in transit, at last for a delayed observer.
    checker.record_sent("c", request_kind::once, "key", {20000});
    checker.record_outcome("c", caller_outcome::no_answer, false, true, {20200});
    checker.record_sent("d", request_kind::once, "key", {21000});
    checker.record_observer_delay(millis{300});
    checker.record_outcome("d", caller_outcome::no_answer, false, false, {21500});
    // A stream lasted until its route's timeout.
    checker.record_sent("g", request_kind::stream, "key", {21500});
    checker.record_execution("g", "e1", "z", {21500});
    checker.record_outcome("g", caller_outcome::timed_out, false, true, {25500});
    // A fault was in effect shortly before the request or during it.
    checker.record_disturbance({22000});
    checker.record_sent("e", request_kind::once, "key", {24000});
    checker.record_execution("e", "e1", "z", {24001});
    checker.record_outcome("e", caller_outcome::no_answer, false, false, {28000});
    checker.record_sent("f", request_kind::once, "key", {30000});
    checker.record_disturbance({30500});
    checker.record_outcome("f", caller_outcome::no_answer, false, false, {34000});
    REQUIRE(checker.violations().empty());
}

// Guards against routers that check engines in calm, when every check takes a slot of one.
TEST_CASE("a health check is reported unless something was disturbed a moment ago")
{
    promise_checker checker;
    checker.record_health_check("e1", {5000});
    REQUIRE(checker.violations().size() == 1);
    REQUIRE(checker.violations().front().promise == "only_what_was_sent");
    checker.record_disturbance({10000});
    checker.record_health_check("e1", {12000});
    REQUIRE(checker.violations().size() == 1);
    checker.record_health_check("e1", {13000});
    REQUIRE(checker.violations().size() == 2);
}
