/// \file
/// \brief Deadline of the operations on a socket that spares bytes which have arrived.
#pragma once

#include <endivestage/core.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <memory>

namespace endivestage::daemon
{

/// \brief Cancels the operations on a socket at a deadline, unless the socket is ready by then.
///
/// The timer of beast::tcp_stream closes the socket when its handler runs, which may be long after
/// the time: what arrived while the event loop was late is lost with it. Not thread-safe; all calls
/// run on the socket's executor.
class socket_deadline
{
public:
    /// \brief What the operations wait for.
    enum class direction
    {
        read,  ///< Bytes, or the end of the stream.
        write, ///< Space for more bytes, or the end of a connect.
    };

    /// \param socket Must outlive the deadline.
    explicit socket_deadline(boost::asio::ip::tcp::socket& socket);
    ~socket_deadline();
    socket_deadline(const socket_deadline&) = delete;
    socket_deadline& operator=(const socket_deadline&) = delete;

    /// \brief Sets the time after which operations fail with operation_aborted, until \ref stop.
    void start(millis timeout, direction awaited);

    /// \brief Ends the supervision.
    void stop();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace endivestage::daemon
