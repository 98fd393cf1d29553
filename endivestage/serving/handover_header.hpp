/// \file
/// \brief Header fields of requests that one router hands to another one, and of their responses.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/daemon/http_server.hpp>
#include <endivestage/daemon/http_types.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endivestage::serving
{

/// \brief What the first router tells about a request that it hands over.
struct handover_info
{
    std::uint64_t config_version = 0; ///< Configuration by which it admitted the request.
    std::uint32_t sends = 0;          ///< Sends that may have reached an endpoint.
    std::uint32_t possible_executions = 0;
    std::optional<std::uint64_t> last_event_id; ///< Last event that the caller got in this attempt.
    /// Attempt under which other routers know the stream; set with \ref last_event_id.
    std::optional<request_id> first_attempt;
};

/// \brief Why a router does not take a request that is handed to it.
enum class handover_refusal
{
    cut_off,   ///< It does not reach the endpoints either.
    busy,      ///< It has taken as many requests as it may.
    not_ready, ///< It starts or stops, or its copies are too old.
    stale,     ///< Its configuration is older than the one that admitted the request.
    malformed, ///< Its release does not understand the request's \ref handover_info.
};

/// \returns The snake_case name of a refusal.
std::string_view to_string(handover_refusal refusal);

/// \brief Sets the field of a handed over request; fields of that name from the caller are dropped.
void write_handover(daemon::http_request& request, const handover_info& info);

/// \returns Whether the request was handed over by another router.
bool is_handed_over(const daemon::http_request& request);

/// \brief Removes the field of a handed over request.
/// \returns Its content, or errc::invalid_request.
result<handover_info> take_handover(daemon::http_request& request);

/// \brief Marks a response as the one of a router that took a request, or refused to.
void mark_response(daemon::http_response& response, std::optional<handover_refusal> refusal);

/// \brief What the mark of a response says.
struct handover_mark
{
    bool present = false; ///< False in responses that did not come from a router's request service.
    bool refused = false;
    std::string reason; ///< Name of the refusal.
};

/// \brief Removes the mark of a response.
handover_mark take_mark(daemon::http_response& response);

/// \brief Marks all responses to a request that was handed over.
class handover_writer final : public daemon::response_writer
{
public:
    /// \param writer Must outlive this object.
    explicit handover_writer(daemon::response_writer& writer) : writer_(writer) {}

    /// \brief Makes the next response a refusal.
    void refuse(handover_refusal refusal) { refusal_ = refusal; }

    daemon::awaitable<std::error_code> send(daemon::http_response response) override;
    daemon::awaitable<std::error_code> begin(daemon::http_response head) override;
    daemon::awaitable<std::error_code> write(std::string_view chunk) override;
    daemon::awaitable<std::error_code> end() override;
    void abort() override { writer_.abort(); }
    void on_caller_left(std::function<void()> callback) override
    {
        writer_.on_caller_left(std::move(callback));
    }

private:
    daemon::response_writer& writer_;
    std::optional<handover_refusal> refusal_;
};

} // namespace endivestage::serving
