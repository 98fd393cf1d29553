/// \file
/// \brief Rounds in which the entry router asks for permits.
#pragma once

#include <endivestage/placement/offer.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace endivestage
{

/// \brief What the entry router does next for one request.
struct placement_step
{
    enum class kind
    {
        ask,     ///< Ask the owners of the engines for a permit; no waiting.
        use,     ///< Use the chosen engine and return the other offers.
        wait,    ///< Ask the owners of the engines for a place in their queues.
        give_up, ///< No usable engine.
    };

    kind action = kind::give_up;
    std::vector<std::size_t> engines; ///< Engines to ask, or the chosen engine alone.
    std::vector<std::size_t> release; ///< Engines whose permits are returned unused, for any kind.
    /// With use: an engine that holds a longer prefix of the chat and refused or was passed over;
    /// the chosen engine imports the prefix from it when it can.
    std::optional<std::size_t> import_from;
};

/// \brief An engine's answer to a permit request.
struct placement_answer
{
    std::size_t engine = 0;
    std::optional<placement_offer> offer; ///< Empty for a refusal or no answer in time.
    std::optional<engine_status> status;  ///< Empty without an answer, or when not known.
};

/// \brief What is known about a request before the first round.
struct placement_context
{
    std::size_t pool_size = 0; ///< Usable engines of the pool; 0 when not all are ranked.
    std::uint32_t history_tokens = 0;
};

/// \brief State of the placement of one request at its entry router.
///
/// Asks the first k candidates, then further ranks when all refused, then waits. In a small pool,
/// all other engines are asked in the second round when no offer of the first has the chat cached;
/// the offers of the first round are held meanwhile.
///
/// An offer above its limit is used only when all engines of the pool told their state and the load
/// is within the bound of their mean. The requests of such a pool are sent with checks_bound.
class placement_attempt
{
public:
    /// \param ranked Candidates, best first, at least as many as all rounds ask when available.
    placement_attempt(std::vector<std::size_t> ranked, const placement_config& config,
                      const placement_context& context = {});

    /// \returns The value of permit_request::checks_bound for requests that do not wait.
    bool checks_bound() const { return asks_whole_pool_; }

    /// \returns The first step: ask, or give_up without candidates.
    placement_step start();

    /// \brief Evaluates all answers of the round asked last.
    /// \returns use, ask for the next round, or wait.
    placement_step apply_answers(std::span<const placement_answer> answers);

private:
    placement_step next_round();
    placement_step ask_next(std::size_t count);
    bool found_warm() const;
    bool within_bound(const placement_offer& offer) const;
    std::optional<std::size_t> import_source(const placement_answer& chosen) const;

    std::vector<std::size_t> ranked_;
    placement_config config_;
    std::uint32_t history_tokens_;
    std::vector<placement_answer> answers_; // Of all rounds; offers not returned yet.
    bool asks_whole_pool_;
    std::size_t asked_ = 0;
    std::size_t rounds_ = 0;
};

} // namespace endivestage
