#include <soak/promises.hpp>

#include <catch2/catch.hpp>

using namespace endivestage;
using namespace endivestage::soak;

// Guards against a soak that passes because its checks see nothing.
TEST_CASE("each broken promise is reported")
{
    promise_checker log;
    log.record_disturbance({0});
    log.record_sent("a", request_kind::once, "key", {10000});
    SECTION("a request that may run once runs twice")
    {
        log.record_execution("a", "e1", "z", {10001});
        log.record_execution("a", "e2", "z", {10002});
        REQUIRE(log.violations().front().promise == "at_most_once");
    }
    SECTION("a refused request had run")
    {
        log.record_execution("a", "e1", "z", {10001});
        log.record_outcome("a", caller_outcome::refused, false, false, {10002});
        REQUIRE(log.violations().front().promise == "true_refusal");
    }
    SECTION("a refused request runs later")
    {
        log.record_outcome("a", caller_outcome::refused, false, false, {10002});
        log.record_execution("a", "e1", "z", {10003});
        REQUIRE(log.violations().front().promise == "true_refusal");
    }
    SECTION("an answer is not what the engine made")
    {
        log.record_outcome("a", caller_outcome::served, false, false, {10002});
        REQUIRE(log.violations().front().promise == "whole_answer");
    }
    SECTION("an engine runs what nobody sent")
    {
        log.record_execution("b", "e1", "z", {10001});
        REQUIRE(log.violations().front().promise == "only_what_was_sent");
    }
    SECTION("a withdrawn key is served")
    {
        log.record_key_withdrawn("key", {4000});
        log.record_execution("a", "e1", "z", {10001});
        REQUIRE(log.violations().front().promise == "withdrawn_key");
    }
    SECTION("a leaving engine gets work")
    {
        log.record_engine_leaving("e1", {7000});
        log.record_execution("a", "e1", "z", {10001});
        REQUIRE(log.violations().front().promise == "leaving_engine");
    }
    SECTION("a zone out of service gets work")
    {
        log.record_zone_out_of_service("z", {5000});
        log.record_execution("a", "e1", "z", {10001});
        REQUIRE(log.violations().front().promise == "zone_out_of_service");
    }
    SECTION("a planned stop cuts a request")
    {
        log.record_execution("a", "e1", "z", {10001});
        log.record_outcome("a", caller_outcome::no_answer, false, true, {10002});
        REQUIRE(log.violations().front().promise == "planned_stop");
    }
    SECTION("a router ends by itself")
    {
        log.record_process_exit("r1", 11);
        REQUIRE(log.violations().front().promise == "process_runs");
    }
    SECTION("requests are not served after the faults")
    {
        log.record_failed_recovery({100, 20});
        REQUIRE(log.violations().front().promise == "recovery");
    }
    REQUIRE(log.violations().size() == 1);
}

// Guards against false alarms: what the promises allow.
TEST_CASE("what is allowed is not reported")
{
    promise_checker log;
    log.record_disturbance({9000});
    log.record_sent("a", request_kind::idempotent, "key", {10000});
    log.record_execution("a", "e1", "z", {10001});
    log.record_execution("a", "e2", "z", {10002});
    log.record_outcome("a", caller_outcome::refused, false, false, {10003});
    log.record_sent("b", request_kind::once, "old", {10000});
    log.record_key_withdrawn("old", {9000});
    log.record_engine_leaving("e3", {7000});
    log.record_execution("b", "e3", "z", {10001});
    log.record_outcome("b", caller_outcome::no_answer, false, true, {10004});
    REQUIRE(log.violations().empty());
    REQUIRE(log.count_requests({0}, {20000}).sent == 1);
}
