#include <catch2/catch.hpp>
#include <endivestage/core/text.hpp>
#include <endivestage/ledger.hpp>
#include <endivestage/stream.hpp>
#include <endivestage/timeline.hpp>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

using namespace endivestage;

namespace
{

/// Accepts every signature, so that mutated content reaches the parser after the signature check.
class accepting_signer final : public token_signer
{
public:
    std::string sign(std::string_view /*text*/) const override { return "s"; }
    bool verify(std::string_view /*text*/, std::string_view /*signature*/) const override
    {
        return true;
    }
};

std::string mutate(std::string text, random_source& random)
{
    for (std::uint64_t n = random.below(4) + 1; n > 0; --n)
    {
        const std::size_t at = random.below(text.size() + 1);
        const char byte = static_cast<char>(random.below(256));
        switch (random.below(4))
        {
        case 0:
            text.insert(at, 1, byte);
            break;
        case 1:
            text.erase(at, random.below(8));
            break;
        case 2:
            text.insert(at, text.substr(random.below(text.size() + 1), random.below(16)));
            break;
        default:
            text.resize(at);
            text += byte;
            break;
        }
    }
    return text;
}

/// Calls a parser with random bytes and with mutations of valid texts.
/// \param parse Returns the error of the parser, or no error.
void fuzz(const char* name, const std::vector<std::string>& valid,
          const std::function<std::error_code(std::string_view)>& parse)
{
    const char* given = std::getenv("ENDIVESTAGE_RUNS");
    const std::uint64_t runs = given == nullptr ? 100000 : std::strtoull(given, nullptr, 10);
    seeded_random random(20261204);
    std::uint64_t accepted = 0;
    for (std::uint64_t n = 0; n < runs; ++n)
    {
        std::string text = valid[n % valid.size()];
        if (n % 4 == 0)
        {
            text.resize(random.below(64));
            for (char& c : text)
            {
                c = static_cast<char>(random.next());
            }
        }
        const std::string input = mutate(text, random);
        std::error_code ec;
        REQUIRE_NOTHROW(ec = parse(input));
        if (ec && ec.category() != endivestage_category())
        {
            FAIL("untyped error " << ec.message() << " of input " << to_hex(input));
        }
        accepted += ec ? 0 : 1;
    }
    std::cout << "fuzz: " << name << ": " << runs << " inputs, " << accepted << " accepted\n";
}

template <class T>
std::error_code error_of(const result<T>& parsed)
{
    return parsed ? std::error_code() : parsed.error();
}

} // namespace

// Guards against external input that crashes a router or fails without a typed error. An accepted
// ledger row must also stay equal when it is encoded and decoded again.
TEST_CASE("parsers return a value or a typed error for any input")
{
    const ledger_row completed_row{
        ledger_state::done, attempt_id("a"), router_id("r"), "d", {5}, {4}, {200, "body"}};
    ledger_row binary = completed_row;
    binary.answer.body = "\xff";
    fuzz("ledger row", {encode_row(completed_row), encode_row(binary)},
         [](std::string_view text)
         {
             const result<ledger_row> row = decode_row(text);
             if (row && *decode_row(encode_row(*row)) != *row)
             {
                 FAIL("changed by encoding: " << text);
             }
             return error_of(row);
         });
    const accepting_signer signer;
    const std::string token =
        encode_token({request_id("q"), pool_id("p"), endpoint_id("e"), {}, {}, {7}}, signer);
    fuzz("resume token", {token},
         [&](std::string_view text) { return error_of(decode_token(text, signer)); });
    const std::string content = *from_hex(token.substr(0, token.find('.')));
    fuzz("resume token content", {content},
         [&](std::string_view text)
         { return error_of(decode_token(to_hex(text) + ".00", signer)); });
    fuzz("idempotency key", {"1780000000000-a", "019e70c5-3c00-7000-8000-000000000000"},
         [](std::string_view text) { return error_of(key_creation_time(text)); });
    timeline_event event{{1, 2}, router_id("r"), zone_id("z"), event_kind::zone_changed, {}, {},
                         {}};
    event.fields = {{"k", "v"}};
    fuzz("timeline event", {render_json(event)},
         [](std::string_view text) { return error_of(parse_json_event(text)); });
}
