/// \file
/// \brief Answers chat requests: placement, streaming, resume and cancellation.
#pragma once

#include <endivestage/daemon/caller_error.hpp>
#include <endivestage/daemon/http_server.hpp>
#include <endivestage/daemon/placement_service.hpp>
#include <endivestage/daemon/signing.hpp>
#include <endivestage/stream.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace endivestage::daemon
{

/// \brief A chat request of a caller.
struct chat_request
{
    placement_request placement;
    std::string prompt;              ///< Text of the last message.
    std::uint32_t prompt_tokens = 0; ///< Estimated.
    std::uint32_t max_tokens = 0;
};

/// \brief A caller's wish to read the rest of a stream.
struct resume_request
{
    resume_token token;
    std::uint64_t base = 0;   ///< Offset at which the token's engine began; 0 unless it continued.
    std::uint64_t offset = 0; ///< Bytes that the caller has.
};

/// \brief Signs resume tokens with the keys of the fleet.
class fleet_token_signer final : public token_signer
{
public:
    explicit fleet_token_signer(std::shared_ptr<const key_ring> keys) : keys_(std::move(keys)) {}

    std::string sign(std::string_view text) const override;
    bool verify(std::string_view text, std::string_view signature) const override;

private:
    std::shared_ptr<const key_ring> keys_;
};

/// \brief Runs the chats of this router.
class chat_service
{
public:
    chat_service(node_context& node, configuration_service& configuration,
                 admission_service& admission, placement_service& placement,
                 cluster_service& cluster, const token_signer& signer);

    /// \brief Answers peers.
    void start();

    /// \brief Places the request and streams the answer as server-sent events.
    awaitable<void> answer(chat_request request, response_writer& writer);

    /// \brief Streams the rest of an answer that began on any router.
    awaitable<void> resume(resume_request request, response_writer& writer);

    /// \returns The token, or errc::too_large, errc::invalid_request or errc::unauthorized.
    result<resume_token> read_token(std::string_view text) const;

private:
    friend class chat_session;

    struct pool_retries
    {
        retry_budget budget{retry_budget_config{}};
    };

    /// State of a stream whose caller has left and may come back on another router.
    enum class handover
    {
        waiting, ///< The caller has not come back yet.
        taken,   ///< Another router reads the stream.
        ended,   ///< The other router has finished.
    };

    bool take_retry(const pool_id& pool);
    void count_first_attempt(const pool_id& pool);
    bool set_handover(const request_id& request, handover state);
    void tell_entry(const resume_token& token, const char* path);
    awaitable<void> keep_for_resume(holding held, network_address address, time_point deadline);
    awaitable<void> cancel_on_engine(network_address address, request_id request);

    node_context& node_;
    configuration_service& configuration_;
    admission_service& admission_;
    placement_service& placement_;
    cluster_service& cluster_;
    const token_signer& signer_;

    mutable std::mutex mutex_; ///< Guards the members below.
    std::map<pool_id, pool_retries> retries_;
    std::map<request_id, handover> left_;
};

} // namespace endivestage::daemon
