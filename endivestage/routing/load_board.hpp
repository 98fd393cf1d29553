/// \file
/// \brief Loads of engines as the routers of a fleet saw them last.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace endivestage
{

/// \brief An engine said how many requests it holds.
struct load_sighting
{
    std::uint64_t engine = 0;   ///< Hash of the engine's id.
    std::uint32_t requests = 0; ///< Running and waiting, from all routers.

    bool operator==(const load_sighting&) const = default;
};

/// \brief The latest load of each engine, numbered so that readers ask for what is new.
///
/// In a large fleet a router hears from one engine every ten seconds or so, too seldom to tell
/// which are busy. Routers give what they heard to a relay and take what others heard.
class load_board
{
public:
    void post(const load_sighting& seen);

    /// \returns Loads posted after number \p since, one for each engine.
    std::vector<load_sighting> since(std::uint64_t since) const;

    /// \returns The number of the latest post.
    std::uint64_t sequence() const { return sequence_; }

    /// \brief The engine is gone.
    void forget(std::uint64_t engine) { entries_.erase(engine); }

private:
    struct entry
    {
        std::uint32_t requests = 0;
        std::uint64_t number = 0;
    };

    std::uint64_t sequence_ = 0;
    std::map<std::uint64_t, entry> entries_;
};

} // namespace endivestage
