/// \file
/// \brief Placement of one request in rounds of permit requests.
#pragma once

#include <endivestage/placement/offer.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace endivestage
{

/// \brief Next action of the entry router for one request.
struct placement_step
{
    enum class kind
    {
        ask,     ///< Ask the owners of the engines for a permit without waiting.
        use,     ///< Use the chosen engine.
        wait,    ///< Ask the owners of the engines for a permit and wait in their queues.
        give_up, ///< There is no usable engine.
    };

    kind action = kind::give_up;
    std::vector<std::size_t> engines; ///< Engines to ask, or only the chosen engine.
    std::vector<std::size_t> release; ///< Engines whose permits are returned unused.
    /// With use: an engine that has a longer prefix of the chat in its cache and refused or was not
    /// chosen. The chosen engine imports the prefix from it if possible.
    std::optional<std::size_t> import_from;
};

/// \brief Answer of an engine's owner to a permit request.
struct placement_answer
{
    std::size_t engine = 0;
    std::optional<placement_offer> offer; ///< Empty after a refusal or a timeout.
    std::optional<engine_status> status;  ///< Empty after a timeout, or when the owner sent none.
};

/// \brief Properties of a request that are known before the first round.
struct placement_context
{
    std::size_t pool_size = 0; ///< Usable engines of the pool; 0 when not all are ranked.
    std::uint32_t history_tokens = 0;
};

/// \brief Places one request from its entry router.
///
/// The first round asks the best first_asked candidates. When all of them refuse, further rounds
/// ask the next ranks, and at last the request waits. In a pool of at most max_whole_pool_size
/// engines, the second round asks all other engines when no offer of the first round is warm:
/// within its limit and with at least half of the history cached. The permits of the first round
/// are kept until then.
///
/// An offer above its limit is used only when the states of all engines of the pool are known and
/// its load is within the bound relative to their mean. In a pool that can be asked as a whole,
/// permit requests are therefore sent with checks_bound.
class placement_attempt
{
public:
    /// \param ranked Candidates, best first; as many as all rounds may ask, or all there are.
    placement_attempt(std::vector<std::size_t> ranked, const placement_config& config,
                      const placement_context& context = {});

    /// \returns Value of permit_request::checks_bound for permit requests that do not wait.
    bool checks_bound() const { return asks_whole_pool_; }

    /// \brief Starts the first round.
    /// \returns The step ask, or give_up without candidates.
    placement_step start();

    /// \brief Applies all answers of the last round.
    /// \returns The step use, ask for the next round, or wait.
    placement_step apply_answers(std::span<const placement_answer> answers);

private:
    placement_step next_round();
    placement_step ask_next(std::size_t count);
    bool has_warm_offer() const;
    bool is_within_bound(const placement_offer& offer) const;
    std::optional<std::size_t> import_source(const placement_answer& chosen) const;

    std::vector<std::size_t> ranked_;
    placement_config config_;
    std::uint32_t history_tokens_;
    std::vector<placement_answer> answers_; // Of all rounds; offers that are still held.
    bool asks_whole_pool_;
    std::size_t asked_ = 0;
    std::size_t rounds_ = 0;
};

} // namespace endivestage
