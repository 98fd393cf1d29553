#include <endivestage/serving/sum_datagram.hpp>

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <limits>

namespace endivestage::serving
{

namespace
{

/// After the kind follow the hash of the sender's id and the sums.
constexpr std::size_t header_bytes = 9;
constexpr std::size_t sum_bytes = 10;
/// A report replaces the previous one, so it must fit into one datagram. The 32 followers of a
/// relay use fewer engines than this at a time; further sums are not sent.
constexpr std::size_t max_sums = 1000;

unsigned char* bytes_at(std::string& datagram, std::size_t position)
{
    return reinterpret_cast<unsigned char*>(datagram.data()) + position;
}

const unsigned char* bytes_at(std::string_view datagram, std::size_t position)
{
    return reinterpret_cast<const unsigned char*>(datagram.data()) + position;
}

} // namespace

std::string encode_sums(sum_kind kind, std::uint64_t sender, std::span<const engine_requests> sums)
{
    const std::span<const engine_requests> sent = sums.first(std::min(sums.size(), max_sums));
    std::string datagram(header_bytes + sent.size() * sum_bytes, static_cast<char>(kind));
    boost::endian::store_little_u64(bytes_at(datagram, 1), sender);
    std::size_t position = header_bytes;
    for (const engine_requests& sum : sent)
    {
        boost::endian::store_little_u64(bytes_at(datagram, position), sum.engine);
        const std::uint32_t max_requests = std::numeric_limits<std::uint16_t>::max();
        boost::endian::store_little_u16(
            bytes_at(datagram, position + 8),
            static_cast<std::uint16_t>(std::min(sum.requests, max_requests)));
        position += sum_bytes;
    }
    return datagram;
}

std::optional<group_sums> decode_sums(std::string_view datagram)
{
    const bool known =
        !datagram.empty() && (datagram.front() == static_cast<char>(sum_kind::loads) ||
                              datagram.front() == static_cast<char>(sum_kind::failures));
    if (!known || datagram.size() < header_bytes)
    {
        return std::nullopt;
    }
    group_sums decoded;
    decoded.kind = static_cast<sum_kind>(datagram.front());
    decoded.sender = boost::endian::load_little_u64(bytes_at(datagram, 1));
    for (std::size_t n = header_bytes; n + sum_bytes <= datagram.size(); n += sum_bytes)
    {
        decoded.sums.push_back({boost::endian::load_little_u64(bytes_at(datagram, n)),
                                boost::endian::load_little_u16(bytes_at(datagram, n + 8))});
    }
    return decoded;
}

} // namespace endivestage::serving
