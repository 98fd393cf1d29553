/// \file
/// \brief Assembles one answer from events of one or more connections.
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

/// \brief One event of an answer as the endpoint sent it.
struct stream_event
{
    request_id request;       ///< Echoed by the endpoint.
    std::uint64_t offset = 0; ///< Position of the first byte in this endpoint's answer.
    std::string_view data;    ///< May be empty, for example with the final marker.
    bool final = false;       ///< The answer ends behind data.
};

/// \brief Limits of an answer_assembler.
struct assembler_config
{
    std::size_t high_watermark = 256UL * 1024;   ///< Unconsumed bytes at which reading pauses.
    std::size_t low_watermark = 64UL * 1024;     ///< Unconsumed bytes at which reading continues.
    std::size_t max_buffer_size = 1024UL * 1024; ///< Unconsumed bytes kept at most; the rest is
                                                 ///< dropped and resumed later.
    int max_consecutive_resumes = 4;             ///< Consecutive resumes without a new byte.
};

/// \brief Action: pass the bytes on to the caller; report with consumed when they left.
struct deliver_bytes
{
    std::uint64_t offset = 0; ///< Position in the whole answer.
    std::string data;
};

/// \brief Action: open a new connection to the endpoint and resume there. Events of it carry the
/// connection number.
struct resume_stream
{
    std::uint64_t connection = 0;
    std::uint64_t offset = 0; ///< First byte wanted, in this endpoint's answer.
};

/// \brief Action: close a connection; nothing from it is used any more.
struct close_connection
{
    std::uint64_t connection = 0;
    errc reason = errc::ok;
};

/// \brief Action: stop reading from the connection until continue_reading.
struct pause_reading
{
};

/// \brief Action: read from the connection again.
struct continue_reading
{
};

/// \brief Action: the whole answer was delivered.
struct complete_answer
{
    std::uint64_t size = 0; ///< Bytes delivered.
};

/// \brief Action: this endpoint cannot complete the answer.
struct fail_answer
{
    errc reason = errc::internal;
};

using stream_action = std::variant<deliver_bytes, resume_stream, close_connection, pause_reading,
                                   continue_reading, complete_answer, fail_answer>;
using stream_actions = std::vector<stream_action>;

/// \brief Delivers each byte of an answer once, in order, and ends only at the final marker.
class answer_assembler
{
public:
    /// \param request Id that each event must echo.
    /// \param delivered Bytes that the caller already has, when it resumes on this router; the
    /// first connection is then asked for the answer from there on.
    explicit answer_assembler(request_id request, const assembler_config& limits = {},
                              std::uint64_t delivered = 0);

    /// \brief Takes an event of a connection. The first connection has number 1.
    stream_actions on_event(std::uint64_t connection, const stream_event& event);

    /// \brief Takes the end of a connection.
    stream_actions on_closed(std::uint64_t connection);

    /// \brief Abandons the current connection, for example because it is silent.
    stream_actions reconnect();

    /// \brief The caller's connection took \p n delivered bytes.
    /// \param n At most the bytes delivered and not yet reported.
    stream_actions on_consumed(std::size_t n);

    /// \brief Continues, also after fail_answer, on another endpoint whose offsets begin at 0
    /// behind the delivered bytes. \param request A new id: the former endpoint may still send
    /// under the old one. \returns The number of the connection to be opened to the new endpoint.
    std::uint64_t switch_endpoint(request_id request);

    /// \returns Bytes delivered so far.
    std::uint64_t delivered() const { return next_; }

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
    void take_bytes(const stream_event& event, std::uint64_t known);
    void overflow();
    void resume(errc reason);
    void fail(errc reason);
    stream_actions take();

    request_id request_;
    assembler_config limits_;
    stream_actions actions_;
    std::uint64_t next_ = 0;
    std::uint64_t base_ = 0;
    std::uint64_t connection_ = 1;
    std::size_t unconsumed_ = 0;
    int resumes_ = 0;
    bool paused_ = false;
    bool overflowed_ = false;
    state state_ = state::open;
};

} // namespace endivestage
