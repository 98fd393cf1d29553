/// \file
/// \brief Age of a router's copy of a table, and for how long the copy may be used.
#pragma once

#include <endivestage/core.hpp>

#include <optional>

namespace endivestage
{

/// \brief Maps the table service's clock to the local clock, from calls and the times in their
/// answers.
///
/// An answer with the remote time S was created between the local times at which the call was sent
/// and the answer was received. This bounds the difference between the clocks from both sides, and
/// further calls narrow the bounds. Only the lower bound is kept.
class remote_clock
{
public:
    /// \brief Records a call and the time in its answer.
    /// \param sent Local time before the call.
    /// \param timestamp Time in the answer, on the remote clock.
    void observe(time_point sent, time_point timestamp);

    /// \returns A local time that is not later than the remote time \p timestamp; nothing before
    /// the first call.
    std::optional<time_point> earliest_local(time_point timestamp) const;

private:
    /// Remote time that steps back by more than this comes from another run of the service.
    static constexpr millis restart_threshold{1000};

    std::optional<millis> min_difference_; ///< Lower bound of local time minus remote time.
    time_point last_timestamp_;
};

/// \brief Limits for how long a router may act on its copy of a table.
///
/// A permission that was withdrawn must end on all routers within a bounded time, including routers
/// that cannot receive the withdrawal. A router therefore acts on permissions only while its copy
/// is younger than the bound. The age counts from the latest time at which the copy was known to be
/// current.
class freshness_lease
{
public:
    /// \param ttl Age from which the copy must not be used.
    explicit freshness_lease(millis ttl) : ttl_(ttl) {}

    /// \brief Records that the copy included all changes up to \p instant. Earlier instants than
    /// the latest one have no effect.
    void renew(time_point instant);

    /// \returns Age of the copy; nothing before the first renewal.
    std::optional<millis> age(time_point now) const;

    bool is_valid(time_point now) const;

    /// \brief Changes the age from which the copy must not be used; applies to the present copy
    /// too.
    void set_ttl(millis ttl) { ttl_ = ttl; }

private:
    millis ttl_;
    std::optional<time_point> current_at_;
};

} // namespace endivestage
