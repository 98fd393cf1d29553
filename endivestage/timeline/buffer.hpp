/// \file
/// \brief Recent events of one router, and the merge over all routers.
#pragma once

#include <endivestage/timeline/event.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace endivestage
{

/// \brief Selects events; empty members select all.
struct timeline_filter
{
    request_id request;
    std::string host; ///< Name of a router or an endpoint.
    zone_id zone;
    std::optional<hybrid_time> since; ///< Events at or after it.

    /// \returns Whether \p event is selected.
    bool matches(const timeline_event& event) const;
};

/// \brief The last events of one router; old ones make room for new ones.
class timeline_buffer
{
public:
    /// \param capacity Events kept; at least 1.
    explicit timeline_buffer(std::size_t capacity);

    void add(timeline_event event);

    /// \returns The selected events, oldest first; the newest \p limit of them.
    std::vector<timeline_event> select(const timeline_filter& filter,
                                       std::size_t limit = SIZE_MAX) const;

    std::size_t size() const { return events_.size(); }

    /// \returns How many events made room for others so far.
    std::uint64_t dropped() const { return dropped_; }

private:
    std::size_t capacity_;
    std::deque<timeline_event> events_;
    std::uint64_t dropped_ = 0;
};

/// \brief Merges the events of several routers into causal order.
///
/// Order is by hybrid time, then router name, then the order in the input. An event that is present
/// twice (same time and router), for example because two answers overlap, is kept once.
std::vector<timeline_event> merge_timelines(std::span<const std::vector<timeline_event>> timelines);

} // namespace endivestage
