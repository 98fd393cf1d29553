/// \file
/// \brief Versions at which streams began.
#pragma once

#include <endivestage/core.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace endivestage
{

/// \brief Where a stream began, as hashes.
struct stream_origin
{
    std::uint64_t service = 0;
    std::uint64_t version = 0; ///< See version_key.

    bool operator==(const stream_origin&) const = default;
};

/// \brief A stream and where it began.
struct known_origin
{
    std::uint64_t stream = 0; ///< Hash of the id of the attempt that brought its first event.
    stream_origin origin;
};

/// \brief Limits of \ref stream_origins.
struct stream_origins_config
{
    /// Above this number the oldest streams are forgotten, and count as unknown.
    std::size_t max_streams = 65536;
};

/// \brief Remembers for a while where streams began.
///
/// Not thread-safe. The times passed in must not decrease.
class stream_origins
{
public:
    explicit stream_origins(stream_origins_config config = {}) : config_(config) {}

    /// \brief Sets for how long a stream is remembered after it was recorded last.
    void set_lifetime(millis lifetime) { lifetime_ = lifetime; }

    /// \brief Records where a stream began. Statements that differ make it unknown for good.
    /// \param own Whether this router has it from an endpoint, and not from another router.
    void record(std::uint64_t stream, const stream_origin& origin, time_point now, bool own);

    /// \returns Where the stream began; nothing if that is not known.
    std::optional<stream_origin> find(std::uint64_t stream, time_point now) const;

    /// \returns The streams of a service that this router has from endpoints.
    std::vector<known_origin> own_streams(std::uint64_t service, time_point now) const;

    std::size_t size() const { return streams_.size(); }

private:
    struct entry
    {
        stream_origin origin;
        time_point recorded_at;
        bool own = false;
        bool contradictory = false;
    };

    /// \brief A recording; of several for one stream only the latest counts.
    struct recording
    {
        std::uint64_t stream = 0;
        time_point at;
    };

    bool is_current(const entry& known, time_point now) const
    {
        return now - known.recorded_at < lifetime_;
    }
    void expire(time_point now);
    void forget_oldest();

    stream_origins_config config_;
    millis lifetime_{30000};
    std::unordered_map<std::uint64_t, entry> streams_;
    std::deque<recording> recordings_; ///< In order of time.
};

} // namespace endivestage
