/// \file
/// \brief Continues an answer on another engine after its engine failed.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace endivestage
{

/// \brief Request to the engine that continues an answer.
struct continuation_request
{
    request_id request;      ///< New id of this part of the answer.
    std::string_view prefix; ///< Answer text that the caller has; generation continues after it.
                             ///< Valid until the next call of on_delivered.
    std::uint64_t prefix_tokens = 0; ///< Number of tokens in prefix.
    std::uint64_t max_tokens = 0;    ///< Remaining tokens; 0 means that the answer is complete.
};

/// \brief Limits of an answer_continuation.
struct continuation_config
{
    int max_continuations = 3;                     ///< Engine failures that one answer survives.
    std::size_t max_text_size = 4UL * 1024 * 1024; ///< Maximum size of the kept text in bytes.
};

/// \brief Keeps the delivered text of one answer, so that another engine can continue it.
class answer_continuation
{
public:
    /// \param request Id under which the caller sent the request.
    /// \param idempotent Whether the request may be sent to another engine.
    /// \param max_tokens Maximum number of tokens of the whole answer.
    answer_continuation(request_id request, bool idempotent, std::uint64_t max_tokens,
                        const continuation_config& config = {});

    /// \brief Adds text that was delivered to the caller.
    void on_delivered(std::string_view text, std::uint64_t tokens);

    /// \brief Builds the request to the next engine after a failure before the final marker.
    /// \returns The request, or errc::outcome_unknown when the request is not idempotent,
    /// errc::too_large when the delivered text exceeds max_text_size, or errc::endpoint_unavailable
    /// after max_continuations.
    result<continuation_request> next_request();

private:
    request_id request_;
    bool idempotent_;
    std::uint64_t max_tokens_;
    continuation_config config_;
    std::string text_;
    std::uint64_t delivered_tokens_ = 0;
    int continuations_ = 0;
    bool overflowed_ = false; ///< Whether the delivered text exceeded max_text_size.
};

} // namespace endivestage
