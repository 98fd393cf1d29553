/// \file
/// \brief One router's share of the rejections that a brittle endpoint tolerates.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace endivestage
{

/// \brief Time limits of \ref rejection_limit.
struct rejection_limit_config
{
    /// An endpoint rejects a request when it arrives. One that is unanswered for this long has been
    /// accepted.
    millis rejection_delay{250};
    /// A router sends nothing to an endpoint for this time after its last rejection there, and up
    /// to the spread longer. Less than a second would let two shares fall into one.
    millis pause{1100};
    millis max_spread{500};
};

/// \brief What a router knows of the room at an endpoint.
struct endpoint_room
{
    double slots = 0.0; ///< Requests that it runs at a time.
    double load = 0.0;  ///< Open requests, those of this router included.
    /// The load includes that of the other routers, as it was a quarter of a second ago at most.
    bool known = false;
};

/// \brief Bounds the sends of this router that a brittle endpoint may still reject.
///
/// Load: more requests than a service has room for, while its endpoints fail if they have to reject
/// more than a number of requests in a second. This number is divided among the routers;
/// rendezvous hashing decides who gets what cannot be divided. A router has no more unanswered
/// sends at the endpoint than its part, and sends nothing for more than a second after a rejection,
/// so the endpoint rejects at most the number in any second. More sends, and those of routers
/// without a part, go only where at least half of the slots are free.
///
/// Not thread-safe. The times passed in must not decrease.
class rejection_limit
{
public:
    explicit rejection_limit(router_id self, rejection_limit_config config = {})
        : self_(std::move(self)),
          config_(config)
    {
    }

    /// \param per_second Rejections that the endpoint tolerates in a second.
    /// \param routers All routers that may be running, this one included.
    /// \param only_free Whether the request may go to a slot that is known to be free only.
    /// \returns Whether a request may be sent to the endpoint now.
    bool may_send(const endpoint_id& endpoint, std::uint32_t per_second, const endpoint_room& room,
                  std::span<const router_id> routers, bool only_free, time_point now) const;

    /// \brief Counts a request that is about to be sent.
    /// \returns Its number for the calls below.
    std::uint64_t begin(const endpoint_id& endpoint, time_point now);

    /// \brief Records that a request was sent; until then it counts without a limit in time.
    void record_sent(const endpoint_id& endpoint, std::uint64_t number, time_point now);

    /// \brief Ends the count of a request. Does nothing if it has ended.
    void end(const endpoint_id& endpoint, std::uint64_t number);

    /// \param random Any number, which spreads the routers' returns.
    void record_rejection(const endpoint_id& endpoint, std::uint64_t random, time_point now);

    /// \brief Drops endpoints of which nothing is open and no pause is left.
    void expire(time_point now);

private:
    struct open_send
    {
        std::uint64_t number = 0;
        time_point rejected_by; ///< Counts until then.
    };

    struct endpoint_sends
    {
        std::vector<open_send> open;
        time_point paused_until;
    };

    /// \returns This router's part of so many sends.
    std::uint32_t share(const endpoint_id& endpoint, std::uint32_t sends,
                        std::span<const router_id> routers) const;
    static std::size_t count_open(const endpoint_sends& sends, time_point now);
    static void drop_ended(endpoint_sends& sends, time_point now);

    router_id self_;
    rejection_limit_config config_;
    std::map<endpoint_id, endpoint_sends> endpoints_;
    std::uint64_t last_number_ = 0;
};

/// \brief Counts one send. One that was sent and not answered counts until the endpoint would have
/// rejected it, also after this object.
class counted_send
{
public:
    /// \param limit Must outlive this object.
    counted_send(rejection_limit& limit, endpoint_id endpoint, time_point now)
        : limit_(limit),
          endpoint_(std::move(endpoint)),
          number_(limit.begin(endpoint_, now))
    {
    }

    ~counted_send()
    {
        if (!sent_)
        {
            limit_.end(endpoint_, number_);
        }
    }

    counted_send(const counted_send&) = delete;
    counted_send& operator=(const counted_send&) = delete;

    void record_sent(time_point now)
    {
        sent_ = true;
        limit_.record_sent(endpoint_, number_, now);
    }

    void record_answer() { limit_.end(endpoint_, number_); }

private:
    rejection_limit& limit_;
    endpoint_id endpoint_;
    std::uint64_t number_;
    bool sent_ = false;
};

} // namespace endivestage
