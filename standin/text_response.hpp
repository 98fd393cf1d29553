/// \file
/// \brief Response with a fixed text, for tests of servers.
#pragma once

#include <endivestage/daemon/http_server.hpp>

#include <string>

namespace endivestage::standin
{

/// \brief Sends a complete response with status 200.
daemon::awaitable<void> send_text(daemon::response_writer& writer, std::string text);

} // namespace endivestage::standin
