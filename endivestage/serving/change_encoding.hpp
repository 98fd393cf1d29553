/// \file
/// \brief Encoding of table changes between routers: JSON, compressed as one zlib stream.
#pragma once

#include <endivestage/daemon/http_types.hpp>
#include <endivestage/replication.hpp>
#include <endivestage/serving/table_client.hpp>

#include <boost/json.hpp>
#include <memory>
#include <span>
#include <string>

namespace endivestage::serving
{

/// \brief Encodes changes as an element of the "tables" array of a response.
class json_change_encoder final : public change_encoder
{
public:
    explicit json_change_encoder(shared_table table) : table_(table) {}

    encoded_fragment encode(const change_batch& batch, bool settling) override;

private:
    shared_table table_;
};

/// \brief Compresses a text unless it is small.
encoded_fragment encode_fragment(std::string text);

/// \brief Sets the body to the concatenated fragments, compressed as one zlib stream unless the
/// body is small. The compressed fragments are copied, not compressed again.
void set_body(daemon::http_response& response,
              std::span<const std::shared_ptr<const encoded_fragment>> fragments);

/// \param head Response head as received.
/// \returns The uncompressed body; errc::too_large or errc::invalid_request.
result<std::string> decompress_body(const daemon::http_response& head, std::string body);

/// \returns The rows of an element of the "tables" array.
change_batch decode_batch(const boost::json::object& encoded);

} // namespace endivestage::serving
