/// \file
/// \brief Interface that estimates when an endpoint would answer a request.
#pragma once

#include <endivestage/routing/endpoint_directory.hpp>
#include <endivestage/routing/prefix_directory.hpp>

#include <cstdint>
#include <span>
#include <string_view>

namespace endivestage
{

/// \brief Work that a request needs, as far as its head tells.
struct request_work
{
    std::string_view route;                     ///< Name of the request's route.
    std::uint32_t prompt_tokens = 0;            ///< Tokens of the whole prompt; 0 when unknown.
    std::uint32_t output_tokens = 0;            ///< Upper bound of the output; 0 when unknown.
    std::span<const prompt_part> shared_prompt; ///< Parts that may be cached, in order.
};

/// \brief Times from now at which an endpoint is expected to answer a request.
struct time_estimate
{
    bool known = false;    ///< There are enough observations; otherwise both times are 0.
    millis first_event{0}; ///< The first event of a stream, or the head of a plain answer.
    millis completion{0};  ///< The last byte of the answer.
};

/// \brief Estimates when an endpoint would answer a request that was sent to it now.
class time_estimator
{
public:
    virtual ~time_estimator() = default;

    virtual time_estimate estimate(const endpoint_state& endpoint, const request_work& work,
                                   time_point now) const = 0;

protected:
    time_estimator() = default;
    time_estimator(const time_estimator&) = default;
    time_estimator& operator=(const time_estimator&) = default;
};

} // namespace endivestage
