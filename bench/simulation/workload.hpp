/// \file
/// \brief Workload of the callers: chats that send a turn, receive the answer, pause and resume.
#pragma once

#include <endivestage/admission.hpp>

#include <cmath>
#include <cstdint>
#include <string>

namespace simulation
{

inline constexpr int team_count = 10;
inline constexpr int large_team_count = 3;

/// \brief A chat with the state that decides its next request.
struct chat
{
    endivestage::chat_id id;
    std::uint64_t key = 0;
    endivestage::team_id team;
    bool large_team = false;
    std::uint32_t history_tokens = 0;
    std::size_t last_engine = 0; ///< Engine that served the last turn; valid if history_tokens > 0.
    std::uint64_t last_incarnation = 0; ///< Incarnation of that engine when the turn started.
};

/// \brief One turn of a chat, which is one request.
struct turn
{
    chat* sender = nullptr;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t answer_tokens = 0;
    double decode_ms = 0;
    std::int64_t arrival_time = 0; // In microseconds.
};

/// \brief Draws chats, turns and pauses at random. The same seed gives the same sequence.
class workload
{
public:
    static constexpr double mean_service_ms = 8000;
    static constexpr double mean_pause_ms = 60000;

    explicit workload(std::uint64_t seed) : random_(seed) {}

    /// \returns A sample of the exponential distribution.
    double draw_exponential(double mean) { return -mean * std::log(1.0 - random_.unit()); }

    /// \brief Replaces a chat by a new one without history.
    /// \param only_large Whether to draw only among the large teams.
    void replace_chat(chat& it, bool only_large)
    {
        const bool large = only_large || random_.unit() < 0.8;
        const std::uint64_t team =
            large ? random_.below(large_team_count)
                  : large_team_count + random_.below(team_count - large_team_count);
        it.id = endivestage::chat_id("c" + std::to_string(++chat_count_));
        it.key = endivestage::chat_key(it.id);
        it.team = endivestage::team_id("t" + std::to_string(team));
        it.large_team = large;
        it.history_tokens = 0;
    }

    turn next_turn(chat& it, std::int64_t now)
    {
        const auto prompt_tokens = static_cast<std::uint32_t>(50 + draw_exponential(400));
        const auto answer_tokens = static_cast<std::uint32_t>(20 + draw_exponential(200));
        return {&it, prompt_tokens, answer_tokens, draw_exponential(mean_service_ms), now};
    }

    /// \returns Whether the chat ends after this turn. A chat has eight turns on average.
    bool draw_last_turn() { return random_.below(8) == 0; }

    double draw_pause_ms() { return draw_exponential(mean_pause_ms); }
    endivestage::random_source& random() { return random_; }

private:
    endivestage::seeded_random random_;
    std::uint64_t chat_count_ = 0;
};

} // namespace simulation
