#include <catch2/catch.hpp>
#include <endivestage/core.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace endivestage;

namespace
{

std::vector<weighted_node> make_nodes(std::size_t count)
{
    std::vector<weighted_node> nodes;
    for (std::size_t n = 0; n < count; ++n)
    {
        nodes.push_back({hash64("node-" + std::to_string(n)), 1.0});
    }
    return nodes;
}

} // namespace

// Guards against a change of the nodes that moves keys between the remaining nodes.
TEST_CASE("removing a node moves only its own keys")
{
    const std::vector<weighted_node> all = make_nodes(9);
    const std::vector<weighted_node> fewer(all.begin(), all.end() - 1);
    rc::prop("keys of the remaining nodes stay",
             [&](std::uint64_t key)
             {
                 const std::size_t before = rank_by_rendezvous(key, all, 1).front();
                 const std::size_t after = rank_by_rendezvous(key, fewer, 1).front();
                 RC_ASSERT((before == all.size() - 1 || before == after));
             });
}

// Guards against ignored weights, which would overload small nodes.
TEST_CASE("a node of twice the weight gets twice the keys")
{
    std::vector<weighted_node> nodes = make_nodes(4);
    nodes[0].weight = 2.0;
    std::map<std::size_t, int> wins;
    constexpr int keys = 50000;
    for (int n = 0; n < keys; ++n)
    {
        ++wins[rank_by_rendezvous(hash64("key-" + std::to_string(n)), nodes, 1).front()];
    }
    REQUIRE(wins[0] == Approx(keys * 2.0 / 5.0).epsilon(0.03));
    REQUIRE(wins[1] == Approx(keys * 1.0 / 5.0).epsilon(0.05));
}

// Guards against two codes that callers cannot distinguish.
TEST_CASE("every error code has its own name")
{
    std::vector<std::string> names;
    for (int n = 0; n <= static_cast<int>(errc::internal); ++n)
    {
        names.push_back(make_error_code(static_cast<errc>(n)).message());
    }
    std::sort(names.begin(), names.end());
    REQUIRE(std::adjacent_find(names.begin(), names.end()) == names.end());
}
