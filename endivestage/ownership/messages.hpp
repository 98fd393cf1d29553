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

/// \brief Views are passed by pointer: at 400 members one has some 50 KB.
using view_pointer = std::shared_ptr<const view>;

/// \brief Which run of which router a message comes from.
struct message_origin
{
    router_id id;
    std::uint64_t incarnation = 0;
};

/// \brief Asks a witness to confirm a view.
struct confirm_request
{
    message_origin from;
    std::uint64_t question = 0; ///< Echoed by the answer.
    std::uint64_t number = 0;   ///< The view to confirm.
    view_state state = view_state::active;
};

/// \brief A witness's answer.
struct confirm_answer
{
    message_origin from;
    std::uint64_t asked_by = 0; ///< Incarnation of the router that asked.
    std::uint64_t question = 0;
    std::uint64_t number = 0; ///< The newest view that the witness knows.
    bool confirmed = false;   ///< It knows no newer number than the one asked about.
    view_pointer newest;      ///< Set only when newer than the view asked about.
};

/// \brief Tells a router a view that is in the row.
struct view_announce
{
    message_origin from;
    view_pointer announced;
    router_id root; ///< Root of the push tree; empty when the receiver must not pass it on.
};

/// \brief Says that a router has learned a view and confirms no older one.
struct view_acknowledgement
{
    message_origin from;
    std::uint64_t number = 0; ///< The newest view that the router knows.
};

/// \brief Action: run an operation on the table and pass the outcome to on_table_result.
struct table_request
{
    std::uint64_t token = 0; ///< Names the operation in on_table_result.
    table_operation operation;
};

/// \brief Action: send a message to a router. It may be lost.
template <class Message>
struct send_message
{
    member to; ///< In answers only the id and incarnation are set; the address is the asker's.
    Message content;
};

/// \brief Action: the view in force on this router changed.
struct view_adopted
{
    view_pointer adopted;
};

/// \brief Action: this router may issue permits for the engine as soon as it has rebuilt its
/// count. \sa owner_rebuild
struct ownership_acquired
{
    endpoint_id endpoint;
    view_pointer acquired_in; ///< The view of the takeover.
    time_point acquired_at;   ///< From here on no other router issues.
    bool previous_known =
        false; ///< previous_owner is the router that issued before, or nobody did.
    message_origin previous_owner; ///< Empty id: nobody issued before.
};

/// \brief Action: this router must stop issuing permits for the engine at once.
struct ownership_lost
{
    endpoint_id endpoint;
    std::uint64_t ended_in = 0; ///< Number of the view that moved the engine.
    /// No other router issued between this router's tenure and view ended_in, so its count is a
    /// complete account for the next owner.
    bool account_complete = false;
};

/// \brief What the embedding program must do.
using view_action =
    std::variant<table_request, send_message<confirm_request>, send_message<confirm_answer>,
                 send_message<view_announce>, send_message<view_acknowledgement>, view_adopted,
                 ownership_acquired, ownership_lost>;

/// \brief Actions in the order in which they must be done.
using view_actions = std::vector<view_action>;

} // namespace endivestage
