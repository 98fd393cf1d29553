#include <endivestage/routing.hpp>

#include <catch2/catch.hpp>

using namespace endivestage;

namespace
{

constexpr std::uint64_t engine_a = 11;
constexpr std::uint64_t engine_b = 12;
constexpr std::uint64_t engine_c = 13;
constexpr std::uint32_t min_tokens = 100;

const std::vector<prompt_part> prompt{{1, 2500}, {2, 6000}};

bool any_engine(std::uint64_t)
{
    return true;
}

} // namespace

// Load: an engine joins and receives chats whose history other engines have cached. Without a
// source to copy from it would process the whole history again.
TEST_CASE("an engine without the prompt gets a source that holds all of it")
{
    prefix_directory directory;
    directory.record_served(std::span(prompt).first(1), engine_a, {0});
    directory.record_served(prompt, engine_b, {10});
    REQUIRE(directory.find_source(prompt, engine_c, any_engine, min_tokens, {20}) == engine_b);
}

// Guards against copy requests that transfer nothing and delay useful ones.
TEST_CASE("an engine that holds the prompt gets no source")
{
    prefix_directory directory;
    directory.record_served(prompt, engine_a, {0});
    directory.record_served(prompt, engine_b, {0});
    REQUIRE_FALSE(directory.find_source(prompt, engine_a, any_engine, min_tokens, {20}));
}

// Guards against copying a few tokens, which costs more than processing them.
TEST_CASE("a short missing part is not copied")
{
    prefix_directory directory;
    const std::vector<prompt_part> short_prompt{{1, 2500}, {3, 60}};
    directory.record_served(short_prompt, engine_a, {0});
    directory.record_served(std::span(short_prompt).first(1), engine_b, {0});
    REQUIRE_FALSE(directory.find_source(short_prompt, engine_b, any_engine, min_tokens, {20}));
}

// Guards against waiting for an engine that has left or is suspected to have failed.
TEST_CASE("sources that are not usable, expired or removed are not returned")
{
    prefix_directory directory(64, millis{1000});
    directory.record_served(prompt, engine_a, {0});
    const auto not_a = [](std::uint64_t engine)
    {
        return engine != engine_a;
    };
    REQUIRE_FALSE(directory.find_source(prompt, engine_c, not_a, min_tokens, {20}));
    REQUIRE_FALSE(directory.find_source(prompt, engine_c, any_engine, min_tokens, {2000}));
    directory.remove_engine(engine_a);
    REQUIRE_FALSE(directory.find_source(prompt, engine_c, any_engine, min_tokens, {20}));
}

// Guards against announcements that circulate forever, and against entries that routers started
// later never receive.
TEST_CASE("a sighting is announced once, and again after the announce interval")
{
    prefix_directory first;
    prefix_directory second;
    const std::vector<prefix_sighting> announcements = first.record_served(prompt, engine_a, {0});
    REQUIRE(announcements.size() == 2);
    REQUIRE(first.record_served(prompt, engine_a, {5}).empty());
    for (const prefix_sighting& sighting : announcements)
    {
        REQUIRE(second.apply(sighting, {10}));
        REQUIRE_FALSE(second.apply(sighting, {11}));
    }
    REQUIRE(second.find_source(prompt, engine_b, any_engine, min_tokens, {20}) == engine_a);
    REQUIRE(first.record_served(prompt, engine_a, {50000}).size() == 2);
}

// Guards against memory use that grows with the number of chats.
TEST_CASE("the least recently used parts are evicted")
{
    prefix_directory directory(2);
    directory.record_served(std::vector<prompt_part>{{1, 500}}, engine_a, {0});
    directory.record_served(std::vector<prompt_part>{{2, 500}}, engine_a, {1});
    directory.record_served(std::vector<prompt_part>{{1, 500}}, engine_a, {2});
    directory.record_served(std::vector<prompt_part>{{3, 500}}, engine_a, {3});
    REQUIRE(directory.size() == 2);
    REQUIRE(directory.find_source(std::vector<prompt_part>{{1, 500}}, engine_b, any_engine,
                                  min_tokens, {4}) == engine_a);
    REQUIRE_FALSE(directory.find_source(std::vector<prompt_part>{{2, 500}}, engine_b, any_engine,
                                        min_tokens, {4}));
}
