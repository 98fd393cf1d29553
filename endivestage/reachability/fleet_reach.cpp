#include <endivestage/reachability/fleet_reach.hpp>

#include <charconv>

namespace endivestage
{

namespace
{

constexpr std::string_view cut_off_text = "cut_off";
constexpr std::string_view reached_text = "reached";

} // namespace

std::string encode_reach(const reach_statement& statement)
{
    return std::to_string(statement.incarnation) + " " +
           std::string(statement.cut_off ? cut_off_text : reached_text);
}

std::optional<reach_statement> decode_reach(std::string_view text)
{
    reach_statement statement;
    const std::from_chars_result parsed =
        std::from_chars(text.data(), text.data() + text.size(), statement.incarnation);
    if (parsed.ec != std::errc{} || parsed.ptr == text.data() + text.size() || *parsed.ptr != ' ')
    {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()) + 1);
    if (text != cut_off_text && text != reached_text)
    {
        return std::nullopt;
    }
    statement.cut_off = text == cut_off_text;
    return statement;
}

bool fleet_reach::record(const router_id& router, const reach_statement& statement, time_point now)
{
    const bool was_cut_off = is_cut_off(router, statement.incarnation, now);
    if (statement.cut_off)
    {
        entries_[router] = {statement, now};
    }
    else
    {
        entries_.erase(router);
    }
    return was_cut_off != statement.cut_off;
}

bool fleet_reach::is_cut_off(const router_id& router, std::uint64_t incarnation,
                             time_point now) const
{
    const auto it = entries_.find(router);
    return it != entries_.end() && it->second.statement.incarnation == incarnation &&
           now - it->second.at < ttl;
}

} // namespace endivestage
