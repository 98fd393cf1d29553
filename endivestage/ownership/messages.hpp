/// \file
/// \brief Messages between view agents, and the actions of a view agent.
#pragma once

#include <cstdint>
#include <endivestage/core/clock.hpp>
#include <endivestage/core/ids.hpp>
#include <endivestage/core/table.hpp>
#include <endivestage/ownership/view.hpp>
#include <memory>
#include <variant>
#include <vector>

namespace endivestage
{

/// \brief Shared pointer to a view. A view of 400 members takes about 50 KB, so it is not copied.
using view_pointer = std::shared_ptr<const view>;

/// \brief Identifies the router, and the run of that router, that sent a message.
struct message_origin
{
    router_id id;
    std::uint64_t incarnation = 0;
};

/// \brief Asks a witness to confirm a view.
struct confirm_request
{
    message_origin from;
    std::uint64_t question = 0; ///< Request id; the answer repeats it.
    std::uint64_t number = 0;   ///< Number of the view to confirm.
    view_state state = view_state::active;
};

/// \brief Answer of a witness to a confirm_request.
struct confirm_answer
{
    message_origin from;
    std::uint64_t asked_by = 0; ///< Incarnation of the router that sent the request.
    std::uint64_t question = 0; ///< Request id of the confirm_request.
    std::uint64_t number = 0;   ///< Number of the witness's newest view; 0 if it has none.
    bool confirmed = false;     ///< The witness has no view with a higher number.
    view_pointer newest;        ///< Set only if it is newer than the view in the request.
};

/// \brief Sends a router a view that is in the row.
struct view_announce
{
    message_origin from;
    view_pointer announced;
    /// Root of the broadcast tree. Empty if the receiver must acknowledge instead of forwarding.
    router_id root;
};

/// \brief States that a router has adopted a view and confirms no older one (R2).
struct view_acknowledgement
{
    message_origin from;
    std::uint64_t number = 0; ///< Number of the router's newest view.
};

/// \brief Action: run an operation on the table and pass the result to on_table_result.
struct table_request
{
    std::uint64_t token = 0; ///< Identifies the operation in on_table_result.
    table_operation operation;
};

/// \brief Action: send a message to a router. The message may be lost.
template <class Message>
struct send_message
{
    /// In replies only the id and the incarnation are set; they go to the address of the requester.
    member to;
    Message content;
};

/// \brief Action: this router adopted a newer view.
struct view_adopted
{
    view_pointer adopted;
};

/// \brief Action: this router may issue permits for the endpoint once it has rebuilt the count of
/// outstanding permits. \sa owner_rebuild
struct ownership_acquired
{
    endpoint_id endpoint;
    view_pointer acquired_in; ///< The view in which this router became the owner.
    time_point acquired_at;   ///< From this time on, no other router issues.
    /// Whether the previous owner is known: it is previous_owner, or there was none.
    bool previous_known = false;
    message_origin previous_owner; ///< The id is empty if there was no previous owner.
};

/// \brief Action: this router must stop issuing permits for the endpoint immediately.
struct ownership_lost
{
    endpoint_id endpoint;
    std::uint64_t ended_in = 0; ///< Number of the view that moved the endpoint.
    /// Whether no other router issued between the end of this router's ownership and view ended_in,
    /// so that this router's count is complete for the next owner.
    bool account_complete = false;
};

/// \brief An action that the embedding program must perform.
using view_action =
    std::variant<table_request, send_message<confirm_request>, send_message<confirm_answer>,
                 send_message<view_announce>, send_message<view_acknowledgement>, view_adopted,
                 ownership_acquired, ownership_lost>;

/// \brief Actions in the order in which they must be performed.
using view_actions = std::vector<view_action>;

} // namespace endivestage
