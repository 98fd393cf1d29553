/// \file
/// \brief How old a router's copy of a table may be, and may it still be trusted.
#pragma once

#include <endivestage/core.hpp>

#include <optional>

namespace endivestage
{

/// \brief Maps the table service's clock to the local clock, from calls and their answers.
///
/// An answer stamped S was made between the local instants of the call and of its receipt, so the
/// difference of the clocks lies between two bounds, which further calls narrow.
class remote_clock
{
public:
    /// \param sent Local instant before the call.
    /// \param stamp Time in the answer, on the remote clock.
    void observe(time_point sent, time_point stamp);

    /// \returns A local instant that is not after \p stamp; nothing before the first call.
    std::optional<time_point> earliest_local(time_point stamp) const;

private:
    /// Remote stamps that step back belong to another run of the service.
    static constexpr millis step_back{1000};

    std::optional<millis> least_difference_; ///< Local minus remote, at least this.
    time_point last_stamp_;
};

/// \brief Until when a router may act on what it knows.
///
/// Permissions that were withdrawn must end everywhere within a bound, also on routers that cannot
/// learn of the withdrawal. So a router acts on permissions only while its knowledge is younger
/// than the bound; the instant counts at which the source was known to be current.
class freshness_lease
{
public:
    /// \param bound Age from which knowledge must not be used.
    explicit freshness_lease(millis bound) : bound_(bound) {}

    /// \brief The knowledge included everything up to \p instant.
    void renew(time_point instant);

    /// \returns Age of the knowledge; nothing before the first renewal.
    std::optional<millis> age(time_point now) const;

    bool is_valid(time_point now) const;

private:
    millis bound_;
    std::optional<time_point> current_at_;
};

} // namespace endivestage
