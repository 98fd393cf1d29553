#include <endivestage/daemon/json_access.hpp>
#include <endivestage/serving/change_encoding.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>
#include <zlib.h>

using namespace endivestage;
using namespace endivestage::serving;

namespace
{

std::shared_ptr<const encoded_fragment> share(encoded_fragment fragment)
{
    return std::make_shared<const encoded_fragment>(std::move(fragment));
}

std::string make_text(std::size_t size)
{
    std::string text;
    while (text.size() < size)
    {
        text += "{\"route\":" + std::to_string(text.size() * text.size()) + "},";
    }
    text.resize(size);
    return text;
}

} // namespace

// Property: a body of fragments is one zlib stream of the concatenated texts. Guards against
// routers of another landing that cannot read the answers of a relay.
TEST_CASE("fragments form one zlib stream")
{
    rc::check("the stream has the concatenated texts",
              []
              {
                  std::string text;
                  std::vector<std::shared_ptr<const encoded_fragment>> fragments;
                  const int count = *rc::gen::inRange(1, 7);
                  for (int n = 0; n < count; ++n)
                  {
                      const std::size_t size = *rc::gen::element<std::size_t>(
                          0, 1, 7, 500, 1199, 1200, 5000, 70000, 300000);
                      const std::string part = make_text(size);
                      text += part;
                      fragments.push_back(share(encode_fragment(part)));
                  }
                  daemon::http_response response;
                  set_body(response, fragments);
                  const bool compressed =
                      daemon::find_field(response.fields, "Content-Encoding") == "deflate";
                  RC_ASSERT(compressed == (text.size() >= 1200));
                  std::string received = response.body;
                  if (compressed)
                  {
                      uLongf size = text.size();
                      received.assign(size, '\0');
                      RC_ASSERT(uncompress(reinterpret_cast<Bytef*>(received.data()), &size,
                                           reinterpret_cast<const Bytef*>(response.body.data()),
                                           response.body.size()) == Z_OK);
                      RC_ASSERT(size == text.size());
                  }
                  RC_ASSERT(received == text);
                  const result<std::string> body = decompress_body(response, response.body);
                  RC_ASSERT(body.has_value());
                  RC_ASSERT(*body == text);
              });
    SUCCEED();
}

// Guards against texts that could not be compressed and do not fit into one uncompressed block.
TEST_CASE("a large fragment may be uncompressed")
{
    const std::string text = make_text(200000);
    encoded_fragment fragment = encode_fragment(text);
    fragment.compressed.clear();
    fragment.text = text;
    const std::vector<std::shared_ptr<const encoded_fragment>> fragments{share(fragment)};
    daemon::http_response response;
    set_body(response, fragments);
    const result<std::string> body = decompress_body(response, response.body);
    REQUIRE(body.has_value());
    REQUIRE(*body == text);
}

// Guards against a relay that keeps the uncompressed text of every encoded configuration.
TEST_CASE("a large fragment is kept in compressed form only")
{
    const encoded_fragment fragment = encode_fragment(make_text(300000));
    REQUIRE(fragment.text.empty());
    REQUIRE(fragment.compressed.size() < 150000);
}

// Guards against rows that change on the way from a relay to a follower.
TEST_CASE("a follower decodes the rows that its relay encoded")
{
    change_batch batch;
    batch.rows = {{"config", "{\"version\":7,\"text\":\"\\u00e4 \\\" \\\\\"}", 12, false},
                  {"evacuate/z", {}, 13, true},
                  {"big", make_text(100000), 14, false}};
    batch.revision = 15;
    batch.complete = true;
    json_change_encoder encoder(shared_table::operations);
    const std::vector<std::shared_ptr<const encoded_fragment>> fragments{
        share(encoder.encode(batch, true))};
    daemon::http_response response;
    set_body(response, fragments);
    const result<std::string> body = decompress_body(response, response.body);
    REQUIRE(body.has_value());
    const result<boost::json::object> encoded = daemon::parse_json_object(*body);
    REQUIRE(encoded.has_value());
    REQUIRE(daemon::get_text(*encoded, "table") == "operations");
    REQUIRE(daemon::get_flag(*encoded, "settling"));
    const change_batch decoded = decode_batch(*encoded);
    REQUIRE(decoded.rows == batch.rows);
    REQUIRE(decoded.revision == batch.revision);
    REQUIRE(decoded.complete);
}
