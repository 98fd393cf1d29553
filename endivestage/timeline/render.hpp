/// \file
/// \brief Text and JSON representations of events.
#pragma once

#include <endivestage/timeline/event.hpp>

#include <string>

namespace endivestage
{

/// \returns One line without a line terminator: `at=<ms>.<counter> kind=...` and further key=value
/// pairs, separated by spaces. Empty ids are omitted.
///
/// A value that is empty or contains characters other than letters, digits and any of -_.:/@+, is
/// enclosed in double quotes, with backslash escapes for '"', '\' and control characters.
/// Characters of a key other than letters, digits, '_', '-' and '.' are replaced by '_'.
std::string render_text(const timeline_event& event);

/// \returns One JSON object on one line with the members at_ms, at_counter, kind, router, zone,
/// request, endpoint (ids only when not empty) and fields (an object; of equal keys the last one
/// counts). In text that is not valid UTF-8, each byte above 127 is replaced by '?'.
std::string render_json(const timeline_event& event);

/// \brief Maximum size in bytes of a text that parse_json_event accepts.
inline constexpr std::size_t max_event_size = 64UL * 1024;

/// \brief Parses an event that another router rendered with render_json.
/// \returns The event, or errc::too_large when \p text exceeds max_event_size, or
/// errc::invalid_request when it is not an event.
result<timeline_event> parse_json_event(std::string_view text);

} // namespace endivestage
