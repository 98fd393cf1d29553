#include <catch2/catch.hpp>
#include <endivestage/placement.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <list>
#include <string>
#include <utility>
#include <vector>

using namespace endivestage;

namespace
{

std::vector<pool_engine> random_engines()
{
    std::vector<pool_engine> engines;
    const int count = *rc::gen::inRange(0, 20);
    for (int n = 0; n < count; ++n)
    {
        const double capacity = *rc::gen::element(1.0, 1.0, 2.0, 3.5);
        const auto zone = *rc::gen::inRange<std::uint32_t>(0, 4);
        const bool usable = *rc::gen::inRange(0, 4) > 0;
        engines.push_back({hash64("engine-" + std::to_string(n)), capacity, zone, usable});
    }
    return engines;
}

// Reference ranking: the usable engines in rendezvous order, with the best engine outside of the
// first zone as second.
std::vector<std::size_t> expected_ranks(std::uint64_t key, const std::vector<pool_engine>& engines)
{
    std::vector<weighted_node> nodes;
    std::vector<std::size_t> positions;
    for (std::size_t n = 0; n < engines.size(); ++n)
    {
        if (engines[n].usable)
        {
            nodes.push_back({engines[n].hash, engines[n].capacity});
            positions.push_back(n);
        }
    }
    std::vector<std::size_t> ranked;
    for (const std::size_t n : rank_by_rendezvous(key, nodes, nodes.size()))
    {
        ranked.push_back(positions[n]);
    }
    if (ranked.empty())
    {
        return ranked;
    }
    auto other =
        std::find_if(ranked.begin(), ranked.end(),
                     [&](std::size_t n) { return engines[n].zone != engines[ranked[0]].zone; });
    if (other != ranked.end())
    {
        std::rotate(ranked.begin() + 1, other, other + 1);
    }
    return ranked;
}

} // namespace

// Guards against rankings that deviate from the common definition and so differ between routers,
// against a second candidate in the same zone as the first although another zone has one, and
// against candidates that are unusable.
TEST_CASE("candidates are the usable engines in rendezvous order, the second in another zone")
{
    const bool holds =
        rc::check("ranks equal those of the reference ranking",
                  [](std::uint64_t key)
                  {
                      const std::vector<pool_engine> engines = random_engines();
                      const std::vector<std::size_t> expected = expected_ranks(key, engines);
                      const auto limit = *rc::gen::inRange<std::size_t>(0, 8);
                      const std::vector<std::size_t> ranked =
                          candidate_ranking(engines).candidates(key, limit);
                      RC_ASSERT(ranked.size() == std::min(limit, expected.size()));
                      RC_ASSERT(std::equal(ranked.begin(), ranked.end(), expected.begin()));
                  });
    REQUIRE(holds);
}

// Guards against chats that change their engine although only another engine became unusable, and
// against chats that do not return to the engine when it is usable again.
TEST_CASE("an engine that becomes unusable moves only its own chats")
{
    std::vector<pool_engine> engines;
    for (std::uint32_t n = 0; n < 9; ++n)
    {
        engines.push_back({hash64("engine-" + std::to_string(n)), 1.0, n % 4, true});
    }
    candidate_ranking ranking(engines);
    std::vector<std::size_t> before;
    for (std::uint64_t key = 0; key < 500; ++key)
    {
        before.push_back(ranking.candidates(hash64(std::to_string(key)), 1).front());
    }
    ranking.set_usable(3, false);
    for (std::uint64_t key = 0; key < 500; ++key)
    {
        const std::size_t now = ranking.candidates(hash64(std::to_string(key)), 1).front();
        REQUIRE(now != 3);
        REQUIRE((before[key] == 3 || before[key] == now));
    }
    ranking.set_usable(3, true);
    REQUIRE(ranking.candidates(hash64("0"), 1).front() == before[0]);
}

// Guards against an index that grows without bound or evicts recently used chats before older ones.
TEST_CASE("the recency index keeps the most recent chats within the token capacity")
{
    const bool holds =
        rc::check("index equals a list kept in order of use",
                  []
                  {
                      recency_index index(100);
                      std::list<std::pair<std::uint64_t, std::uint32_t>> model; // Latest use first.
                      for (int n = 0; n < 200; ++n)
                      {
                          const auto key = *rc::gen::inRange<std::uint64_t>(0, 12);
                          const auto tokens = *rc::gen::inRange<std::uint32_t>(0, 60);
                          model.remove_if([&](const auto& it) { return it.first == key; });
                          if (*rc::gen::inRange(0, 8) == 0)
                          {
                              index.erase(key);
                          }
                          else
                          {
                              index.put(key, tokens);
                              model.emplace_front(key, tokens);
                          }
                          std::uint64_t sum = 0;
                          model.remove_if([&](const auto& it)
                                          { return it.second == 0 || (sum += it.second) > 100; });
                          std::uint64_t total = 0;
                          for (const auto& [chat, cached] : model)
                          {
                              RC_ASSERT(index.cached_tokens(chat) == cached);
                              total += cached;
                          }
                          RC_ASSERT(index.size() == model.size());
                          RC_ASSERT(index.total_tokens() == total);
                      }
                      recency_index copy(100);
                      for (const recency_entry& it : index.entries())
                      {
                          copy.put(it.chat_key, it.tokens);
                          RC_ASSERT(it.chat_key == model.back().first);
                          model.pop_back();
                      }
                      RC_ASSERT(copy.size() == index.size());
                      index.clear();
                      RC_ASSERT(index.size() == 0 && index.total_tokens() == 0);
                  });
    REQUIRE(holds);
}

// Guards against placing a chat away from the engine with its cached prefix, or on the more loaded
// of several engines without it.
TEST_CASE("the best offer has the longest cached prefix, else the lowest relative load")
{
    const placement_config config;
    const std::vector<placement_offer> cold{
        {0, 6, 9, 1.0, 0}, {1, 8, 18, 2.0, 0}, {2, 7, 9, 1.0, 0}};
    REQUIRE(choose_offer(cold, config) == 1);
    std::vector<placement_offer> warm = cold;
    warm[2].cached_tokens = 500;
    REQUIRE(choose_offer(warm, config) == 2);
    warm[0].cached_tokens = 501;
    REQUIRE(choose_offer(warm, config) == 0);
    REQUIRE_FALSE(choose_offer({}, config));
}

// Guards against a request that waits although engines of further ranks can take it, and against
// permits of unused offers that are not returned.
TEST_CASE("an attempt falls back to further ranks, then waits, and returns unused offers")
{
    placement_attempt attempt({4, 2, 7, 1, 0}, {});
    placement_step step = attempt.start();
    REQUIRE(step.action == placement_step::kind::ask);
    REQUIRE(step.engines == std::vector<std::size_t>{4, 2, 7});
    const std::vector<placement_answer> refused{{4, {}, {}}, {2, {}, {}}, {7, {}, {}}};
    step = attempt.apply_answers(refused);
    REQUIRE(step.action == placement_step::kind::ask);
    REQUIRE(step.engines == std::vector<std::size_t>{1, 0});
    placement_attempt other = attempt;
    REQUIRE(other.apply_answers({}).action == placement_step::kind::wait);

    const std::vector<placement_answer> offered{{1, placement_offer{3, 5, 9, 1.0, 0}, {}},
                                                {0, placement_offer{4, 2, 9, 1.0, 0}, {}}};
    step = attempt.apply_answers(offered);
    REQUIRE(step.action == placement_step::kind::use);
    REQUIRE(step.engines == std::vector<std::size_t>{0});
    REQUIRE(step.release == std::vector<std::size_t>{1});
    REQUIRE(placement_attempt({}, {}).start().action == placement_step::kind::give_up);
}

// Guards against a small pool in which a warm engine of a low rank is never asked, against the same
// procedure in a pool that is too large or only partly ranked, and against losing the offers of the
// first round while the others are asked.
TEST_CASE("a small pool is asked as a whole when the first candidates are not warm")
{
    placement_config config;
    config.max_whole_pool_size = 5;
    placement_attempt attempt({3, 1, 0, 2, 4}, config, {5, 1000});
    REQUIRE(attempt.checks_bound());
    REQUIRE(attempt.start().engines == std::vector<std::size_t>{3, 1, 0});
    const std::vector<placement_answer> cold{{3, placement_offer{0, 2, 9, 1.0, 400}, {}},
                                             {1, placement_offer{1, 1, 9, 1.0, 0}, {}},
                                             {0, {}, {}}};
    placement_step step = attempt.apply_answers(cold);
    REQUIRE(step.action == placement_step::kind::ask);
    REQUIRE(step.engines == std::vector<std::size_t>{2, 4});
    REQUIRE(step.release.empty());
    const std::vector<placement_answer> refused{{2, {}, {}}, {4, {}, {}}};
    step = attempt.apply_answers(refused);
    REQUIRE(step.action == placement_step::kind::use);
    REQUIRE(step.engines == std::vector<std::size_t>{3});
    REQUIRE(step.release == std::vector<std::size_t>{1});

    placement_attempt warm({3, 1, 0, 2, 4}, config, {5, 1000});
    warm.start();
    const std::vector<placement_answer> cached{{3, placement_offer{0, 2, 9, 1.0, 900}, {}}};
    REQUIRE(warm.apply_answers(cached).action == placement_step::kind::use);
    for (const std::size_t size : {0, 4, 6})
    {
        placement_attempt other({3, 1, 0, 2, 4}, config, {size, 1000});
        REQUIRE_FALSE(other.checks_bound());
        other.start();
        REQUIRE(other.apply_answers(cold).action == placement_step::kind::use);
    }
    std::vector<pool_engine> engines{{1, 1.0, 0, true}, {2, 1.0, 0, false}, {3, 2.0, 1, true}};
    REQUIRE(candidate_ranking(engines).usable_count() == 2);
}

// Guards against an entry router that uses an offer above the bound although it can check the
// present loads, and against permits that are not returned when no offer passes the check.
TEST_CASE("an offer above its limit needs the present loads of the whole pool")
{
    const placement_offer offer{0, 7, 6, 1.0, 1000};
    const auto outcome = [&](std::uint32_t second_load, bool has_status)
    {
        placement_attempt attempt({0, 1}, {}, {2, 1000});
        attempt.start();
        const engine_status first{6, 1.0, 1000};
        std::vector<placement_answer> answers{{0, offer, first}, {1, {}, {}}};
        if (has_status)
        {
            answers[1].status = engine_status{second_load, 1.0, 0};
        }
        return attempt.apply_answers(answers);
    };
    REQUIRE(outcome(6, true).action == placement_step::kind::use); // 1.25 x (12 - 1) / 2 allows 7.
    placement_step step = outcome(4, true);                        // 1.25 x (10 - 1) / 2 allows 6.
    REQUIRE(step.action == placement_step::kind::wait);
    REQUIRE(step.release == std::vector<std::size_t>{0});
    REQUIRE(outcome(6, false).action == placement_step::kind::wait);
}

// Guards against computing a long prefix again although another engine has it cached, and against
// imports that save too few tokens, are disabled, or happen in a pool that is not asked as a whole.
TEST_CASE("the prefix of a warm engine at its limit is imported")
{
    const auto source = [](std::uint32_t history, std::uint32_t cached_at_first,
                           std::uint32_t min_import, std::size_t pool_size = 3)
    {
        placement_config config;
        config.min_import_tokens = min_import;
        placement_attempt attempt({0, 1, 2}, config, {pool_size, history});
        attempt.start();
        const std::vector<placement_answer> answers{
            {0, {}, engine_status{9, 1.0, cached_at_first}},
            {1, placement_offer{1, 3, 9, 1.0, 300}, engine_status{2, 1.0, 300}},
            {2, {}, {}}};
        return attempt.apply_answers(answers).import_from;
    };
    REQUIRE(source(2000, 2000, 500) == 0U);
    REQUIRE_FALSE(source(2000, 700, 500));
    REQUIRE_FALSE(source(700, 2000, 500)); // Cached tokens beyond the history do not count.
    REQUIRE_FALSE(source(2000, 2000, 0));
    REQUIRE_FALSE(source(2000, 2000, 500, 60));
}
