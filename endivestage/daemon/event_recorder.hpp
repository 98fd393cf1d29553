/// \file
/// \brief Records events in the log and in the timeline of this router.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/timeline.hpp>

#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace endivestage::daemon
{

/// \brief Further fields of an event.
using event_fields = std::vector<std::pair<std::string, std::string>>;

/// \brief Writes each event as one log line and keeps it for `endivestage timeline`. Thread-safe.
class event_recorder
{
public:
    /// \param time Must outlive the recorder.
    /// \param capacity Events kept in memory.
    event_recorder(router_id self, zone_id zone, const clock& time, std::size_t capacity);

    /// \brief Records an event that happens now.
    void record(event_kind kind, event_fields fields = {}, request_id request = {},
                endpoint_id endpoint = {});

    /// \returns A reading of the hybrid clock for a message that is sent now.
    hybrid_time stamp();

    /// \brief Takes the reading of a received message.
    void observe(hybrid_time remote);

    /// \returns The selected events, oldest first.
    std::vector<timeline_event> select(const timeline_filter& filter, std::size_t limit) const;

private:
    router_id self_;
    zone_id zone_;
    const clock& time_;
    mutable std::mutex mutex_;
    hybrid_logical_clock hybrid_;
    timeline_buffer buffer_;
};

} // namespace endivestage::daemon
