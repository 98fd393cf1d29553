#include <endivestage/daemon/digest.hpp>

#include <array>
#include <openssl/sha.h>

namespace endivestage::daemon
{

std::string sha256_hex(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : digest)
    {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

} // namespace endivestage::daemon
