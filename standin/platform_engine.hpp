/// \file
/// \brief Stand-in for an engine of the users' platform that answers with scripted bytes.
#pragma once

#include <endivestage/daemon/http_types.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace endivestage::standin
{

/// \brief What an engine sends for one request.
struct engine_reply
{
    enum class connection_action
    {
        keep_open, ///< The connection stays open.
        close,     ///< Closed in order.
        reset,     ///< Reset.
        hang,      ///< Nothing more is sent, and the connection stays open.
    };

    std::vector<std::string> pieces; ///< Sent one after another, unchanged.
    millis delay{0};                 ///< Before each piece.
    connection_action final_action = connection_action::keep_open;
};

/// \brief Answers every request on its port by a script. Single-threaded.
class platform_engine
{
public:
    using response_function = std::function<engine_reply(const daemon::http_request&)>;

    platform_engine(boost::asio::io_context& context, response_function respond);

    /// \brief Listens on a free port of loopback.
    std::error_code start();

    /// \brief Closes the port; open connections stay.
    void stop();

    std::uint16_t port() const;

    /// \returns The requests received so far, in order.
    const std::vector<daemon::http_request>& received() const { return received_; }

    /// \returns Connections that the other side closed in the middle of an answer.
    int abandoned() const { return abandoned_; }

    response_function respond;

private:
    void accept();
    daemon::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    daemon::awaitable<bool> send(boost::asio::ip::tcp::socket& socket, engine_reply reply);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<daemon::http_request> received_;
    int abandoned_ = 0;
};

/// \returns A whole answer with a length, the request's id and an engine's mark.
std::string make_response(const daemon::http_request& request, int status, const std::string& body,
                          const std::string& more_fields = {});

/// \returns The id that the caller gave a request.
std::string request_id(const daemon::http_request& request);

/// \returns Whether a request names no engine or the one with this id.
bool is_addressed_to(const daemon::http_request& request, const std::string& id);

/// \returns The number of the last event that the caller has; 0 without one.
int last_event_id(const daemon::http_request& request);

/// \returns An answer that says that the request was not executed.
std::string make_not_executed(const daemon::http_request& request, int status);

/// \returns The head of a stream of events in chunks.
std::string make_stream_head(const daemon::http_request& request);

/// \returns One event as a chunk.
std::string make_event_chunk(int id);

/// \returns A part of a body as a chunk.
std::string make_chunk(const std::string& part);

/// \brief Ends a body in chunks.
inline constexpr const char* last_chunk = "0\r\n\r\n";

} // namespace endivestage::standin
