/// \file
/// \brief Calls of commands to routers.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/daemon/commands.hpp>
#include <endivestage/daemon/http_types.hpp>

#include <string>

namespace endivestage::daemon
{

/// \brief Sends one operator call.
/// \returns The answer, errc::invalid_settings for a wrong address or an unreadable token, or
/// errc::peer_unavailable.
result<http_response> call_router(const remote_options& remote, std::string method,
                                  std::string target, std::string body = {});

/// \brief Prints the error of an answer, or of a failed call, on stderr as one line.
/// \returns The exit code for it.
int report_failure(const result<http_response>& response);

} // namespace endivestage::daemon
