#include <endivestage/timeline/event.hpp>

#include <array>
#include <cstddef>

namespace endivestage
{

namespace
{

/// Names of the event kinds, in the order of the enumerators.
constexpr std::array<std::string_view, event_kind_count> kind_names{
    "router_started",   "router_leaving",  "router_stopped",        "member_suspected",
    "member_failed",    "member_joined",   "view_proposed",         "view_active",
    "owner_changed",    "permit_granted",  "permit_refused",        "permit_returned",
    "request_received", "request_placed",  "request_sent",          "request_answered",
    "request_failed",   "request_retried", "request_reserved",      "request_settled",
    "stream_resumed",   "stream_stalled",  "stream_continued",      "endpoint_joined",
    "endpoint_cold",    "endpoint_warm",   "endpoint_suspected",    "endpoint_leaving",
    "order_sent",       "zone_changed",    "configuration_changed", "store_unavailable",
    "store_available",
};
static_assert(kind_names.back() == "store_available");

} // namespace

std::string_view to_string(event_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::optional<event_kind> parse_event_kind(std::string_view name)
{
    for (std::size_t n = 0; n < kind_names.size(); ++n)
    {
        if (kind_names[n] == name)
        {
            return static_cast<event_kind>(n);
        }
    }
    return std::nullopt;
}

} // namespace endivestage
