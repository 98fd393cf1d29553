/// \file
/// \brief Authentication of peer requests, datagrams and resume tokens by HMAC-SHA256.
#pragma once

#include <endivestage/core/clock.hpp>
#include <endivestage/core/error.hpp>

#include <array>
#include <cstddef>
#include <deque>
#include <initializer_list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

namespace endivestage::daemon
{

/// \brief A full HMAC-SHA256 value.
using mac = std::array<unsigned char, 32>;

/// \returns Whether both texts are equal, in a time that depends on their lengths only.
bool constant_time_equal(std::string_view a, std::string_view b);

/// \returns \p data in base64url (RFC 4648, section 5) without padding.
std::string base64url_encode(std::string_view data);

/// \returns The bytes that \p text encodes, or errc::invalid_request. Non-canonical input is
/// refused, so that a value has one encoding only.
result<std::string> base64url_decode(std::string_view text);

/// \brief Shared keys of the fleet. The first signs; all verify, so that keys can be rotated
/// router by router.
///
/// Immutable, hence safe to share between threads.
class key_ring
{
public:
    /// Shorter keys could be found by search.
    static constexpr std::size_t min_key_bytes = 16;

    /// \param keys At least one; each of at least min_key_bytes.
    explicit key_ring(std::vector<std::string> keys);

    /// \returns The MAC of \p fields under the first key. Each field is preceded by its length, so
    /// that bytes cannot be moved between neighbouring fields.
    mac sign(std::initializer_list<std::string_view> fields) const;

    /// \returns Whether \p tag is the MAC of \p fields under any key, or a prefix of it.
    /// \param tag At least 8 bytes; anything shorter is refused.
    bool verify(std::initializer_list<std::string_view> fields, std::string_view tag) const;

private:
    std::vector<std::string> keys_;
};

/// \brief The parts of a request that its signature covers, besides time and nonce.
struct signed_request
{
    std::string_view method;
    std::string_view path;
    /// Host and port of the receiver. Without it, a recorded request could be sent again to a
    /// different router, which has not seen its nonce.
    std::string_view authority;
    std::string_view from; ///< Id of the sending router.
    std::string_view body;
};

/// \brief Why a signature was refused.
enum class signature_fault
{
    none,
    malformed,  ///< Not a signature of the expected form.
    wrong_mac,  ///< No key gives this MAC.
    wrong_time, ///< Further than the time window from the receiver's wall time.
    replayed,   ///< The nonce was used before.
    cache_full, ///< Too many nonces in the time window; refused, because a replay would go unseen.
};

/// \returns The stable snake_case name of a fault.
std::string_view to_string(signature_fault fault);

/// \returns errc::ok, errc::overloaded for cache_full, otherwise errc::unauthorized.
std::error_code to_error(signature_fault fault);

/// \brief Signs outgoing requests. Thread-safe.
class request_signer
{
public:
    /// \param time Must outlive the signer.
    request_signer(std::shared_ptr<const key_ring> keys, const clock& time)
        : keys_(std::move(keys)),
          time_(&time)
    {
    }

    /// \returns "wall-time-ms.nonce.mac" with a fresh 128-bit nonce.
    std::string sign(const signed_request& request) const;

private:
    std::shared_ptr<const key_ring> keys_;
    const clock* time_;
};

/// \brief Verifies incoming requests and remembers their nonces. Thread-safe.
class request_verifier
{
public:
    /// Requests further from the receiver's wall time are refused.
    static constexpr millis time_window{30000};
    /// A pool aggregator of 600 engines gets 2,400 digests/s, hence 144,000 nonces in twice the
    /// time window.
    static constexpr std::size_t default_capacity = 262144;

    /// \param time Must outlive the verifier.
    /// \param capacity Largest number of nonces remembered.
    request_verifier(std::shared_ptr<const key_ring> keys, const clock& time,
                     std::size_t capacity = default_capacity);

    /// \brief Checks a signature. The nonce is remembered only after the MAC was found right, so
    /// that senders without a key cannot fill the cache.
    signature_fault verify(const signed_request& request, std::string_view signature);

private:
    std::shared_ptr<const key_ring> keys_;
    const clock* time_;
    std::size_t capacity_;
    std::mutex mutex_;
    std::unordered_set<std::string> seen_;
    std::deque<std::pair<time_point, std::string>> order_; ///< Expiry time and nonce.
};

/// \brief Makes a text unforgeable, for tokens that a caller keeps and gives back.
/// \param purpose Keeps tokens of different uses apart, for example "resume".
/// \returns "text.mac", both in base64url. The text can be read by anyone.
std::string sign_text(const key_ring& keys, std::string_view purpose, std::string_view text);

/// \returns The text of a token made by sign_text with the same purpose and any of the keys, or
/// errc::unauthorized.
result<std::string> verify_text(const key_ring& keys, std::string_view purpose,
                                std::string_view token);

} // namespace endivestage::daemon
