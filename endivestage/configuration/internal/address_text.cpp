#include <endivestage/configuration/internal/address_text.hpp>

#include <arpa/inet.h>
#include <array>

namespace endivestage::internal
{

std::string canonical_address(std::string_view text)
{
    const std::string terminated(text);
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    std::array<char, INET6_ADDRSTRLEN> printed{};
    for (const int family : {AF_INET, AF_INET6})
    {
        if (inet_pton(family, terminated.c_str(), bytes.data()) == 1)
        {
            return inet_ntop(family, bytes.data(), printed.data(), printed.size());
        }
    }
    return {};
}

} // namespace endivestage::internal
