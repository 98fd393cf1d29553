// Measures the time of a placement decision and the memory of a recency_index entry. Prints one
// JSON object per line.
#include <endivestage/placement.hpp>

#include <chrono>
#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <string>
#include <vector>

using namespace endivestage;

namespace
{

// Bytes allocated by operator new and not yet freed.
std::size_t allocated_bytes = 0;

// Prefix of each allocation that stores its size.
constexpr std::size_t header_bytes = alignof(std::max_align_t);

void print(const char* measure, double value, const char* unit, const char* target)
{
    std::printf("{\"measure\":\"%s\",\"scenario\":\"microbenchmark\",\"seed\":1,\"value\":%.4g,"
                "\"unit\":\"%s\",\"target\":%s,\"baseline\":{}}\n",
                measure, value, unit, target);
}

// One decision: ranks the candidates and chooses among the offers of the first ones.
std::size_t place_request(const candidate_ranking& ranking, std::uint64_t key,
                          const placement_config& config)
{
    std::vector<placement_offer> offers;
    for (const std::size_t engine : ranking.candidates(key, config.first_asked))
    {
        const auto load = static_cast<std::uint32_t>((engine * 7 + key) % 30);
        offers.push_back({offers.size(), load, 30, 1.0, 0});
    }
    return choose_offer(offers, config).value_or(0);
}

void measure_decision(std::size_t engines, std::size_t capacities, const char* name)
{
    std::vector<pool_engine> pool;
    for (std::size_t n = 0; n < engines; ++n)
    {
        const auto zone = static_cast<std::uint32_t>(n % 7);
        const double capacity = 1.0 + static_cast<double>(n % capacities);
        pool.push_back({hash64("engine-" + std::to_string(n)), capacity, zone, true});
    }
    const candidate_ranking ranking(pool);
    const placement_config config;
    seeded_random random(1);
    constexpr int decisions = 200000;
    std::size_t sink = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (int n = 0; n < decisions; ++n)
    {
        sink += place_request(ranking, random.next(), config);
    }
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - begin;
    print(sink > 0 ? name : "none", elapsed.count() / decisions, "us", "5");
}

void measure_recency_entry()
{
    constexpr std::size_t chats = 40000;
    const std::size_t before = allocated_bytes;
    recency_index index(1ULL << 40U);
    seeded_random random(1);
    for (std::size_t n = 0; n < chats; ++n)
    {
        index.put(random.next(), 1000);
    }
    print("recency_entry", static_cast<double>(allocated_bytes - before) / chats, "bytes", "null");
}

} // namespace

void* operator new(std::size_t size)
{
    void* raw = std::malloc(size + header_bytes);
    if (raw == nullptr)
    {
        throw std::bad_alloc();
    }
    *static_cast<std::size_t*>(raw) = size;
    allocated_bytes += size;
    return static_cast<char*>(raw) + header_bytes;
}

void operator delete(void* block) noexcept
{
    if (block != nullptr)
    {
        void* raw = static_cast<char*>(block) - header_bytes;
        allocated_bytes -= *static_cast<std::size_t*>(raw);
        std::free(raw);
    }
}

void operator delete(void* block, std::size_t) noexcept
{
    operator delete(block);
}

int main()
{
    measure_decision(600, 1, "decision_600_engines");
    measure_decision(600, 3, "decision_600_engines_3_capacities");
    measure_decision(9, 1, "decision_9_engines");
    measure_decision(100, 1, "decision_100_engines");
    measure_decision(300, 1, "decision_300_engines");
    measure_recency_entry();
    return 0;
}
