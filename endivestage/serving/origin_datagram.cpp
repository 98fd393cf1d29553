#include <endivestage/serving/origin_datagram.hpp>

#include <endivestage/serving/peer_service.hpp>

#include <boost/endian/conversion.hpp>
#include <cassert>

namespace endivestage::serving
{

namespace
{

/// The tag of such datagrams and the type.
constexpr std::size_t header_bytes = 2;
constexpr std::size_t stream_bytes = 8;
constexpr std::size_t origin_bytes = 24;

unsigned char* bytes_at(std::string& datagram, std::size_t position)
{
    return reinterpret_cast<unsigned char*>(datagram.data()) + position;
}

std::uint64_t load(std::string_view datagram, std::size_t position)
{
    return boost::endian::load_little_u64(reinterpret_cast<const unsigned char*>(datagram.data()) +
                                          position);
}

std::string make_datagram(origin_message::type kind, std::size_t content_bytes)
{
    std::string datagram(header_bytes + content_bytes, '\0');
    datagram[0] = peer_service::origin_tag;
    datagram[1] = static_cast<char>(kind);
    return datagram;
}

std::string encode_stream(origin_message::type kind, std::uint64_t stream)
{
    std::string datagram = make_datagram(kind, stream_bytes);
    boost::endian::store_little_u64(bytes_at(datagram, header_bytes), stream);
    return datagram;
}

} // namespace

std::string encode_origin_question(std::uint64_t stream)
{
    return encode_stream(origin_message::type::question, stream);
}

std::string encode_unknown_origin(std::uint64_t stream)
{
    return encode_stream(origin_message::type::unknown, stream);
}

std::string encode_origins(std::span<const known_origin> origins)
{
    assert(origins.size() <= max_origins_per_datagram);
    std::string datagram =
        make_datagram(origin_message::type::known, origins.size() * origin_bytes);
    std::size_t position = header_bytes;
    for (const known_origin& known : origins)
    {
        boost::endian::store_little_u64(bytes_at(datagram, position), known.stream);
        boost::endian::store_little_u64(bytes_at(datagram, position + 8), known.origin.service);
        boost::endian::store_little_u64(bytes_at(datagram, position + 16), known.origin.version);
        position += origin_bytes;
    }
    return datagram;
}

std::optional<origin_message> decode_origin_message(std::string_view datagram)
{
    if (datagram.size() < header_bytes || datagram[0] != peer_service::origin_tag)
    {
        return std::nullopt;
    }
    const std::size_t content_bytes = datagram.size() - header_bytes;
    origin_message message;
    message.kind = static_cast<origin_message::type>(datagram[1]);
    switch (message.kind)
    {
    case origin_message::type::question:
    case origin_message::type::unknown:
        if (content_bytes != stream_bytes)
        {
            return std::nullopt;
        }
        message.stream = load(datagram, header_bytes);
        return message;
    case origin_message::type::known:
        break;
    default:
        return std::nullopt;
    }
    if (content_bytes % origin_bytes != 0 ||
        content_bytes / origin_bytes > max_origins_per_datagram)
    {
        return std::nullopt;
    }
    for (std::size_t n = header_bytes; n < datagram.size(); n += origin_bytes)
    {
        message.origins.push_back(
            {load(datagram, n), {load(datagram, n + 8), load(datagram, n + 16)}});
    }
    return message;
}

} // namespace endivestage::serving
