#include <endivestage/replication.hpp>

#include <catch2/catch.hpp>

using namespace endivestage;

namespace
{

replicated_row make_row(const std::string& key, std::uint64_t revision)
{
    return {key, "data-" + std::to_string(revision), revision, false};
}

/// Counts the batches that it encodes.
class mock_encoder final : public change_encoder
{
public:
    encoded_fragment encode(const change_batch& batch, bool settling) override
    {
        ++calls;
        encoded_fragment encoded;
        encoded.text = std::to_string(batch.revision) + (batch.complete ? " all" : "") +
                       (settling ? " settling" : "");
        for (const replicated_row& row : batch.rows)
        {
            encoded.text += " " + row.key + "=" + row.data;
        }
        return encoded;
    }

    int calls = 0;
};

constexpr int followers = 70;

} // namespace

// Guards against a relay that encodes a large configuration once for each of its followers and
// serves no requests meanwhile.
TEST_CASE("followers at the same revision share one encoding")
{
    table_replica relay;
    relay.apply({{make_row("config", 3)}, 5, true});
    relay.apply({{make_row("config", 6)}, 6, false});
    mock_encoder encoder;
    encoded_change_cache cache(encoder);
    for (int n = 0; n < followers; ++n)
    {
        REQUIRE(cache.changes_since(relay, 5, false)->text == "6 config=data-6");
    }
    REQUIRE(encoder.calls == 1);
    // Followers behind the history have different revisions and get the same rows.
    for (std::uint64_t revision = 0; revision < 5; ++revision)
    {
        REQUIRE(cache.changes_since(relay, revision, false)->text == "6 all config=data-6");
    }
    REQUIRE(encoder.calls == 2);
}

// Guards against followers that get rows of an older state from the cache.
TEST_CASE("changes are encoded again when the table changes")
{
    table_replica relay;
    relay.apply({{make_row("config", 3)}, 5, true});
    mock_encoder encoder;
    encoded_change_cache cache(encoder);
    relay.apply({{make_row("config", 6)}, 6, false});
    REQUIRE(cache.changes_since(relay, 5, false)->text == "6 config=data-6");
    REQUIRE(cache.changes_since(relay, 5, true)->text == "6 settling config=data-6");
    relay.apply({{make_row("config", 7)}, 7, false});
    REQUIRE(cache.changes_since(relay, 5, false)->text == "7 config=data-7");
    // The pages of a list may have rows that are newer than the revision of the list.
    relay.apply({{make_row("config", 8)}, 7, true});
    REQUIRE(cache.changes_since(relay, 5, false)->text == "7 config=data-8");
    relay.apply({{}, 9, false});
    REQUIRE(cache.changes_since(relay, 5, false)->text == "9 config=data-8");
    REQUIRE(encoder.calls == 5);
}

// Guards against memory that grows with the revisions at which followers ask.
TEST_CASE("the cache keeps a bounded number of encodings")
{
    table_replica relay;
    relay.apply({{}, 1, true});
    for (std::uint64_t revision = 2; revision <= 40; ++revision)
    {
        relay.apply({{make_row("row-" + std::to_string(revision), revision)}, revision, false});
    }
    mock_encoder encoder;
    encoded_change_cache cache(encoder, 3);
    const std::shared_ptr<const encoded_fragment> first = cache.changes_since(relay, 39, false);
    for (std::uint64_t revision = 1; revision <= 38; ++revision)
    {
        cache.changes_since(relay, revision, false);
        REQUIRE(cache.size() <= 3);
    }
    REQUIRE(first->text == "40 row-40=data-40");
    relay.apply({{make_row("row-41", 41)}, 41, false});
    cache.changes_since(relay, 40, false);
    REQUIRE(cache.size() == 1);
}
