/// \file
/// \brief What endpoints say about themselves in their answers: that they leave, and for how long
/// they want no requests.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/routing/endpoint_directory.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace endivestage
{

/// \brief Time limits of \ref endpoint_notices.
struct endpoint_notices_config
{
    /// A leaving endpoint is not used in the last part of the time in which it still takes
    /// requests, since a request may be on its way for so long.
    millis last_resort_margin{500};
    /// Routers return to an endpoint spread over this share of the time that it asked for, within
    /// the two limits below, because it would otherwise get the requests of all at one instant.
    std::int64_t spread_percent = 25;
    millis min_spread{100};
    millis max_spread{1000};
    /// How long a notice outlasts the endpoint's record. A record that expired in an outage may be
    /// written again although its endpoint is leaving.
    millis retention{30000};
    /// Of more notices than this, the one whose endpoint's record was seen longest ago is dropped.
    std::size_t max_notices = 4096;
};

/// \brief The endpoints of a service that may get a request now.
struct usable_endpoints
{
    std::vector<const endpoint_state*> endpoints;
    /// Time until the first endpoint returns if none is usable and at least one wants no requests
    /// for a while.
    std::optional<millis> first_return;
};

/// \brief Notices of one router, by the incarnation that gave them: the endpoint's id with its
/// start time.
///
/// A notice is independent of the endpoint's record: a record that says otherwise may be older than
/// the answer. It ends with the record, or with the next incarnation.
///
/// Not thread-safe. The times passed in must not decrease.
class endpoint_notices
{
public:
    /// \param router Seed that differs between routers.
    explicit endpoint_notices(std::uint64_t router, endpoint_notices_config config = {})
        : router_(router),
          config_(config)
    {
    }

    /// \brief Records that an endpoint leaves.
    /// \returns Whether this router did not know it.
    bool record_leaving(const endpoint_record& endpoint, time_point now);

    /// \brief Records that an endpoint wants no requests for \p duration. An earlier notice that
    /// ends later stays in force.
    /// \returns Whether the endpoint was wanted until now.
    bool record_hold_off(const endpoint_record& endpoint, millis duration, time_point now);

    /// \returns Whether the endpoint has said that it leaves.
    bool is_leaving(const endpoint_record& endpoint) const;

    /// \returns Time for which the endpoint gets no requests; zero if it may get one.
    millis hold_off_left(const endpoint_record& endpoint, time_point now) const;

    /// \brief Selects the endpoints of a service that may get a request.
    /// \param available Endpoints of the service that may get requests by their records.
    /// \param drain Time after its notice in which a leaving endpoint still takes requests. In this
    /// time, less the margin, it is used if all endpoints of the service are leaving.
    usable_endpoints select(std::span<const endpoint_state* const> available, millis drain,
                            time_point now) const;

    /// \brief Drops notices that have ended.
    /// \returns Endpoints that may get requests again.
    std::vector<endpoint_id> expire(const endpoint_directory& directory, time_point now);

    std::size_t size() const { return notices_.size(); }

private:
    struct notice
    {
        std::int64_t started_at = 0; ///< Start time of the incarnation.
        std::optional<time_point> leaving_since;
        time_point hold_off_until;
        time_point record_seen_at; ///< When the endpoint's record was seen last.

        bool holds_off(time_point now) const { return now < hold_off_until; }
    };

    notice& find_or_add(const endpoint_record& endpoint, time_point now);
    const notice* find(const endpoint_record& endpoint) const;
    void drop_excess();

    std::uint64_t router_;
    endpoint_notices_config config_;
    std::map<endpoint_id, notice> notices_;
};

} // namespace endivestage
