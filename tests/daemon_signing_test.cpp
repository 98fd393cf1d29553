#include <catch2/catch.hpp>
#include <endivestage/daemon/signing.hpp>
#include <rapidcheck/catch.h>

#include <memory>
#include <string>
#include <vector>

using namespace endivestage;
using namespace endivestage::daemon;

namespace
{

const std::string old_key = "first-key-of-the-test-0123456789";
const std::string new_key = "other-key-of-the-test-0123456789";

struct stepped_clock final : clock
{
    time_point now() const override { return wall; }
    time_point wall_now() const override { return wall; }
    time_point wall{1'800'000'000'000};
};

std::shared_ptr<const key_ring> ring(std::vector<std::string> keys)
{
    return std::make_shared<const key_ring>(std::move(keys));
}

const signed_request request{"POST", "/permit/acquire", "127.0.0.1:7000", "r1", "body"};

} // namespace

// Guards against a part of the request that an attacker can change without notice.
TEST_CASE("a signature covers every part of the request")
{
    stepped_clock time;
    const std::string signature = request_signer(ring({old_key}), time).sign(request);
    request_verifier verifier(ring({old_key}), time);
    for (std::string_view signed_request::*part :
         {&signed_request::method, &signed_request::path, &signed_request::authority,
          &signed_request::from, &signed_request::body})
    {
        signed_request changed = request;
        changed.*part = "x";
        CHECK(verifier.verify(changed, signature) == signature_fault::wrong_mac);
    }
    std::string later = signature;
    ++later[12];
    CHECK(verifier.verify(request, later) == signature_fault::wrong_mac);
    // Two fields against one that spells both of them.
    const key_ring keys({old_key});
    const mac tag = keys.sign({"a", "b"});
    CHECK_FALSE(keys.verify({std::string_view("a\0\0\0\0\0\0\0\0b", 10)},
                            {reinterpret_cast<const char*>(tag.data()), tag.size()}));
    CHECK(verifier.verify(request, signature) == signature_fault::none);
}

// Guards against requests recorded on the network and sent again.
TEST_CASE("old, future and replayed requests are refused")
{
    stepped_clock time;
    const request_signer signer(ring({old_key}), time);
    request_verifier verifier(ring({old_key}), time);
    const time_point start = time.wall;
    const std::string signature = signer.sign(request);
    time.wall = start + millis{30001};
    CHECK(verifier.verify(request, signature) == signature_fault::wrong_time);
    time.wall = start - millis{30001};
    CHECK(verifier.verify(request, signature) == signature_fault::wrong_time);
    // Accepted as early as possible, it must still be known at the last instant of its window.
    time.wall = start - millis{30000};
    CHECK(verifier.verify(request, signature) == signature_fault::none);
    time.wall = start + millis{30000};
    CHECK(verifier.verify(request, signature) == signature_fault::replayed);
    CHECK(to_error(signature_fault::replayed) == errc::unauthorized);
}

// Guards against unbounded memory, and against forgetting a nonce that can still be replayed.
TEST_CASE("a full nonce cache refuses until entries expire")
{
    stepped_clock time;
    const request_signer signer(ring({old_key}), time);
    request_verifier verifier(ring({old_key}), time, 2);
    REQUIRE(verifier.verify(request, signer.sign(request)) == signature_fault::none);
    REQUIRE(verifier.verify(request, signer.sign(request)) == signature_fault::none);
    CHECK(verifier.verify(request, signer.sign(request)) == signature_fault::cache_full);
    time.wall = time.wall + millis{60001};
    CHECK(verifier.verify(request, signer.sign(request)) == signature_fault::none);
}

// Guards against a key rotation that locks routers out, and against a removed key that still works.
TEST_CASE("all keys verify and the first signs")
{
    stepped_clock time;
    request_verifier both(ring({new_key, old_key}), time);
    request_verifier only_new(ring({new_key}), time);
    const std::string with_old = request_signer(ring({old_key, new_key}), time).sign(request);
    CHECK(both.verify(request, with_old) == signature_fault::none);
    CHECK(only_new.verify(request, with_old) == signature_fault::wrong_mac);
}

// Guards against crashes on, or acceptance of, arbitrary signatures and tokens.
TEST_CASE("arbitrary text is no signature and no token")
{
    stepped_clock time;
    request_verifier verifier(ring({old_key}), time);
    const key_ring keys({old_key});
    rc::prop("every text is refused",
             [&](const std::string& text)
             {
                 RC_ASSERT(verifier.verify(request, text) != signature_fault::none);
                 RC_ASSERT(!verify_text(keys, "resume", text));
                 RC_ASSERT(base64url_decode(base64url_encode(text)).value() == text);
             });
}

// Guards against forged resume tokens and tokens used for another purpose.
TEST_CASE("a token gives its text back only unchanged and for its purpose")
{
    const key_ring keys({old_key});
    const std::string token = sign_text(keys, "resume", "request-1");
    CHECK(verify_text(key_ring({new_key, old_key}), "resume", token).value() == "request-1");
    CHECK(verify_text(keys, "other", token).error() == errc::unauthorized);
    for (std::size_t n = 0; n < token.size(); ++n)
    {
        std::string changed = token;
        changed[n] = changed[n] == 'A' ? 'B' : 'A';
        CHECK_FALSE(verify_text(keys, "resume", changed));
    }
    CHECK(constant_time_equal("token", "token"));
    CHECK_FALSE(constant_time_equal("token", "tokem"));
    CHECK_FALSE(constant_time_equal("token", "toke"));
}
