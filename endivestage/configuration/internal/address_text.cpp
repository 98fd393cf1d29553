#include <endivestage/configuration/internal/address_text.hpp>

#include <arpa/inet.h>
#include <array>

namespace endivestage::internal
{

std::string canonical_address(std::string_view text)
{
    const std::string null_terminated(text);
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    std::array<char, INET6_ADDRSTRLEN> canonical{};
    for (const int family : {AF_INET, AF_INET6})
    {
        if (inet_pton(family, null_terminated.c_str(), bytes.data()) == 1)
        {
            return inet_ntop(family, bytes.data(), canonical.data(), canonical.size());
        }
    }
    return {};
}

} // namespace endivestage::internal
