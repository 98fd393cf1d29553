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

    kind what = kind::give_up;
    std::vector<std::size_t> engines; ///< Engines to ask, or the chosen engine alone.
    std::vector<std::size_t> release; ///< Engines whose permits are returned unused.
};

/// \brief An engine's answer to a permit request.
struct placement_answer
{
    std::size_t engine = 0;
    std::optional<placement_offer> offer; ///< Empty for a refusal or no answer in time.
};

/// \brief State of the placement of one request at its entry router.
///
/// Asks the first k candidates, then further ranks when all refused, then waits.
class placement_attempt
{
public:
    /// \param ranked Candidates, best first, at least as many as all rounds ask when available.
    placement_attempt(std::vector<std::size_t> ranked, const placement_policy& policy);

    /// \returns The first step: ask, or give_up without candidates.
    placement_step start();

    /// \brief Evaluates all answers of the round asked last.
    /// \returns use, ask for the next round, or wait.
    placement_step answered(std::span<const placement_answer> answers);

private:
    placement_step next_round();

    std::vector<std::size_t> ranked_;
    placement_policy policy_;
    std::size_t asked_ = 0;
    std::size_t rounds_ = 0;
};

} // namespace endivestage
