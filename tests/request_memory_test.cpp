#include <endivestage/routing.hpp>

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

using namespace endivestage;

namespace
{

constexpr std::size_t body_bytes = 1000000;
constexpr std::size_t capacity = 10 * body_bytes;

time_point at(std::int64_t ms)
{
    return time_point{} + millis{ms};
}

} // namespace

// Load: large bodies from many addresses fill the budget. Guards against a small request that finds
// no memory beside them.
TEST_CASE("a small request fits beside large ones that take all they may")
{
    request_memory memory(request_memory_config::for_capacity(capacity));
    std::vector<std::shared_ptr<request_reservation>> large;
    bool granted = true;
    while (granted)
    {
        large.push_back(memory.open("10.0.0." + std::to_string(large.size()), at(0)));
        granted = large.back()->resize(body_bytes);
    }
    REQUIRE(large.size() == 8);
    REQUIRE(memory.open("10.0.0.1", at(0))->resize(65536));
    REQUIRE(memory.in_use() == 7 * body_bytes);
    large.clear();
    REQUIRE(memory.in_use() == 0);
}

// Load: one address opens large bodies without end. Guards against an address that uses what others
// need, and against a share that refuses a single body.
TEST_CASE("the large requests of one address leave room for those of another")
{
    request_memory memory(request_memory_config::for_capacity(capacity));
    std::vector<std::shared_ptr<request_reservation>> same;
    bool granted = true;
    while (granted)
    {
        same.push_back(memory.open("10.0.0.1", at(0)));
        granted = same.back()->resize(body_bytes);
    }
    REQUIRE(memory.open("10.0.0.2", at(0))->resize(body_bytes));
    same.clear();
    const std::shared_ptr<request_reservation> single = memory.open("10.0.0.1", at(0));
    REQUIRE(single->resize(7 * body_bytes));
    REQUIRE_FALSE(single->resize(8 * body_bytes));
    REQUIRE(single->held() == 7 * body_bytes);
}

// Load: bodies that stop at different times beside one that goes on, one that waits for memory and
// one that is whole. Guards against an eviction of the wrong body.
TEST_CASE("only unfinished bodies below the minimum rate are evicted, the slowest first")
{
    request_memory memory(request_memory_config::for_capacity(capacity));
    std::vector<std::shared_ptr<request_reservation>> open;
    std::vector<int> evicted;
    for (int n = 0; n < 5; ++n)
    {
        open.push_back(memory.open("10.0.0." + std::to_string(n), at(0)));
        REQUIRE(open.back()->resize(body_bytes));
        open.back()->on_evict([&evicted, n] { evicted.push_back(n); });
        open.back()->record_arrival(body_bytes / 2, at(0));
    }
    open[1]->record_arrival(100000, at(300));
    open[2]->begin_wait(at(1));
    open[3]->finish();
    open[4]->record_arrival(100000, at(990));
    REQUIRE(memory.evict(body_bytes, at(50)) == 0);
    REQUIRE(memory.evict(body_bytes, at(1000)) == 1);
    REQUIRE(evicted == std::vector<int>{0});
    // Its memory is on its way.
    REQUIRE(memory.evict(body_bytes, at(1000)) == 0);
    REQUIRE(memory.evict(5 * body_bytes, at(1000)) == 1);
    REQUIRE(evicted == std::vector<int>{0, 1});
    open[2]->end_wait(at(1000));
    REQUIRE(memory.evict(5 * body_bytes, at(1010)) == 0);
    REQUIRE(memory.evictions() == 2);
}
