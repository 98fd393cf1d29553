#include <endivestage/replication/poll_progress.hpp>

#include <algorithm>

namespace endivestage
{

namespace
{

constexpr millis pause_step{120};
constexpr millis max_pause{500};

/// A feed that had to wait this long or less may be answered at once.
constexpr millis short_wait{50};

poll_stall find_stall(const poll_answer& answer, bool listed_before)
{
    if (!answer.known)
    {
        return poll_stall::none;
    }
    if (answer.position < *answer.known)
    {
        return poll_stall::older;
    }
    if (answer.listed)
    {
        return listed_before ? poll_stall::listed_again : poll_stall::none;
    }
    const bool early = answer.max_wait > short_wait && answer.took * 2 < answer.max_wait;
    return early && !answer.changed ? poll_stall::early : poll_stall::none;
}

} // namespace

std::string_view to_string(poll_stall stall)
{
    switch (stall)
    {
    case poll_stall::listed_again:
        return "listed_again";
    case poll_stall::older:
        return "older";
    case poll_stall::early:
        return "early";
    case poll_stall::none:
        break;
    }
    return "none";
}

poll_stall poll_progress::record(const poll_answer& answer)
{
    const poll_stall stall = find_stall(answer, listed_);
    listed_ = answer.listed;
    stalls_ = stall == poll_stall::none ? 0 : stalls_ + 1;
    return stall;
}

millis poll_progress::pause(std::uint64_t seed) const
{
    const millis longest = std::min(max_pause, pause_step * std::min<std::int64_t>(stalls_, 8));
    const std::int64_t half = longest.count / 2;
    return half == 0
               ? longest
               : longest -
                     millis{static_cast<std::int64_t>(seed % static_cast<std::uint64_t>(half + 1))};
}

} // namespace endivestage
