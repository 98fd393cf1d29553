#include <endivestage/routing.hpp>

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

using namespace endivestage;

// Load: a faulty endpoint answers many requests at once with bytes that never end.
TEST_CASE("answers without end leave room for a small answer")
{
    constexpr std::size_t piece = 16384;
    constexpr std::size_t total = 40UL * 1024 * 1024;
    for (const std::size_t floods : {1UL, 8UL, 64UL, 300UL})
    {
        buffer_budget budget(total);
        std::vector<std::unique_ptr<buffer_share>> shares;
        for (std::size_t n = 0; n < floods; ++n)
        {
            shares.push_back(std::make_unique<buffer_share>(budget));
        }
        for (bool grown = true; grown;)
        {
            grown = false;
            for (const std::unique_ptr<buffer_share>& share : shares)
            {
                grown = share->resize(share->held() + piece) || grown;
            }
        }
        REQUIRE(budget.in_use() < total);
        buffer_share small(budget);
        REQUIRE(small.resize(64UL * 1024));
    }
}

// Guards against a budget that is used up by answers that have ended.
TEST_CASE("an answer returns its part of the budget")
{
    buffer_budget budget(1000);
    {
        buffer_share share(budget);
        REQUIRE(share.resize(400));
        REQUIRE_FALSE(share.resize(501));
        REQUIRE(share.held() == 400);
        REQUIRE(share.resize(100));
        REQUIRE(budget.in_use() == 100);
    }
    REQUIRE(budget.in_use() == 0);
    buffer_share next(budget);
    REQUIRE(next.resize(500));
    next.release();
    REQUIRE(budget.in_use() == 0);
}
