/// \file
/// \brief Text and JSON forms of events.
#pragma once

#include <endivestage/timeline/event.hpp>

#include <string>

namespace endivestage
{

/// \returns One line without line end: `at=<ms>.<counter> kind=...` and further key=value pairs
/// separated by spaces; empty ids are left out.
///
/// A value that is empty or has characters other than letters, digits and any of -_.:/@+, is put in
/// double quotes, with backslash escapes for '"', '\' and control characters. Characters of a key
/// other than letters, digits, '_', '-' and '.' become '_'.
std::string render_text(const timeline_event& event);

/// \returns One JSON object in one line with the members at_ms, at_counter, kind, router, zone,
/// request, endpoint (ids when not empty) and fields (an object; of equal keys the last one
/// counts). In text that is not UTF-8, each byte above 127 is replaced by '?'.
std::string render_json(const timeline_event& event);

/// \brief Longest text that parse_json_event accepts, in bytes.
inline constexpr std::size_t max_event_size = 64UL * 1024;

/// \brief Reads an event that another router rendered with render_json.
/// \returns The event, errc::too_large, or errc::invalid_request when the text is not an event.
result<timeline_event> parse_json_event(std::string_view text);

} // namespace endivestage
