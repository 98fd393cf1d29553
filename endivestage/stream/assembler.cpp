#include <endivestage/stream/assembler.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace endivestage
{

answer_assembler::answer_assembler(request_id request, const assembler_config& limits,
                                   std::uint64_t delivered)
    : request_(std::move(request)),
      limits_(limits),
      next_(delivered)
{
    assert(limits.low_watermark < limits.high_watermark &&
           limits.high_watermark <= limits.max_buffer_size);
}

stream_actions answer_assembler::on_event(std::uint64_t connection, const stream_event& event)
{
    if (!is_current(connection))
    {
        return {};
    }
    const std::uint64_t wanted = next_ - base_;
    if (event.request != request_)
    {
        resume(errc::answer_mismatch);
    }
    else if (event.offset > wanted)
    {
        resume(errc::stream_gap);
    }
    else
    {
        take_bytes(event, wanted - event.offset);
    }
    return take();
}

stream_actions answer_assembler::on_closed(std::uint64_t connection)
{
    if (is_current(connection))
    {
        resume(errc::ok);
    }
    return take();
}

stream_actions answer_assembler::reconnect()
{
    if (state_ == state::open)
    {
        resume(errc::endpoint_unavailable);
    }
    return take();
}

stream_actions answer_assembler::on_consumed(std::size_t n)
{
    assert(n <= unconsumed_);
    unconsumed_ -= std::min(n, unconsumed_);
    if (paused_ && unconsumed_ <= limits_.low_watermark && state_ == state::open)
    {
        paused_ = false;
        if (overflowed_)
        {
            overflowed_ = false;
            actions_.emplace_back(resume_stream{connection_, next_ - base_});
        }
        actions_.emplace_back(continue_reading{});
    }
    return take();
}

std::uint64_t answer_assembler::switch_endpoint(request_id request)
{
    assert(state_ != state::complete);
    request_ = std::move(request);
    base_ = next_;
    resumes_ = 0;
    overflowed_ = false;
    state_ = state::open;
    return ++connection_;
}

bool answer_assembler::is_current(std::uint64_t connection) const
{
    return state_ == state::open && connection == connection_ && !overflowed_;
}

void answer_assembler::take_bytes(const stream_event& event, std::uint64_t known)
{
    if (known > event.data.size())
    {
        if (event.final)
        {
            // The endpoint ends its answer before bytes that it sent earlier.
            fail(errc::answer_mismatch);
        }
        return;
    }
    const std::string_view fresh = event.data.substr(known);
    if (fresh.size() > limits_.max_buffer_size - unconsumed_)
    {
        overflow();
        return;
    }
    if (!fresh.empty())
    {
        actions_.emplace_back(deliver_bytes{next_, std::string(fresh)});
        next_ += fresh.size();
        unconsumed_ += fresh.size();
        resumes_ = 0;
    }
    if (event.final)
    {
        state_ = state::complete;
        actions_.emplace_back(complete_answer{next_});
    }
    else if (!paused_ && unconsumed_ >= limits_.high_watermark)
    {
        paused_ = true;
        actions_.emplace_back(pause_reading{});
    }
}

void answer_assembler::overflow()
{
    if (unconsumed_ <= limits_.low_watermark)
    {
        // The event alone is above the limit; waiting for the caller would not make it fit.
        fail(errc::too_large);
        return;
    }
    // The bytes are asked for again when the caller has made room.
    actions_.emplace_back(close_connection{connection_++, errc::overloaded});
    overflowed_ = true;
    paused_ = true;
}

void answer_assembler::resume(errc reason)
{
    actions_.emplace_back(close_connection{connection_, reason});
    ++connection_;
    if (++resumes_ > limits_.max_consecutive_resumes)
    {
        fail(reason == errc::ok ? errc::endpoint_unavailable : reason);
        return;
    }
    overflowed_ = false;
    actions_.emplace_back(resume_stream{connection_, next_ - base_});
}

void answer_assembler::fail(errc reason)
{
    state_ = state::failed;
    actions_.emplace_back(fail_answer{reason});
}

stream_actions answer_assembler::take()
{
    return std::exchange(actions_, {});
}

} // namespace endivestage
