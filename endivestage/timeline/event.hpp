/// \file
/// \brief One event of the timeline.
#pragma once

#include <endivestage/timeline/hybrid_clock.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivestage
{

/// \brief Kind of an event. Values are stable; output contains the names that to_string returns.
enum class event_kind
{
    router_started,
    router_leaving,
    router_stopped,
    member_suspected,
    member_failed,
    member_joined,
    view_proposed,
    view_active,
    owner_changed,
    permit_granted,
    permit_refused,
    permit_returned,
    request_received,
    request_placed,
    request_sent,
    request_answered,
    request_failed,
    request_retried,
    request_reserved,
    request_settled,
    stream_resumed,
    stream_stalled,
    stream_continued,
    endpoint_joined,
    endpoint_cold,
    endpoint_warm,
    endpoint_suspected,
    endpoint_leaving,
    order_sent,
    zone_changed,
    configuration_changed,
    store_unavailable,
    store_available,
};

/// \brief Number of enumerators of event_kind.
inline constexpr std::size_t event_kind_count =
    static_cast<std::size_t>(event_kind::store_available) + 1;

/// \returns The snake_case name of a kind; it is stable across versions.
std::string_view to_string(event_kind kind);

/// \returns The kind with this name; nothing for other names.
std::optional<event_kind> parse_event_kind(std::string_view name);

/// \brief An event of the timeline; ids that do not apply are empty.
struct timeline_event
{
    hybrid_time at;
    router_id router; ///< Router that recorded the event.
    zone_id zone;     ///< Zone that the event concerns, else the zone of the router.
    event_kind kind = event_kind::router_started;
    request_id request;
    endpoint_id endpoint;
    std::vector<std::pair<std::string, std::string>> fields; ///< Further key=value pairs.

    bool operator==(const timeline_event&) const = default;
};

} // namespace endivestage
