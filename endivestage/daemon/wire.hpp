/// \file
/// \brief JSON forms of the messages between routers.
///
/// Each decode function returns errc::invalid_request when a required member is missing.
#pragma once

#include <endivestage/admission/permit.hpp>
#include <endivestage/admission/pool_aggregate.hpp>
#include <endivestage/core.hpp>
#include <endivestage/daemon/peer_transport.hpp>
#include <endivestage/ownership/messages.hpp>

#include <boost/json/object.hpp>
#include <variant>
#include <vector>

namespace endivestage::daemon
{

/// \returns Where the router takes peer calls.
///
/// g++ 12 destroys braced aggregates inside co_await expressions twice, so that addresses are made
/// by a function.
peer_address peer_address_of(const member& who);

/// \brief A message between view agents.
using view_message =
    std::variant<confirm_request, confirm_answer, view_announce, view_acknowledgement>;

boost::json::object encode(const view_message& message);
result<view_message> decode_view_message(const boost::json::object& object);

/// \brief A permit request on its way to the owner of an engine.
struct acquire_message
{
    endpoint_id engine;
    permit_request request; ///< Its deadline is not used; remaining is.
    millis remaining{0};    ///< Time to the deadline when the message was sent.
};

boost::json::object encode(const acquire_message& message);
result<acquire_message> decode_acquire(const boost::json::object& object);

/// \brief A permit with the run of the router that issued it.
struct granted_permit
{
    permit value;
    message_origin owner;
};

boost::json::object encode(const granted_permit& granted);
result<granted_permit> decode_granted(const boost::json::object& object);

boost::json::object encode(const permit_outcome& outcome);
permit_outcome decode_outcome(const boost::json::object& object);

boost::json::object encode(const held_permit& held);
held_permit decode_held(const boost::json::object& object);

boost::json::array encode(const std::vector<engine_load>& loads);
std::vector<engine_load> decode_loads(const boost::json::array& array);

} // namespace endivestage::daemon
