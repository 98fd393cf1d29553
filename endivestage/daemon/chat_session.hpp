/// \file
/// \brief One streamed answer on its way from an engine to a caller.
#pragma once

#include <endivestage/daemon/chat_service.hpp>
#include <endivestage/daemon/event_stream.hpp>
#include <endivestage/daemon/http_client.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace endivestage::daemon
{

/// \brief Reads an answer from engines and writes it to the caller. Runs on the caller's strand.
class chat_session
{
public:
    /// \param delivered Bytes that the caller already has.
    chat_session(chat_service& service, chat_request request, response_writer& writer,
                 boost::asio::any_io_executor executor, std::uint64_t delivered);

    /// \brief Places the request and streams the whole answer.
    awaitable<void> run();

    /// \brief Streams the rest from the engine that generates it.
    /// \param base Offset at which this engine's part of the answer began.
    awaitable<void> run_resume(endpoint_id engine, network_address address, std::uint64_t base);

private:
    enum class relay_end
    {
        complete,
        engine_failed, ///< Nothing more comes from this engine.
        permit_expired,
        caller_left,
        failed, ///< The answer cannot be completed.
    };

    awaitable<relay_end> relay(bool resume);
    awaitable<relay_end> read_events();
    awaitable<relay_end> handle_event(const std::string& data);
    awaitable<relay_end> perform(stream_actions actions);
    awaitable<relay_end> handle_silence();
    awaitable<std::error_code> open(bool resume);
    awaitable<bool> ping();
    awaitable<std::error_code> begin_answer();
    awaitable<std::error_code> write_start();
    awaitable<void> write_end();
    awaitable<void> fail(errc code, execution ran);
    awaitable<bool> continue_elsewhere(const std::error_code& reason);
    awaitable<bool> place();
    http_request make_engine_request(bool resume) const;
    void release(permit_outcome::kind what);
    void on_caller_left();

    chat_service& service_;
    node_context& node_;
    chat_request request_;
    response_writer& writer_;
    boost::asio::any_io_executor executor_;
    answer_assembler assembler_;
    answer_continuation continuation_;
    std::optional<stall_detector> stall_;
    event_stream_reader reader_;
    std::shared_ptr<http_exchange> exchange_;
    std::set<endpoint_id> failed_engines_;
    std::optional<holding> held_;
    endpoint_id engine_;
    network_address address_;
    request_id engine_request_; ///< Id under which the present engine knows the request.
    std::string prefix_;        ///< Text that an earlier engine delivered.
    std::uint64_t base_ = 0;    ///< Offset at which the present engine began.
    std::uint64_t connection_ = 1;
    std::uint64_t resume_at_ = 0; ///< Offset to resume at, in the present engine's answer.
    std::optional<time_point> sent_;
    std::optional<millis> first_token_;
    std::uint64_t cached_tokens_ = 0;
    std::uint64_t total_tokens_ = 0;
    errc failure_ = errc::endpoint_unavailable;
    bool begun_ = false;
    bool caller_left_ = false;
    bool started_event_due_ = true;
};

} // namespace endivestage::daemon
