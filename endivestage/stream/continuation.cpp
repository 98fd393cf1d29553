#include <endivestage/stream/continuation.hpp>

#include <utility>

namespace endivestage
{

answer_continuation::answer_continuation(request_id request, bool idempotent,
                                         std::uint64_t max_tokens,
                                         const continuation_config& limits)
    : request_(std::move(request)),
      idempotent_(idempotent),
      max_tokens_(max_tokens),
      limits_(limits)
{
}

void answer_continuation::on_delivered(std::string_view text, std::uint64_t tokens)
{
    tokens_ += tokens;
    if (!idempotent_ || overflow_)
    {
        return;
    }
    if (text.size() > limits_.max_text_size - text_.size())
    {
        overflow_ = true;
        text_.clear();
        return;
    }
    text_ += text;
}

result<continuation_request> answer_continuation::next_request()
{
    if (!idempotent_)
    {
        return make_error_code(errc::outcome_unknown);
    }
    if (overflow_)
    {
        return make_error_code(errc::too_large);
    }
    if (continuations_ >= limits_.max_continuations)
    {
        return make_error_code(errc::endpoint_unavailable);
    }
    ++continuations_;
    // '~' cannot be part of an id that a router makes, so no other request has this id.
    return continuation_request{request_id(request_.str() + '~' + std::to_string(continuations_)),
                                text_, tokens_, max_tokens_ > tokens_ ? max_tokens_ - tokens_ : 0};
}

} // namespace endivestage
