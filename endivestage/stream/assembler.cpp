#include <endivestage/stream/assembler.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace endivestage
{

answer_assembler::answer_assembler(request_id request, const assembler_config& config,
                                   std::uint64_t delivered)
    : request_(std::move(request)),
      config_(config),
      delivered_(delivered)
{
    assert(config.low_watermark < config.high_watermark &&
           config.high_watermark <= config.max_buffer_size);
}

stream_actions answer_assembler::on_event(std::uint64_t connection, const stream_event& event)
{
    if (!is_current(connection))
    {
        return {};
    }
    const std::uint64_t next_offset = delivered_ - endpoint_start_;
    if (event.request != request_)
    {
        resume(errc::answer_mismatch);
    }
    else if (event.offset > next_offset)
    {
        resume(errc::stream_gap);
    }
    else
    {
        accept_data(event, next_offset - event.offset);
    }
    return take_actions();
}

stream_actions answer_assembler::on_closed(std::uint64_t connection)
{
    if (is_current(connection))
    {
        resume(errc::ok);
    }
    return take_actions();
}

stream_actions answer_assembler::reconnect()
{
    if (state_ == state::open)
    {
        resume(errc::endpoint_unavailable);
    }
    return take_actions();
}

stream_actions answer_assembler::on_consumed(std::size_t n)
{
    assert(n <= unconsumed_);
    unconsumed_ -= std::min(n, unconsumed_);
    if (paused_ && unconsumed_ <= config_.low_watermark && state_ == state::open)
    {
        paused_ = false;
        if (overflowed_)
        {
            overflowed_ = false;
            actions_.emplace_back(resume_stream{connection_, delivered_ - endpoint_start_});
        }
        actions_.emplace_back(continue_reading{});
    }
    return take_actions();
}

std::uint64_t answer_assembler::switch_endpoint(request_id request)
{
    assert(state_ != state::complete);
    request_ = std::move(request);
    endpoint_start_ = delivered_;
    consecutive_resumes_ = 0;
    overflowed_ = false;
    state_ = state::open;
    return ++connection_;
}

bool answer_assembler::is_current(std::uint64_t connection) const
{
    return state_ == state::open && connection == connection_ && !overflowed_;
}

void answer_assembler::accept_data(const stream_event& event, std::uint64_t duplicate_size)
{
    if (duplicate_size > event.data.size())
    {
        if (event.final)
        {
            // The final marker is at a lower offset than bytes that were already delivered.
            fail(errc::answer_mismatch);
        }
        return;
    }
    const std::string_view new_data = event.data.substr(duplicate_size);
    if (new_data.size() > config_.max_buffer_size - unconsumed_)
    {
        handle_overflow();
        return;
    }
    if (!new_data.empty())
    {
        actions_.emplace_back(deliver_bytes{delivered_, std::string(new_data)});
        delivered_ += new_data.size();
        unconsumed_ += new_data.size();
        consecutive_resumes_ = 0;
    }
    if (event.final)
    {
        state_ = state::complete;
        actions_.emplace_back(complete_answer{delivered_});
    }
    else if (!paused_ && unconsumed_ >= config_.high_watermark)
    {
        paused_ = true;
        actions_.emplace_back(pause_reading{});
    }
}

void answer_assembler::handle_overflow()
{
    if (unconsumed_ <= config_.low_watermark)
    {
        // The event alone exceeds the limit, so it would not fit after the caller has caught up.
        fail(errc::too_large);
        return;
    }
    // on_consumed requests the dropped bytes again once the caller has consumed enough.
    actions_.emplace_back(close_connection{connection_++, errc::overloaded});
    overflowed_ = true;
    paused_ = true;
}

void answer_assembler::resume(errc reason)
{
    actions_.emplace_back(close_connection{connection_, reason});
    ++connection_;
    if (++consecutive_resumes_ > config_.max_consecutive_resumes)
    {
        fail(reason == errc::ok ? errc::endpoint_unavailable : reason);
        return;
    }
    overflowed_ = false;
    actions_.emplace_back(resume_stream{connection_, delivered_ - endpoint_start_});
}

void answer_assembler::fail(errc reason)
{
    state_ = state::failed;
    actions_.emplace_back(fail_answer{reason});
}

stream_actions answer_assembler::take_actions()
{
    return std::exchange(actions_, {});
}

} // namespace endivestage
