/// \file
/// \brief Stand-in for an engine of the users' platform that sends scripted responses.
#pragma once

#include <endivestage/daemon/http_types.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace endivestage::standin
{

/// \brief Bytes that an engine sends for one request, and how it leaves the connection.
struct engine_reply
{
    /// Applied to the connection after the last piece.
    enum class connection_action
    {
        keep_open, ///< The next request is read.
        close,     ///< Orderly close.
        reset,     ///< TCP reset.
        hang,      ///< No further bytes; the connection stays open until the client closes it.
        repeat,    ///< The last piece again and again until the client closes the connection.
    };

    std::vector<std::string> pieces; ///< Sent one after another, unchanged.
    millis delay{0};                 ///< Before each piece.
    connection_action final_action = connection_action::keep_open;
};

/// \brief Responds to every request on its port as a function decides. Single-threaded.
class platform_engine
{
public:
    using response_function = std::function<engine_reply(const daemon::http_request&)>;

    platform_engine(boost::asio::io_context& context, response_function respond);

    /// \brief Listens on a free port of loopback.
    std::error_code start();

    /// \brief Stops listening; open connections stay.
    void stop();

    /// \brief Stops listening and closes all connections in an orderly way, also those with a
    /// response under way.
    void crash();

    std::uint16_t port() const;

    /// \returns The requests received so far, in order.
    const std::vector<daemon::http_request>& received() const { return received_; }

    /// \returns Number of connections that the client closed before the response was complete.
    int abandoned() const { return abandoned_; }

    response_function respond; ///< May be replaced between requests.

private:
    void accept();
    daemon::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    daemon::awaitable<bool> send(boost::asio::ip::tcp::socket& socket, engine_reply reply);
    static daemon::awaitable<bool> send_piece(boost::asio::ip::tcp::socket& socket,
                                              std::string_view piece, millis delay);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::set<boost::asio::ip::tcp::socket*> open_;
    std::vector<daemon::http_request> received_;
    int abandoned_ = 0;
};

/// \returns A complete response with Content-Length, X-Attempt-Id and X-Origin-Seal.
/// \param extra_fields Further header fields, each ended by CRLF.
std::string make_response(const daemon::http_request& request, int status, const std::string& body,
                          const std::string& extra_fields = {});

/// \returns The X-Attempt-Id of a request, which the caller chose.
std::string request_id(const daemon::http_request& request);

/// \returns Whether X-Expect-Instance of a request is absent or equals an engine's id.
bool is_addressed_to(const daemon::http_request& request, const std::string& id);

/// \returns The Last-Event-Id of a request, after which a stream resumes; 0 without one.
int last_event_id(const daemon::http_request& request);

/// \returns A response which states that the request was not executed.
std::string make_not_executed(const daemon::http_request& request, int status);

/// \returns The head of a chunked response that streams events.
std::string make_stream_head(const daemon::http_request& request);

/// \returns One event with the given id as a chunk of a body.
std::string make_event_chunk(int id);

/// \returns Bytes of a body as a chunk.
std::string make_chunk(const std::string& data);

/// \brief Chunk that ends a body.
inline constexpr const char* last_chunk = "0\r\n\r\n";

} // namespace endivestage::standin
