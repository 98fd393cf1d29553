/// \file
/// \brief Umbrella header of the stream module: complete answers over unreliable connections.
///
/// Contents:
///  - answer_assembler (stream/assembler.hpp): request id check, offsets, gaps, back-pressure
///  - stall_detector (stream/stall.hpp): detection of connections without progress
///  - resume_token, encode_token, decode_token, token_signer (stream/token.hpp): resuming a stream
///    through another router
///  - answer_continuation (stream/continuation.hpp): answers continued on another engine
///
/// \sa stream/GUIDE.md
#pragma once

#include <endivestage/stream/assembler.hpp>
#include <endivestage/stream/continuation.hpp>
#include <endivestage/stream/stall.hpp>
#include <endivestage/stream/token.hpp>
