/// \file
/// \brief Callers: chats that send a turn, read the answer, pause, and resume.
#pragma once

#include <endivestage/admission.hpp>

#include <cmath>
#include <cstdint>
#include <string>

namespace simulation
{

inline constexpr int teams = 10;
inline constexpr int large_teams = 3;

/// \brief One chat.
struct chat
{
    endivestage::chat_id id;
    std::uint64_t key = 0;
    endivestage::team_id team;
    bool large_team = false;
    std::uint32_t history = 0;
    std::size_t last_engine = 0; ///< Engine that served the last turn; set when history > 0.
    std::uint64_t last_incarnation = 0;
};

/// \brief One turn of a chat.
struct turn
{
    chat* of = nullptr;
    std::uint32_t prompt = 0;
    std::uint32_t answer = 0;
    double decode_ms = 0;
    std::int64_t arrived = 0; // Microseconds.
};

/// \brief Draws chats and turns. Chats, turns and pauses are equal for equal seeds.
class workload
{
public:
    static constexpr double mean_service_ms = 8000;
    static constexpr double mean_pause_ms = 60000;

    explicit workload(std::uint64_t seed) : random_(seed) {}

    double exponential(double mean) { return -mean * std::log(1.0 - random_.unit()); }

    /// \brief Replaces a chat by a new one.
    /// \param only_large The chat belongs to one of the large teams.
    void renew(chat& it, bool only_large)
    {
        const bool large = only_large || random_.unit() < 0.8;
        const std::uint64_t team =
            large ? random_.below(large_teams) : large_teams + random_.below(teams - large_teams);
        it.id = endivestage::chat_id("c" + std::to_string(++chats_));
        it.key = endivestage::chat_key(it.id);
        it.team = endivestage::team_id("t" + std::to_string(team));
        it.large_team = large;
        it.history = 0;
    }

    turn next_turn(chat& it, std::int64_t now)
    {
        const auto prompt = static_cast<std::uint32_t>(50 + exponential(400));
        const auto answer = static_cast<std::uint32_t>(20 + exponential(200));
        return {&it, prompt, answer, exponential(mean_service_ms), now};
    }

    /// \returns True when the chat ends after a turn: eight turns on average.
    bool ends() { return random_.below(8) == 0; }

    double pause_ms() { return exponential(mean_pause_ms); }
    endivestage::random_source& random() { return random_; }

private:
    endivestage::seeded_random random_;
    std::uint64_t chats_ = 0;
};

} // namespace simulation
