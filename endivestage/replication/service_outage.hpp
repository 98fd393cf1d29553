/// \file
/// \brief Detects outages of the table service during which rows may have expired.
#pragma once

#include <endivestage/core.hpp>

#include <algorithm>
#include <optional>

namespace endivestage
{

/// \brief Tells until when a row that is gone may be written again, because its writer could not
/// reach the table service.
///
/// An outage is a time without a response to any router. The calls of one router are no measure:
/// a poll whose response was lost ends long after the service is back, and a router may have lost
/// only its own path to the service. Copies of relays therefore count as responses, and a router
/// takes the end of an outage from its relay only if its own copies were old as well.
class service_outage
{
public:
    /// Rows that expired during an outage are written again within this time after it.
    static constexpr millis rewrite_period{2000};

    /// \brief Records a call of this router that failed.
    /// \param sent When the call was sent.
    void record_failure(time_point sent)
    {
        first_failed_call_ = std::min(first_failed_call_.value_or(sent), sent);
    }

    /// \brief Records a response to a call of this router.
    void record_success(time_point now)
    {
        if (first_failed_call_ &&
            now - std::max(*first_failed_call_, last_response_.value_or(*first_failed_call_)) >
                min_duration)
        {
            rewritten_by_ = now + rewrite_period;
        }
        first_failed_call_.reset();
        last_response_ = std::max(last_response_.value_or(now), now);
    }

    /// \brief Records a response of a later era: rows were lost, however short the outage was.
    void record_restore(time_point now) { rewritten_by_ = now + rewrite_period; }

    /// \brief Records an answer of a relay.
    /// \param current_at Instant at which the relay's copy was current.
    /// \param rewritten_by The relay's own \ref rewritten_by.
    /// \param restored Whether the answer shows this router that the service was restored.
    void record_relay_answer(time_point current_at, std::optional<time_point> rewritten_by,
                             bool restored = false)
    {
        const bool was_silent = last_response_ && current_at - *last_response_ > min_duration;
        if ((was_silent || restored) && rewritten_by)
        {
            rewritten_by_ = rewritten_by;
        }
        if (first_failed_call_ && *first_failed_call_ < current_at)
        {
            first_failed_call_.reset();
        }
        last_response_ = std::max(last_response_.value_or(current_at), current_at);
    }

    /// \returns The end of the period in which rows that expired are written again; nothing unless
    /// it is in the future.
    std::optional<time_point> rewritten_by(time_point now) const
    {
        return rewritten_by_ && now < *rewritten_by_ ? rewritten_by_ : std::nullopt;
    }

private:
    /// Rows of a sound writer outlast shorter outages.
    static constexpr millis min_duration{2500};

    std::optional<time_point> first_failed_call_; ///< Since the last response.
    /// When the service is known to have answered any router.
    std::optional<time_point> last_response_;
    std::optional<time_point> rewritten_by_;
};

} // namespace endivestage
