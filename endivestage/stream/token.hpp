/// \file
/// \brief Resume token: the signed data with which any router can resume a stream.
#pragma once

#include <endivestage/core.hpp>

#include <string>
#include <string_view>

namespace endivestage
{

/// \brief Content of the resume token, which the first event of each stream carries.
struct resume_token
{
    request_id request;
    pool_id pool;
    endpoint_id engine;
    team_id team;
    router_id entry_router; ///< Router on which the stream began.
    time_point created_at;  ///< Wall-clock time.

    bool operator==(const resume_token&) const = default;
};

/// \brief Signs and verifies tokens; implemented by the embedding program with keys that all its
/// routers share.
class token_signer
{
public:
    virtual ~token_signer() = default;

    /// \returns A signature of \p text; may contain any bytes.
    virtual std::string sign(std::string_view text) const = 0;

    /// \returns Whether \p signature is valid for \p text under any accepted key. The comparison
    /// must take constant time, so that it does not reveal how much of a signature is right.
    virtual bool verify(std::string_view text, std::string_view signature) const = 0;

protected:
    token_signer() = default;
    token_signer(const token_signer&) = default;
    token_signer& operator=(const token_signer&) = default;
};

/// \brief Maximum size in bytes of a token text that decode_token accepts.
inline constexpr std::size_t max_token_size = 8192;

/// \returns The signed token as hexadecimal digits and one '.', safe in URLs and headers.
std::string encode_token(const resume_token& token, const token_signer& signer);

/// \brief Parses and verifies a token.
/// \returns The token, or errc::too_large when \p text exceeds max_token_size,
/// errc::invalid_request when it is malformed, or errc::unauthorized when the signature is invalid.
result<resume_token> decode_token(std::string_view text, const token_signer& signer);

/// \returns Whether the token is older than \p ttl.
bool is_token_expired(const resume_token& token, time_point wall_now, millis ttl);

} // namespace endivestage
