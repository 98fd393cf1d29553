#include <endivestage/serving/origin_service.hpp>

#include <endivestage/serving/origin_datagram.hpp>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

namespace endivestage::serving
{

namespace asio = boost::asio;
using daemon::awaitable;

namespace
{

/// A question is repeated after this time, since it or its answer may have been lost.
constexpr millis repeat_interval{20};
constexpr int max_questions = 3;

} // namespace

origin_service::origin_service(asio::io_context& context, const clock& time,
                               stream_origins& origins, peer_service& peers)
    : context_(context),
      time_(time),
      origins_(origins),
      peers_(peers)
{
    peers_.on_origins([this](std::string_view datagram, const daemon::network_address& sender)
                      { handle(datagram, sender); });
}

std::vector<daemon::network_address> origin_service::find_holders(std::uint64_t stream,
                                                                  std::span<const relay_peer> peers,
                                                                  std::size_t count) const
{
    std::vector<router_id> ids;
    ids.reserve(peers.size());
    for (const relay_peer& peer : peers)
    {
        ids.push_back(peer.candidate.id);
    }
    std::vector<daemon::network_address> addresses;
    for (const router_id& holder : choose_holders(stream, ids, count))
    {
        const auto it =
            std::find_if(peers.begin(), peers.end(),
                         [&](const relay_peer& peer) { return peer.candidate.id == holder; });
        addresses.push_back(it->address);
    }
    return addresses;
}

void origin_service::tell(const known_origin& known)
{
    const std::vector<relay_peer> peers = peers_.live_peers();
    const std::string datagram = encode_origins(std::span<const known_origin>(&known, 1));
    for (const daemon::network_address& holder : find_holders(known.stream, peers, told_holders))
    {
        peers_.send_origins(holder, datagram);
    }
}

void origin_service::tell_all(std::uint64_t service)
{
    const std::vector<relay_peer> peers = peers_.live_peers();
    std::map<std::string, std::pair<daemon::network_address, std::vector<known_origin>>> told;
    for (const known_origin& known : origins_.own_streams(service, time_.now()))
    {
        for (const daemon::network_address& holder :
             find_holders(known.stream, peers, told_holders))
        {
            told[daemon::to_string(holder)].first = holder;
            told[daemon::to_string(holder)].second.push_back(known);
        }
    }
    for (auto it = told.begin(); it != told.end(); ++it)
    {
        std::span<const known_origin> rest = it->second.second;
        while (!rest.empty())
        {
            const std::size_t n = std::min(rest.size(), max_origins_per_datagram);
            peers_.send_origins(it->second.first, encode_origins(rest.first(n)));
            rest = rest.subspan(n);
        }
    }
}

awaitable<std::optional<stream_origin>> origin_service::find(std::uint64_t stream)
{
    const std::vector<relay_peer> peers = peers_.live_peers();
    const std::shared_ptr<open_question> question = std::make_shared<open_question>(context_);
    question->stream = stream;
    question->unanswered = find_holders(stream, peers, asked_holders);
    questions_.push_back(question);
    const std::string datagram = encode_origin_question(stream);
    std::optional<stream_origin> origin;
    for (int n = 0; n < max_questions && !question->unanswered.empty() && !origin; ++n)
    {
        for (const daemon::network_address& holder : question->unanswered)
        {
            peers_.send_origins(holder, datagram);
        }
        question->timer.expires_after(std::chrono::milliseconds(repeat_interval.count));
        boost::system::error_code ec;
        co_await question->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        origin = origins_.find(stream, time_.now());
    }
    std::erase_if(questions_,
                  [&](const std::weak_ptr<open_question>& open)
                  {
                      const std::shared_ptr<open_question> other = open.lock();
                      return !other || other == question;
                  });
    co_return origin;
}

void origin_service::handle(std::string_view datagram, const daemon::network_address& sender)
{
    const std::optional<origin_message> message = decode_origin_message(datagram);
    if (!message)
    {
        return;
    }
    const time_point now = time_.now();
    if (message->kind == origin_message::type::question)
    {
        const std::optional<stream_origin> origin = origins_.find(message->stream, now);
        const known_origin known{message->stream, origin.value_or(stream_origin{})};
        peers_.send_origins(sender, origin
                                        ? encode_origins(std::span<const known_origin>(&known, 1))
                                        : encode_unknown_origin(message->stream));
        return;
    }
    if (message->kind == origin_message::type::unknown)
    {
        record_unknown(message->stream, sender);
        return;
    }
    for (const known_origin& known : message->origins)
    {
        origins_.record(known.stream, known.origin, now, false);
        for (const std::weak_ptr<open_question>& open : questions_)
        {
            const std::shared_ptr<open_question> question = open.lock();
            if (question && question->stream == known.stream)
            {
                question->timer.cancel();
            }
        }
    }
}

void origin_service::record_unknown(std::uint64_t stream, const daemon::network_address& sender)
{
    for (const std::weak_ptr<open_question>& open : questions_)
    {
        const std::shared_ptr<open_question> question = open.lock();
        if (!question || question->stream != stream)
        {
            continue;
        }
        std::erase(question->unanswered, sender);
        if (question->unanswered.empty())
        {
            question->timer.cancel();
        }
    }
}

} // namespace endivestage::serving
