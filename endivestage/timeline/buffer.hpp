/// \file
/// \brief Recent events of one router, and the merge of the events of several routers.
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

/// \brief Condition on events; empty members match every event.
struct timeline_filter
{
    request_id request;
    std::string host; ///< Id of a router or an endpoint.
    zone_id zone;
    std::optional<hybrid_time> since; ///< Matches events at or after this time.

    /// \returns Whether \p event fulfils all conditions.
    bool matches(const timeline_event& event) const;
};

/// \brief Bounded buffer of the latest events of one router.
class timeline_buffer
{
public:
    /// \param capacity Maximum number of events; at least 1.
    explicit timeline_buffer(std::size_t capacity);

    /// \brief Adds an event; drops the oldest one when the buffer is full.
    void add(timeline_event event);

    /// \returns The newest \p limit events that match \p filter, oldest first.
    std::vector<timeline_event> select(const timeline_filter& filter,
                                       std::size_t limit = SIZE_MAX) const;

    std::size_t size() const { return events_.size(); }

    /// \returns Number of events dropped so far because the buffer was full.
    std::uint64_t dropped() const { return dropped_; }

private:
    std::size_t capacity_;
    std::deque<timeline_event> events_;
    std::uint64_t dropped_ = 0;
};

/// \brief Merges the events of several routers into causal order.
///
/// Events are ordered by hybrid time, then by router id, then by their position in the input. An
/// event that is present twice (same time and router), for example because two answers overlap, is
/// kept once.
std::vector<timeline_event> merge_timelines(std::span<const std::vector<timeline_event>> timelines);

} // namespace endivestage
