#include <endivestage/routing/load_board.hpp>

namespace endivestage
{

void load_board::post(const load_sighting& seen)
{
    entries_[seen.engine] = {seen.requests, ++sequence_};
}

std::vector<load_sighting> load_board::since(std::uint64_t since) const
{
    std::vector<load_sighting> loads;
    // A reader that asked another relay before has a number that means nothing here.
    const std::uint64_t after = since > sequence_ ? 0 : since;
    for (const std::pair<const std::uint64_t, entry>& known : entries_)
    {
        if (known.second.number > after)
        {
            loads.push_back({known.first, known.second.requests});
        }
    }
    return loads;
}

} // namespace endivestage
