/// \file
/// \brief Whole events out of a byte stream, unchanged.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endivestage::serving
{

/// \brief Cuts a text/event-stream at event boundaries, so that a caller never gets part of an
/// event of a stream that breaks.
///
/// A stream that continues at another engine may begin before the last event delivered; such events
/// are left out.
class event_framer
{
public:
    /// A longer event counts as broken.
    static constexpr std::size_t max_event_bytes = 1U << 20U;

    /// \brief Adds received bytes.
    /// \returns The whole events among all bytes so far that were not returned before.
    std::string add(std::string_view bytes);

    /// \returns Bytes after the last whole event; given at the end of a complete stream.
    std::string take_remainder();

    /// \brief The bytes that follow come from another run. A part of an event is dropped.
    void restart();

    /// \returns The id of the last event returned.
    std::optional<std::uint64_t> last_event_id() const { return last_event_id_; }

    /// \returns Whether an event was missing after a restart, or too long.
    bool is_broken() const { return broken_; }

    bool has_partial_event() const { return !buf_.empty(); }

private:
    bool accept(std::string_view event);

    std::string buf_;
    std::optional<std::uint64_t> last_event_id_;
    bool resumed_ = false;
    bool broken_ = false;
};

} // namespace endivestage::serving
