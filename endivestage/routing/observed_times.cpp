#include <endivestage/routing/observed_times.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace endivestage
{

namespace
{

constexpr double tokens_per_unit = 1000.0; ///< Keeps the terms of the fit in the same range.
/// Weight of the assumption that a term has no effect, in observations; needed where all answers
/// had the same tokens or load.
constexpr double ridge = 0.05;
constexpr double min_pace = 0.1;
constexpr double max_pace = 100.0;
/// Weight of the latest answer in the mean time from first event to end.
constexpr double tail_weight = 0.05;

millis round_ms(double ms)
{
    return millis{static_cast<std::int64_t>(std::llround(ms))};
}

} // namespace

observed_times::vector observed_times::terms_of(const attempt_conditions& sent)
{
    return {1.0, sent.uncached_tokens / tokens_per_unit, sent.slot_share};
}

double observed_times::pace(const endpoint_state& endpoint, time_point now) const
{
    if (!endpoint.pace)
    {
        return 1.0;
    }
    const double age =
        static_cast<double>(std::max<std::int64_t>(0, (now - endpoint.pace_at).count));
    const double believed = std::exp2(-age / static_cast<double>(config_.pace_half_life.count));
    return std::clamp(1.0 + (*endpoint.pace - 1.0) * believed, min_pace, max_pace);
}

attempt_conditions observed_times::conditions(const endpoint_state& endpoint,
                                              const request_work& work, time_point now) const
{
    attempt_conditions sent;
    sent.model = hash64(work.route, hash64(endpoint.record.service.view()));
    std::uint32_t shared = 0;
    std::uint32_t cached = 0;
    bool held = true;
    for (const prompt_part& part : work.shared_prompt)
    {
        held = held && prefixes_.holds(part.hash, endpoint.hash, now);
        shared += part.tokens;
        cached += held ? part.tokens : 0;
    }
    const std::uint32_t prompt = std::max(work.prompt_tokens, shared);
    sent.uncached_tokens = static_cast<double>(prompt - cached);
    const std::uint32_t reported = endpoint.reported_slots;
    const double slots = static_cast<double>(
        std::max<std::uint32_t>(1, reported > 0 ? reported : endpoint.record.slots));
    const double load = endpoints_.estimated_load(endpoint, now);
    sent.slot_share = std::min(1.0, load / slots);
    sent.queue_ahead = std::max(0.0, load + 1.0 - slots) / slots;
    sent.output_tokens = work.output_tokens;
    sent.cold = endpoint.is_cold(now);
    return sent;
}

double observed_times::base_ms(const model& m, const attempt_conditions& sent) const
{
    const vector x = terms_of(sent);
    double ms = 0.0;
    for (std::size_t n = 0; n < terms; ++n)
    {
        ms += m.coefficients[n] * x[n];
    }
    return std::max(1.0, ms);
}

double observed_times::tail_ms(const model& m, std::uint32_t output_tokens) const
{
    return output_tokens > 0 && m.tail_tokens > 0.0
               ? m.tail_ms * static_cast<double>(output_tokens) / m.tail_tokens
               : m.tail_ms;
}

double observed_times::holding_ms(const model& m) const
{
    // The requests ahead are of other routes too; this one stands for them.
    return std::max(1.0, m.coefficients[0]) + m.tail_ms;
}

double observed_times::cold_factor(const model& m) const
{
    return m.cold_factor > 0.0 ? m.cold_factor : config_.initial_cold_factor;
}

time_estimate observed_times::estimate(const endpoint_state& endpoint, const request_work& work,
                                       time_point now) const
{
    time_estimate estimated;
    const attempt_conditions sent = conditions(endpoint, work, now);
    const auto it = models_.find(sent.model);
    if (it == models_.end() || it->second.observations < config_.min_observations)
    {
        return estimated;
    }
    const model& m = it->second;
    const double factor = pace(endpoint, now);
    const double first =
        (base_ms(m, sent) * (sent.cold ? cold_factor(m) : 1.0) + sent.queue_ahead * holding_ms(m)) *
        factor;
    // A stream outlasts a slow phase of its host, so the pace counts for its first part only.
    const double tail = tail_ms(m, work.output_tokens);
    const double slow_part =
        tail > 0.0 ? std::min(1.0, static_cast<double>(config_.pace_half_life.count) / tail) : 0.0;
    estimated.known = true;
    estimated.first_event = round_ms(first);
    estimated.completion = round_ms(first + tail * (1.0 + (factor - 1.0) * slow_part));
    return estimated;
}

void observed_times::record_first_event(const attempt_conditions& sent, double pace, millis took)
{
    assert(pace > 0.0);
    model& m = models_[sent.model];
    const double usual = static_cast<double>(std::max<std::int64_t>(0, took.count)) / pace;
    const double served = std::max(0.0, usual - sent.queue_ahead * holding_ms(m));
    if (sent.cold)
    {
        // Cold answers would distort the times of warm ones.
        if (m.observations >= config_.min_observations)
        {
            const double ratio =
                std::clamp(served / base_ms(m, sent), 1.0, config_.max_cold_factor);
            const double before = cold_factor(m);
            m.cold_factor = before + config_.cold_weight * (ratio - before);
        }
        return;
    }
    ++m.observations;
    const vector x = terms_of(sent);
    for (std::size_t row = 0; row < terms; ++row)
    {
        for (std::size_t column = 0; column < terms; ++column)
        {
            m.products[row][column] =
                m.products[row][column] * (1.0 - config_.forgetting) + x[row] * x[column];
        }
        m.moments[row] = m.moments[row] * (1.0 - config_.forgetting) + x[row] * served;
    }
    fit(m);
}

void observed_times::fit(model& m) const
{
    // Gaussian elimination of the normal equations about the means: both slopes first, then the
    // constant, so that a slope below 0, which is noise, can be dropped.
    const double count = m.products[0][0];
    const double x1 = m.products[0][1] / count;
    const double x2 = m.products[0][2] / count;
    const double y = m.moments[0] / count;
    const double v11 = m.products[1][1] - count * x1 * x1 + ridge;
    const double v22 = m.products[2][2] - count * x2 * x2 + ridge;
    const double v12 = m.products[1][2] - count * x1 * x2;
    const double c1 = m.moments[1] - count * x1 * y;
    const double c2 = m.moments[2] - count * x2 * y;
    const double determinant = v11 * v22 - v12 * v12;
    double slope1 = determinant > 0.0 ? (c1 * v22 - c2 * v12) / determinant : 0.0;
    double slope2 = determinant > 0.0 ? (c2 * v11 - c1 * v12) / determinant : 0.0;
    if (slope1 < 0.0)
    {
        slope1 = 0.0;
        slope2 = c2 / v22;
    }
    else if (slope2 < 0.0)
    {
        slope2 = 0.0;
        slope1 = c1 / v11;
    }
    slope1 = std::max(0.0, slope1);
    slope2 = std::max(0.0, slope2);
    m.coefficients = {std::max(0.0, y - slope1 * x1 - slope2 * x2), slope1, slope2};
}

void observed_times::record_completion(const attempt_conditions& sent, double pace,
                                       millis since_first)
{
    assert(pace > 0.0);
    model& m = models_[sent.model];
    const double tail = static_cast<double>(std::max<std::int64_t>(0, since_first.count));
    const double tokens = static_cast<double>(sent.output_tokens);
    const double weight = m.has_tail ? tail_weight : 1.0;
    // Removes the part of the time that the pace at its end explains, as estimate() adds it.
    const double half_life = static_cast<double>(config_.pace_half_life.count);
    const double slow_part = tail > 0.0 ? std::min(1.0, half_life / tail) : 0.0;
    const double usual = tail / (1.0 + (pace - 1.0) * slow_part);
    m.tail_ms += weight * (usual - m.tail_ms);
    m.tail_tokens += weight * (tokens - m.tail_tokens);
    m.has_tail = true;
}

} // namespace endivestage
