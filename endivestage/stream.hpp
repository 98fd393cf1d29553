/// \file
/// \brief Umbrella header of the stream module: whole answers over unreliable connections.
///
/// Contents:
///  - answer_assembler (stream/assembler.hpp): identity check, offsets, gaps, back-pressure
///  - stall_detector (stream/stall.hpp): silent connections
///  - resume_token, encode_token, decode_token, token_signer (stream/token.hpp)
///  - answer_continuation (stream/continuation.hpp): continuing on another engine
///
/// \sa stream/GUIDE.md
#pragma once

#include <endivestage/stream/assembler.hpp>
#include <endivestage/stream/continuation.hpp>
#include <endivestage/stream/stall.hpp>
#include <endivestage/stream/token.hpp>
