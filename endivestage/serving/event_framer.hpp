/// \file
/// \brief Splits a byte stream into complete server-sent events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endivestage::serving
{

/// \brief Splits a text/event-stream at event boundaries, so that a caller never receives a partial
/// event when the stream breaks. The bytes of the events are not changed.
///
/// Ids increase by any steps: an event may hold several tokens, and its id may count them. A step
/// therefore never shows a missing event. When another engine resumes a stream, it may repeat
/// events that were delivered before; the framer drops them.
class event_framer
{
public:
    /// A longer event marks the stream as broken.
    static constexpr std::size_t max_event_bytes = 1U << 20U;

    /// \brief Appends received bytes.
    /// \returns The bytes of all events that became complete; empty when there are none.
    std::string add(std::string_view bytes);

    /// \brief Removes and returns the bytes after the last complete event. To be called at the end
    /// of a complete stream.
    std::string take_remainder();

    /// \returns Number of bytes that are kept because their event is not complete.
    std::size_t pending_bytes() const { return buf_.size(); }

    /// \returns Whether a stream that ends with the bytes received so far is incomplete, since an
    /// event lacks its final blank line or a line lacks its end. Comments and blank lines after the
    /// last event are no event.
    bool ends_inside_event() const;

    /// \brief Discards a partial event; the bytes that follow come from another response, which
    /// starts the stream, or resumes it after the last event.
    void restart();

    /// \brief Lets the next response resume the stream after an event that the caller has received
    /// in an earlier attempt.
    void resume_after(std::uint64_t event_id) { last_event_id_ = event_id; }

    /// \returns The id of the last event that the caller has; nothing when no event had an id.
    std::optional<std::uint64_t> last_event_id() const { return last_event_id_; }

    /// \returns Whether a response that repeats events left out the last one that the caller has,
    /// so that it is unknown where it goes on, or an event was too long, or whether bytes came that
    /// are no event of this stream, such as the text of an error. The events that \ref add has
    /// returned are sound all the same.
    bool is_broken() const { return broken_; }

    /// \returns Whether bytes of an incomplete event are buffered.
    bool has_partial_event() const { return !buf_.empty(); }

private:
    bool accept(std::string_view event);

    std::string buf_;
    std::optional<std::uint64_t> last_event_id_;
    bool resumes_ = false;    ///< The response goes on after an event that the caller has.
    bool may_repeat_ = false; ///< It has had no new event yet.
    std::optional<std::uint64_t> repeated_id_; ///< The last event that it repeated.
    bool broken_ = false;
};

} // namespace endivestage::serving
