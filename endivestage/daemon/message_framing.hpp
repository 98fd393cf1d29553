/// \file
/// \brief Checks the fields that determine where an HTTP/1.1 message ends.
#pragma once

#include <endivestage/daemon/http_types.hpp>

namespace endivestage::daemon
{

/// \brief Whether the end of a message's body is known.
enum class message_framing
{
    valid,          ///< By one length, by chunks, or by the absence of both.
    malformed,      ///< Contradictory or malformed fields.
    unknown_coding, ///< A transfer coding other than chunked.
};

/// \brief Checks Content-Length and Transfer-Encoding of a message head.
///
/// A parser that ignores what it does not know takes the body of such a message for the next
/// message on the connection, which lets a caller hide a request inside another one.
/// \param minor_version Minor version of HTTP/1; HTTP/1.0 has no transfer codings.
message_framing check_framing(const http_fields& fields, unsigned minor_version);

} // namespace endivestage::daemon
