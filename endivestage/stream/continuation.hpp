/// \file
/// \brief Continues an answer on another engine after the death of the first.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace endivestage
{

/// \brief What to ask from the next engine.
struct continuation_request
{
    request_id request;      ///< New id of this part of the answer.
    std::string_view prefix; ///< Answer text that the caller has; generation goes on behind.
                             ///< Valid until the next call of on_delivered.
    std::uint64_t prefix_tokens = 0; ///< Tokens of prefix.
    std::uint64_t max_tokens = 0;    ///< Tokens still allowed; 0 means that the answer is complete.
};

/// \brief Limits of an answer_continuation.
struct continuation_config
{
    int max_continuations = 3;                     ///< Engine deaths survived by one answer.
    std::size_t max_text_size = 4UL * 1024 * 1024; ///< Bytes of delivered text kept.
};

/// \brief Keeps the delivered part of one answer.
class answer_continuation
{
public:
    /// \param request Id of the request as the caller knows it.
    /// \param idempotent Whether the request may be given to another engine.
    /// \param max_tokens Most tokens that the whole answer may have.
    answer_continuation(request_id request, bool idempotent, std::uint64_t max_tokens,
                        const continuation_config& limits = {});

    /// \brief Adds text that was delivered to the caller.
    void on_delivered(std::string_view text, std::uint64_t tokens);

    /// \brief The engine died before the final marker.
    /// \returns What to ask from the next engine, or errc::outcome_unknown when the request must
    /// not be repeated, errc::too_large when the delivered text was not kept, or
    /// errc::endpoint_unavailable after max_continuations.
    result<continuation_request> next_request();

private:
    request_id request_;
    bool idempotent_;
    std::uint64_t max_tokens_;
    continuation_config limits_;
    std::string text_;
    std::uint64_t tokens_ = 0;
    int continuations_ = 0;
    bool overflow_ = false;
};

} // namespace endivestage
