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
#include <endivestage/ownership/owner_rebuild.hpp>
#include <endivestage/placement/recency_index.hpp>

#include <boost/json/object.hpp>
#include <optional>
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

/// \brief A permit as its holder reports it to a new owner.
struct reported_permit
{
    held_permit held;
    message_origin owner; ///< Run of the router that issued it.
};

/// \brief What a previous owner hands over besides its account of permits.
struct engine_handover
{
    owner_account account;
    std::uint64_t incarnation = 0; ///< Of the engine, as last reported.
    bool warm = false;
    std::vector<recency_entry> cache; ///< Most recent first; bounded by max_handover_entries.
};

/// Keeps a handover below the limit of a peer call's body (1 MiB).
inline constexpr std::size_t max_handover_entries = 20000;

/// \brief Answer to the question which permits a router holds on an engine.
struct held_report
{
    message_origin from;
    std::uint64_t view_number = 0;
    std::vector<reported_permit> permits;
    std::optional<engine_handover> handover; ///< Set by the previous owner.
};

boost::json::object encode(const held_report& report);
held_report decode_held_report(const endpoint_id& engine, const boost::json::object& object);

/// \returns The permit's identity over all owners.
permit_stamp make_stamp(const endpoint_id& engine, const permit_key& key,
                        const message_origin& owner);

boost::json::array encode(const std::vector<engine_load>& loads);
std::vector<engine_load> decode_loads(const boost::json::array& array);

} // namespace endivestage::daemon
