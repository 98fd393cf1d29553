/// \file
/// \brief Text and JSON forms of events.
#pragma once

#include <endivestage/timeline/event.hpp>

#include <string>

namespace endivestage
{

/// \returns One line without line end: at=<ms>.<counter> router=... kind=... and further key=value
/// pairs separated by spaces. A value that is empty or has characters other than letters, digits
/// and any of -_.:/@+, is put in double quotes, with backslash escapes for '"', '\\' and control
/// characters. Characters of a key other than letters, digits, '_' '-' and '.' become '_'.
std::string render_text(const timeline_event& event);

/// \returns One JSON object in one line with the members at_ms, at_counter, router, zone, kind,
/// request, endpoint and fields (an object; of equal keys the last one counts). Bytes that are not
/// UTF-8 are replaced by '?'.
std::string render_json(const timeline_event& event);

} // namespace endivestage
