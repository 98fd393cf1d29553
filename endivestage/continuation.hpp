/// \file
/// \brief Which endpoints may go on with a stream that has broken off; see continuation/GUIDE.md.
///
///  - stream_origins (continuation/stream_origins.hpp): versions that began streams
///  - version_history (continuation/version_history.hpp): versions that served lately
///  - decide_take_up (continuation/take_up.hpp): what follows for a stream that is taken up
#pragma once

#include <endivestage/continuation/stream_origins.hpp>
#include <endivestage/continuation/take_up.hpp>
#include <endivestage/continuation/version_history.hpp>
