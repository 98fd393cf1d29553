/// \file
/// \brief Umbrella header of the timeline module: causally ordered events of all processes.
///
/// Contents:
///  - hybrid_time, hybrid_logical_clock (timeline/hybrid_clock.hpp): causally ordered timestamps
///  - event_kind, timeline_event (timeline/event.hpp): one event
///  - render_text, render_json, parse_json_event (timeline/render.hpp): one line per event
///  - log_record, merge_log_records, explain_request (timeline/log_record.hpp): parsed log lines
///  - event_rate_limiter (timeline/event_rate_limiter.hpp): limit for lines of a kind
///  - timeline_filter, timeline_buffer, merge_timelines (timeline/buffer.hpp): recent events
///
/// \sa timeline/GUIDE.md
#pragma once

#include <endivestage/timeline/buffer.hpp>
#include <endivestage/timeline/event.hpp>
#include <endivestage/timeline/event_rate_limiter.hpp>
#include <endivestage/timeline/hybrid_clock.hpp>
#include <endivestage/timeline/log_record.hpp>
#include <endivestage/timeline/render.hpp>
