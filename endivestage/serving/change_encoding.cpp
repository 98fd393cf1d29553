#include <endivestage/serving/change_encoding.hpp>

#include <endivestage/daemon/json_access.hpp>

#include <algorithm>
#include <charconv>
#include <utility>
#include <zlib.h>

namespace endivestage::serving
{

namespace json = boost::json;
using daemon::http_response;

namespace
{

/// Smaller responses fit into one packet without compression.
constexpr std::size_t min_compressed_bytes = 1200;
constexpr const char* uncompressed_size_field = "Unpacked-Size";
constexpr std::size_t max_uncompressed_bytes = 16UL * 1024 * 1024;
/// Negative window bits select deflate blocks without a zlib header and checksum.
constexpr int raw_window_bits = -MAX_WBITS;
constexpr int default_memory_level = 8;
/// Header of a zlib stream with the largest window and the fastest compression.
constexpr std::string_view zlib_header{"\x78\x01", 2};
/// A final deflate block without content.
constexpr std::string_view last_block{"\x03\x00", 2};
/// The length of a block without compression has 16 bits.
constexpr std::size_t max_stored_block_bytes = 0xffff;

/// \returns Whole deflate blocks of which none is the last of the stream and none refers to data
/// before the text; empty on failure.
std::string deflate_blocks(std::string_view text)
{
    z_stream stream{};
    if (deflateInit2(&stream, Z_BEST_SPEED, Z_DEFLATED, raw_window_bits, default_memory_level,
                     Z_DEFAULT_STRATEGY) != Z_OK)
    {
        return {};
    }
    // The marker of the flush has five bytes and may follow a partly filled byte.
    constexpr std::size_t flush_marker_bytes = 6;
    std::string blocks(deflateBound(&stream, text.size()) + flush_marker_bytes, '\0');
    stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
    stream.avail_in = static_cast<uInt>(text.size());
    stream.next_out = reinterpret_cast<Bytef*>(blocks.data());
    stream.avail_out = static_cast<uInt>(blocks.size());
    const int outcome = deflate(&stream, Z_SYNC_FLUSH);
    const bool finished = outcome == Z_OK && stream.avail_in == 0 && stream.avail_out > 0;
    blocks.resize(finished ? blocks.size() - stream.avail_out : 0);
    deflateEnd(&stream);
    return blocks;
}

/// \brief Appends deflate blocks that hold the text as it is.
void append_stored_blocks(std::string& stream, std::string_view text)
{
    while (!text.empty())
    {
        const std::string_view block = text.substr(0, max_stored_block_bytes);
        const std::size_t size = block.size();
        stream.push_back('\0'); // Type of the block, not the last one.
        for (const std::size_t value : {size, ~size})
        {
            stream.push_back(static_cast<char>(value & 0xffU));
            stream.push_back(static_cast<char>((value >> 8U) & 0xffU));
        }
        stream.append(block);
        text.remove_prefix(size);
    }
}

} // namespace

encoded_fragment json_change_encoder::encode(const change_batch& batch, bool settling)
{
    json::array rows;
    for (const replicated_row& row : batch.rows)
    {
        json::object entry;
        entry["key"] = row.key;
        entry["revision"] = row.revision;
        if (row.deleted)
        {
            entry["deleted"] = true;
        }
        else
        {
            entry["data"] = row.data;
        }
        rows.push_back(std::move(entry));
    }
    json::object encoded;
    encoded["table"] = to_string(table_);
    encoded["revision"] = batch.revision;
    encoded["complete"] = batch.complete;
    if (batch.era != 0)
    {
        encoded["era"] = batch.era;
    }
    encoded["settling"] = settling;
    encoded["rows"] = std::move(rows);
    return encode_fragment(json::serialize(encoded));
}

encoded_fragment encode_fragment(std::string text)
{
    encoded_fragment fragment;
    fragment.text_bytes = text.size();
    fragment.checksum = static_cast<std::uint32_t>(
        adler32(adler32(0, nullptr, 0), reinterpret_cast<const Bytef*>(text.data()),
                static_cast<uInt>(text.size())));
    if (text.size() >= min_compressed_bytes)
    {
        fragment.compressed = deflate_blocks(text);
    }
    if (fragment.compressed.empty())
    {
        fragment.text = std::move(text);
    }
    return fragment;
}

void set_body(http_response& response,
              std::span<const std::shared_ptr<const encoded_fragment>> fragments)
{
    std::size_t text_bytes = 0;
    std::size_t fragment_bytes = 0;
    for (const std::shared_ptr<const encoded_fragment>& fragment : fragments)
    {
        text_bytes += fragment->text_bytes;
        fragment_bytes += fragment->compressed.size() + fragment->text.size();
    }
    response.body.clear();
    if (text_bytes < min_compressed_bytes)
    {
        for (const std::shared_ptr<const encoded_fragment>& fragment : fragments)
        {
            response.body += fragment->text;
        }
        return;
    }
    constexpr std::size_t frame_bytes = 16;
    response.body.reserve(fragment_bytes + (fragments.size() + 1) * frame_bytes);
    response.body.append(zlib_header);
    uLong checksum = adler32(0, nullptr, 0);
    for (const std::shared_ptr<const encoded_fragment>& fragment : fragments)
    {
        if (!fragment->compressed.empty())
        {
            response.body += fragment->compressed;
        }
        else
        {
            append_stored_blocks(response.body, fragment->text);
        }
        checksum = adler32_combine(checksum, fragment->checksum,
                                   static_cast<z_off_t>(fragment->text_bytes));
    }
    response.body.append(last_block);
    for (const unsigned shift : {24U, 16U, 8U, 0U})
    {
        response.body.push_back(static_cast<char>((checksum >> shift) & 0xffU));
    }
    response.fields.emplace_back("Content-Encoding", "deflate");
    response.fields.emplace_back(uncompressed_size_field, std::to_string(text_bytes));
}

result<std::string> decompress_body(const http_response& head, std::string body)
{
    if (daemon::find_field(head.fields, "Content-Encoding") != "deflate")
    {
        return body;
    }
    const std::string_view field = daemon::find_field(head.fields, uncompressed_size_field);
    std::uint64_t text_bytes = 0;
    std::from_chars(field.data(), field.data() + field.size(), text_bytes);
    if (text_bytes > max_uncompressed_bytes)
    {
        return make_error_code(errc::too_large);
    }
    uLongf size = text_bytes;
    std::string text(size, '\0');
    const int outcome = uncompress(reinterpret_cast<Bytef*>(text.data()), &size,
                                   reinterpret_cast<const Bytef*>(body.data()), body.size());
    if (outcome != Z_OK || size != text.size())
    {
        return make_error_code(errc::invalid_request);
    }
    return text;
}

change_batch decode_batch(const json::object& encoded)
{
    change_batch batch;
    batch.revision = daemon::get_unsigned(encoded, "revision");
    batch.complete = daemon::get_flag(encoded, "complete");
    batch.era = daemon::get_unsigned(encoded, "era");
    for (const json::value& entry : daemon::get_array(encoded, "rows"))
    {
        if (!entry.is_object())
        {
            continue;
        }
        replicated_row row;
        row.key = daemon::get_text(entry.get_object(), "key");
        row.data = daemon::get_text(entry.get_object(), "data");
        row.revision = daemon::get_unsigned(entry.get_object(), "revision");
        row.deleted = daemon::get_flag(entry.get_object(), "deleted");
        batch.rows.push_back(std::move(row));
    }
    return batch;
}

} // namespace endivestage::serving
