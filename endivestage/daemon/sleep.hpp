/// \file
/// \brief A pause of a coroutine.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/daemon/http_types.hpp>

namespace endivestage::daemon
{

/// \brief Suspends the coroutine.
awaitable<void> sleep_for(millis d);

} // namespace endivestage::daemon
