#include <endivestage/overload/waiting_order.hpp>

#include <algorithm>
#include <cmath>

namespace endivestage
{

namespace
{

constexpr std::int64_t turns = 4;
/// All turns together take 8 s, the time within which a chat that asks repeatedly must be served.
constexpr std::int64_t turn_ms = 2000;
/// Exceeds the product of the other factors, apart from that of a team above its fair share.
constexpr double priority_step = 16.0;
/// Less urgent priorities rank alike, which keeps ranks within the precision of a double.
constexpr std::uint32_t max_priority = 8;
constexpr double turn_factor = 3.0;
/// What a resumed stream has delivered already is lost with it.
constexpr double resumed_factor = 2.0;
constexpr double not_repeatable_factor = 1.5;
/// Pressure of a request whose objective is about to be missed, relative to one with much time.
constexpr double max_pressure = 2.0;

/// A team with twice its fair share ranks one priority lower, with four times two lower: marking
/// requests as urgent gains a team nothing that its share does not allow.
constexpr double excess_exponent = 4.0;

double find_pressure(const pending_request& request, time_point now)
{
    const millis slack = request.received + request.objective - request.expected_response - now;
    if (request.objective <= millis{0} || slack < millis{0})
    {
        return 1.0;
    }
    const double left =
        static_cast<double>(slack.count) / static_cast<double>(request.objective.count);
    return max_pressure - (max_pressure - 1.0) * std::min(1.0, left);
}

} // namespace

bool has_turn(std::uint64_t chat_hash, time_point wall)
{
    const std::int64_t turn = wall.since_epoch / turn_ms % turns;
    return static_cast<std::int64_t>(chat_hash % static_cast<std::uint64_t>(turns)) == turn;
}

double delay_cost_order::rank(const pending_request& request, const order_context& context) const
{
    const double steps = std::min(request.priority, max_priority);
    double cost = std::pow(priority_step, -steps) * find_pressure(request, context.now);
    cost *= request.in_turn ? turn_factor : 1.0;
    cost *= request.resumed ? resumed_factor : 1.0;
    cost *= request.repeatable ? 1.0 : not_repeatable_factor;
    return cost / std::sqrt(request.work) / std::pow(context.team_excess, excess_exponent);
}

} // namespace endivestage
