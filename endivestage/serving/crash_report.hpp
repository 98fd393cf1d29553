/// \file
/// \brief Reports engines that crash on a prompt.
#pragma once

#include <endivestage/daemon/http_types.hpp>
#include <endivestage/serving/router_state.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <vector>

namespace endivestage::serving
{

/// \brief Finds out whether an engine whose connection broke has crashed, and reports the parts of
/// the prompt if so.
daemon::awaitable<void> report_crash(boost::asio::any_io_executor executor, router_state& state,
                                     endpoint_record engine, std::vector<prompt_part> parts);

} // namespace endivestage::serving
