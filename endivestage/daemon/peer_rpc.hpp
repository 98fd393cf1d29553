/// \file
/// \brief Calls between routers with JSON bodies that carry the hybrid time of the sender.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/daemon/event_recorder.hpp>
#include <endivestage/daemon/peer_transport.hpp>

#include <boost/json/object.hpp>
#include <functional>
#include <map>
#include <string>

namespace endivestage::daemon
{

/// \brief Answer of a handler: a body, or a typed error that the caller gets.
using rpc_answer = result<boost::json::object>;

/// \brief Handles a call from the router \p from.
using rpc_handler = std::function<boost::asio::awaitable<rpc_answer>(
    router_id from, const boost::json::object& body)>;

/// \brief Sends calls and dispatches received ones. Handlers are added before the server starts.
class peer_rpc
{
public:
    /// \param channel Must outlive this object.
    /// \param events Must outlive this object.
    peer_rpc(peer_channel& channel, event_recorder& events) : channel_(channel), events_(events) {}

    /// \brief Sets the handler of a path.
    void handle(std::string path, rpc_handler handler);

    /// \brief Calls another router.
    /// \param timeout From now to the whole answer.
    /// \returns The answer's body, the handler's typed error, or an error of peer_channel::call.
    boost::asio::awaitable<rpc_answer> call(peer_address to, std::string path,
                                            boost::json::object body, millis timeout);

    /// \brief Runs the handler of a received request.
    boost::asio::awaitable<peer_answer> dispatch(peer_request request);

private:
    void stamp(boost::json::object& body);
    void observe(const boost::json::object& body);

    peer_channel& channel_;
    event_recorder& events_;
    std::map<std::string, rpc_handler> handlers_;
};

} // namespace endivestage::daemon
