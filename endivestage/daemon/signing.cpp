#include <endivestage/daemon/signing.hpp>

#include <cassert>
#include <charconv>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdexcept>

namespace endivestage::daemon
{

namespace
{

constexpr std::string_view request_purpose = "peer-request";
constexpr std::size_t nonce_bytes = 16;
constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

std::string_view as_text(const mac& tag)
{
    return {reinterpret_cast<const char*>(tag.data()), tag.size()};
}

mac compute(const std::string& key, std::string_view message)
{
    mac tag{};
    unsigned int size = 0;
    if (HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
             reinterpret_cast<const unsigned char*>(message.data()), message.size(), tag.data(),
             &size) == nullptr)
    {
        throw std::runtime_error("HMAC-SHA256 is not available");
    }
    return tag;
}

std::string join(std::initializer_list<std::string_view> fields)
{
    std::size_t size = 0;
    for (std::string_view field : fields)
    {
        size += field.size() + 8;
    }
    std::string message;
    message.reserve(size);
    for (std::string_view field : fields)
    {
        for (unsigned shift = 0; shift < 64; shift += 8)
        {
            message.push_back(static_cast<char>(field.size() >> shift & 0xffU));
        }
        message.append(field);
    }
    return message;
}

std::array<std::string_view, 3> split_signature(std::string_view signature)
{
    const std::size_t first = signature.find('.');
    const std::size_t second =
        first == std::string_view::npos ? first : signature.find('.', first + 1);
    if (second == std::string_view::npos)
    {
        return {};
    }
    return {signature.substr(0, first), signature.substr(first + 1, second - first - 1),
            signature.substr(second + 1)};
}

} // namespace

bool constant_time_equal(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string base64url_encode(std::string_view data)
{
    std::string text;
    text.reserve((data.size() * 4 + 2) / 3);
    std::uint32_t bits = 0;
    unsigned count = 0;
    for (char c : data)
    {
        bits = (bits << 8U | static_cast<unsigned char>(c)) & 0xffffU;
        for (count += 8; count >= 6; count -= 6)
        {
            text.push_back(alphabet[bits >> (count - 6) & 63U]);
        }
    }
    if (count > 0)
    {
        text.push_back(alphabet[bits << (6 - count) & 63U]);
    }
    return text;
}

result<std::string> base64url_decode(std::string_view text)
{
    std::string data;
    data.reserve(text.size() * 3 / 4);
    std::uint32_t bits = 0;
    unsigned count = 0;
    for (char c : text)
    {
        const std::size_t value = alphabet.find(c);
        if (value == std::string_view::npos)
        {
            return make_error_code(errc::invalid_request);
        }
        bits = (bits << 6U | static_cast<std::uint32_t>(value)) & 0xffffU;
        count += 6;
        if (count >= 8)
        {
            count -= 8;
            data.push_back(static_cast<char>(bits >> count & 0xffU));
        }
    }
    // Six left-over bits are an incomplete byte; set ones are a second encoding of the same bytes.
    if (count >= 6 || (bits & ((1U << count) - 1U)) != 0)
    {
        return make_error_code(errc::invalid_request);
    }
    return data;
}

key_ring::key_ring(std::vector<std::string> keys) : keys_(std::move(keys))
{
    assert(!keys_.empty());
    for ([[maybe_unused]] const std::string& key : keys_)
    {
        assert(key.size() >= min_key_bytes);
    }
}

mac key_ring::sign(std::initializer_list<std::string_view> fields) const
{
    return compute(keys_.front(), join(fields));
}

bool key_ring::verify(std::initializer_list<std::string_view> fields, std::string_view tag) const
{
    if (tag.size() < 8 || tag.size() > mac{}.size())
    {
        return false;
    }
    const std::string message = join(fields);
    bool valid = false;
    for (const std::string& key : keys_)
    {
        const mac expected = compute(key, message);
        valid |= constant_time_equal(as_text(expected).substr(0, tag.size()), tag);
    }
    return valid;
}

std::string_view to_string(signature_fault fault)
{
    switch (fault)
    {
    case signature_fault::none:
        return "none";
    case signature_fault::malformed:
        return "malformed";
    case signature_fault::wrong_mac:
        return "wrong_mac";
    case signature_fault::wrong_time:
        return "wrong_time";
    case signature_fault::replayed:
        return "replayed";
    case signature_fault::cache_full:
        break;
    }
    return "cache_full";
}

std::error_code to_error(signature_fault fault)
{
    switch (fault)
    {
    case signature_fault::none:
        return make_error_code(errc::ok);
    case signature_fault::cache_full:
        return make_error_code(errc::overloaded);
    default:
        return make_error_code(errc::unauthorized);
    }
}

std::string request_signer::sign(const signed_request& request) const
{
    std::array<unsigned char, nonce_bytes> random{};
    if (RAND_bytes(random.data(), static_cast<int>(random.size())) != 1)
    {
        throw std::runtime_error("no random bytes for a nonce");
    }
    const std::string time = std::to_string(time_->wall_now().since_epoch);
    const std::string nonce =
        base64url_encode({reinterpret_cast<const char*>(random.data()), random.size()});
    const mac tag = keys_->sign({request_purpose, request.method, request.path, request.authority,
                                 request.from, time, nonce, request.body});
    return time + "." + nonce + "." + base64url_encode(as_text(tag));
}

request_verifier::request_verifier(std::shared_ptr<const key_ring> keys, const clock& time,
                                   std::size_t capacity)
    : keys_(std::move(keys)),
      time_(&time),
      capacity_(capacity)
{
    assert(capacity > 0);
}

signature_fault request_verifier::verify(const signed_request& request, std::string_view signature)
{
    const auto [time, nonce, tag] = split_signature(signature);
    time_point sent;
    const auto [end, ec] =
        std::from_chars(time.data(), time.data() + time.size(), sent.since_epoch);
    const result<std::string> raw_nonce = base64url_decode(nonce);
    const result<std::string> raw_tag = base64url_decode(tag);
    if (time.empty() || ec != std::errc{} || end != time.data() + time.size() || !raw_nonce ||
        raw_nonce->size() != nonce_bytes || !raw_tag || raw_tag->size() != mac{}.size())
    {
        return signature_fault::malformed;
    }
    if (!keys_->verify({request_purpose, request.method, request.path, request.authority,
                        request.from, time, nonce, request.body},
                       *raw_tag))
    {
        return signature_fault::wrong_mac;
    }
    const std::lock_guard lock(mutex_);
    const time_point now = time_->wall_now();
    const std::int64_t age = now.since_epoch - sent.since_epoch;
    if (age > time_window.count || age < -time_window.count)
    {
        return signature_fault::wrong_time;
    }
    while (!order_.empty() && order_.front().first.since_epoch < now.since_epoch)
    {
        seen_.erase(order_.front().second);
        order_.pop_front();
    }
    if (seen_.contains(*raw_nonce))
    {
        return signature_fault::replayed;
    }
    if (seen_.size() >= capacity_)
    {
        return signature_fault::cache_full;
    }
    // All entries are kept for the longest time that any of them needs, so that the order of
    // insertion is the order of expiry. A time from the future is valid for two windows.
    order_.emplace_back(now + time_window * 2, *raw_nonce);
    seen_.insert(*raw_nonce);
    return signature_fault::none;
}

std::string sign_text(const key_ring& keys, std::string_view purpose, std::string_view text)
{
    return base64url_encode(text) + "." +
           base64url_encode(as_text(keys.sign({"text", purpose, text})));
}

result<std::string> verify_text(const key_ring& keys, std::string_view purpose,
                                std::string_view token)
{
    const std::size_t dot = token.find('.');
    if (dot == std::string_view::npos)
    {
        return make_error_code(errc::unauthorized);
    }
    const result<std::string> text = base64url_decode(token.substr(0, dot));
    const result<std::string> tag = base64url_decode(token.substr(dot + 1));
    if (!text || !tag || tag->size() != mac{}.size() ||
        !keys.verify({"text", purpose, *text}, *tag))
    {
        return make_error_code(errc::unauthorized);
    }
    return *text;
}

} // namespace endivestage::daemon
