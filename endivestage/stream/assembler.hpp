/// \file
/// \brief Assembles one answer from the events of one or more connections.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace endivestage
{

/// \brief One event of an answer, as sent by the endpoint.
struct stream_event
{
    request_id request;       ///< Request id that the endpoint echoes.
    std::uint64_t offset = 0; ///< Position of the first byte of data in this endpoint's answer.
    std::string_view data;    ///< May be empty, for example in the final event.
    bool final = false;       ///< Final marker: the answer ends after data.
};

/// \brief Limits of an answer_assembler. Sizes are in bytes.
struct assembler_config
{
    std::size_t high_watermark = 256UL * 1024; ///< Reading pauses at this many unconsumed bytes.
    std::size_t low_watermark = 64UL * 1024;   ///< Reading continues at this many unconsumed bytes.
    std::size_t max_buffer_size = 1024UL * 1024; ///< Maximum unconsumed bytes; further bytes are
                                                 ///< dropped and requested again later.
    int max_consecutive_resumes = 4; ///< Resumes without a new byte after which the answer fails.
};

/// \brief Action: send the bytes to the caller; call on_consumed once they are sent.
struct deliver_bytes
{
    std::uint64_t offset = 0; ///< Position of the first byte in the whole answer.
    std::string data;
};

/// \brief Action: open a new connection to the endpoint and resume the answer on it. Its events and
/// its end are reported under the given connection number.
struct resume_stream
{
    std::uint64_t connection = 0;
    std::uint64_t offset = 0; ///< First requested byte of this endpoint's answer.
};

/// \brief Action: close a connection; later events from it are ignored.
struct close_connection
{
    std::uint64_t connection = 0;
    errc reason = errc::ok; ///< errc::ok when the connection has already ended.
};

/// \brief Action: stop reading from the connection until continue_reading follows.
struct pause_reading
{
};

/// \brief Action: read from the connection again.
struct continue_reading
{
};

/// \brief Action: report that the whole answer was delivered.
struct complete_answer
{
    std::uint64_t size = 0; ///< Total bytes delivered.
};

/// \brief Action: this endpoint cannot complete the answer.
struct fail_answer
{
    errc reason = errc::internal;
};

using stream_action = std::variant<deliver_bytes, resume_stream, close_connection, pause_reading,
                                   continue_reading, complete_answer, fail_answer>;
using stream_actions = std::vector<stream_action>;

/// \brief Delivers each byte of an answer exactly once and in order, and completes only at the
/// final marker.
///
/// Duplicated bytes are skipped. A gap, an event of another request or the end of the connection
/// before the final marker makes the assembler resume the answer on a new connection.
class answer_assembler
{
public:
    /// \param request Id that each event must echo.
    /// \param delivered Bytes that the caller already has when it resumes a stream on this router.
    /// The first connection must then request the answer from this offset on.
    explicit answer_assembler(request_id request, const assembler_config& config = {},
                              std::uint64_t delivered = 0);

    /// \brief Processes an event of a connection. The first connection has number 1.
    stream_actions on_event(std::uint64_t connection, const stream_event& event);

    /// \brief Processes the end of a connection.
    stream_actions on_closed(std::uint64_t connection);

    /// \brief Resumes the answer on a new connection, for example because the current one stalls.
    stream_actions reconnect();

    /// \brief Records that \p n delivered bytes were sent to the caller.
    /// \param n At most the number of delivered bytes that were not yet reported as consumed.
    stream_actions on_consumed(std::size_t n);

    /// \brief Continues the answer on another endpoint, also after fail_answer. Offset 0 of the new
    /// endpoint is the first byte that was not delivered.
    /// \param request A new id, because the previous endpoint may still send under the old one.
    /// \returns The number of the connection to open to the new endpoint.
    std::uint64_t switch_endpoint(request_id request);

    /// \returns Number of bytes delivered so far.
    std::uint64_t delivered() const { return delivered_; }

    /// \returns Whether the answer is complete or failed.
    bool has_ended() const { return state_ != state::open; }

private:
    enum class state
    {
        open,
        complete,
        failed,
    };

    bool is_current(std::uint64_t connection) const;
    void accept_data(const stream_event& event, std::uint64_t duplicate_size);
    void handle_overflow();
    void resume(errc reason);
    void fail(errc reason);
    stream_actions take_actions();

    request_id request_;
    assembler_config config_;
    stream_actions actions_;
    std::uint64_t delivered_ = 0;
    std::uint64_t endpoint_start_ = 0; ///< Offset in the whole answer at which this endpoint began.
    std::uint64_t connection_ = 1;
    std::size_t unconsumed_ = 0;
    int consecutive_resumes_ = 0;
    bool paused_ = false;
    bool overflowed_ = false; ///< Whether a resume waits for the caller to consume bytes.
    state state_ = state::open;
};

} // namespace endivestage
