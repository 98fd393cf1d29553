/// \file
/// \brief Typed errors as callers see them.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/daemon/http_types.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace endivestage::daemon
{

/// \brief An error answer: what went wrong, whether the request ran, and when to try again.
struct caller_error
{
    errc code = errc::internal;
    execution ran = execution::not_run;
    std::string reason;                ///< For people; may be empty.
    std::optional<millis> retry_after; ///< Set where a later try may succeed.
};

/// \returns The HTTP status of a code.
int http_status(errc code);

/// \returns The errc of an error code; errc::internal for codes of other categories.
errc to_errc(const std::error_code& ec);

/// \returns JSON: {"error":{"code","execution","reason","retry_after_ms"}}.
std::string to_json_text(const caller_error& error);

/// \returns The complete error answer.
http_response make_error_response(const caller_error& error);

/// \returns A complete answer with a JSON body.
http_response make_json_response(std::string body, int status = 200);

} // namespace endivestage::daemon
