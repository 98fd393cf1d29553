/// \file
/// \brief Resume token: what another router needs to resume a stream.
#pragma once

#include <endivestage/core.hpp>

#include <string>
#include <string_view>

namespace endivestage
{

/// \brief Content of the token in the first event of each stream.
struct resume_token
{
    request_id request;
    pool_id pool;
    endpoint_id engine;
    team_id team;
    router_id entry_router; ///< Router that the stream began on.
    time_point created_at;  ///< Wall clock.

    bool operator==(const resume_token&) const = default;
};

/// \brief Signs and verifies tokens; implemented by the embedding program with its shared keys.
class token_signer
{
public:
    virtual ~token_signer() = default;

    /// \returns A signature of \p text, any bytes.
    virtual std::string sign(std::string_view text) const = 0;

    /// \returns Whether \p signature is valid for \p text under any accepted key. The comparison
    /// must take the same time for all wrong signatures.
    virtual bool verify(std::string_view text, std::string_view signature) const = 0;

protected:
    token_signer() = default;
    token_signer(const token_signer&) = default;
    token_signer& operator=(const token_signer&) = default;
};

/// \brief Longest token text that decode_token accepts, in bytes.
inline constexpr std::size_t max_token_size = 8192;

/// \returns Text of hexadecimal digits and one '.', safe in URLs and headers.
std::string encode_token(const resume_token& token, const token_signer& signer);

/// \brief Reads and verifies a token.
/// \returns The token; errc::too_large; errc::invalid_request when the text has not the form of a
/// token; errc::unauthorized when the signature is wrong.
result<resume_token> decode_token(std::string_view text, const token_signer& signer);

/// \returns Whether the token is older than \p lifetime.
bool is_token_expired(const resume_token& token, time_point wall_now, millis lifetime);

} // namespace endivestage
