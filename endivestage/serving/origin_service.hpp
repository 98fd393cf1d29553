/// \file
/// \brief Tells other routers where streams began, and asks them.
#pragma once

#include <endivestage/continuation.hpp>
#include <endivestage/daemon/http_types.hpp>
#include <endivestage/serving/peer_service.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace endivestage::serving
{

/// \brief Keeps the holders of streams informed; see docs/design/stream-versions.md.
class origin_service
{
public:
    /// \param time,origins,peers Must outlive the io_context's run.
    origin_service(boost::asio::io_context& context, const clock& time, stream_origins& origins,
                   peer_service& peers);

    /// \brief Tells the holders of a stream where it began, without waiting for them.
    void tell(const known_origin& known);

    /// \brief Tells the holders of all streams of a service that this router has begun lately.
    void tell_all(std::uint64_t service);

    /// \brief Asks other routers where a stream began.
    /// \returns Nothing if none of them knows it or answers in time.
    daemon::awaitable<std::optional<stream_origin>> find(std::uint64_t stream);

private:
    /// \brief A question that waits for its answers.
    struct open_question
    {
        explicit open_question(boost::asio::io_context& context) : timer(context) {}

        std::uint64_t stream = 0;
        std::vector<daemon::network_address> unanswered;
        boost::asio::steady_timer timer;
    };

    std::vector<daemon::network_address>
    find_holders(std::uint64_t stream, std::span<const relay_peer> peers, std::size_t count) const;
    void handle(std::string_view datagram, const daemon::network_address& sender);
    void record_unknown(std::uint64_t stream, const daemon::network_address& sender);

    boost::asio::io_context& context_;
    const clock& time_;
    stream_origins& origins_;
    peer_service& peers_;
    std::vector<std::weak_ptr<open_question>> questions_;
};

} // namespace endivestage::serving
