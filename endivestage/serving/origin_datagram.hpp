/// \file
/// \brief Datagrams by which routers tell each other at which version a stream began.
#pragma once

#include <endivestage/continuation.hpp>
#include <endivestage/core.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endivestage::serving
{

/// \brief Content of a datagram.
struct origin_message
{
    enum class type : char
    {
        question = 'q', ///< Where did the stream begin?
        known = 'k',    ///< Streams and where they began.
        unknown = 'u',  ///< Answer to a question about a stream that the sender does not know.
    };

    type kind = type::question;
    std::uint64_t stream = 0;          ///< Of a question, or of an answer that it is unknown.
    std::vector<known_origin> origins; ///< Of type::known.
};

/// Keeps a datagram below the usual packet size.
inline constexpr std::size_t max_origins_per_datagram = 48;

std::string encode_origin_question(std::uint64_t stream);
std::string encode_unknown_origin(std::uint64_t stream);

/// \param origins At most max_origins_per_datagram.
std::string encode_origins(std::span<const known_origin> origins);

/// \returns The content; nothing if the datagram cannot be read.
std::optional<origin_message> decode_origin_message(std::string_view datagram);

} // namespace endivestage::serving
