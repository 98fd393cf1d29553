// The age of routers' copies over random series of disturbances.

#include "simulated_copies.hpp"

#include <endivestage/core.hpp>

#include <catch2/catch.hpp>
#include <functional>
#include <iterator>
#include <map>
#include <set>

using namespace endivestage;
using namespace endivestage::test;

namespace
{

using access = simulated_copies::service_access;

/// The bounds of a deployment: how soon a change must be in force, and after which calm.
struct deployment
{
    std::size_t routers = 9;
    std::size_t zones = 4;
    millis bound{2000};
    millis contact{3000};
};

/// Applies disturbances to a fleet and checks the ages of the copies of routers in touch.
///
/// A router is in touch when its process, its link and the table service have been undisturbed for
/// the contact time. Disturbances of other routers excuse nothing.
class disturbed_fleet
{
public:
    disturbed_fleet(const deployment& site, std::uint64_t seed)
        : site_(site),
          copies_(site.routers, site.zones, replication_timing::for_change_delay(site.bound)),
          random_(seed),
          disturbed_(site.routers, time_point{0}),
          cuts_(site.routers),
          restrictions_(site.routers)
    {
    }

    simulated_copies& copies() { return copies_; }
    millis oldest() const { return oldest_; }

    void run(millis time)
    {
        const time_point end = copies_.now() + time;
        while (copies_.now() < end)
        {
            for (auto it = ends_.begin(); it != ends_.end() && it->first <= copies_.now();
                 it = ends_.erase(it))
            {
                it->second();
            }
            copies_.advance();
            check();
        }
    }

    /// The table service treats the routers of \p affected in a certain way.
    void disturb_service(millis time, access how, const std::vector<std::size_t>& affected)
    {
        for (const std::size_t n : affected)
        {
            restrict_access(n, how);
        }
        ++outages_;
        end_after(time,
                  [this, how, affected]
                  {
                      for (const std::size_t n : affected)
                      {
                          restore_access(n, how);
                      }
                      --outages_;
                      service_disturbed_ = copies_.now();
                  });
    }

    void lose_router(std::size_t n, millis time, bool host_lost)
    {
        if (!copies_.is_running(n))
        {
            return;
        }
        copies_.stop(n, host_lost);
        end_after(time,
                  [this, n]
                  {
                      copies_.start(n);
                      disturbed_[n] = copies_.now();
                  });
    }

    /// Cuts a router off from everything.
    void cut_router(std::size_t n, millis time)
    {
        ++cuts_[n];
        set_links(n, false);
        restrict_access(n, access::silent);
        end_after(time,
                  [this, n]
                  {
                      --cuts_[n];
                      set_links(n, cuts_[n] == 0);
                      restore_access(n, access::silent);
                      disturbed_[n] = copies_.now();
                  });
    }

    /// Cuts the way between two routers; both stay in touch.
    void cut_link(std::size_t a, std::size_t b, millis time)
    {
        copies_.set_link(a, b, false);
        end_after(time, [this, a, b] { copies_.set_link(a, b, cuts_[a] == 0 && cuts_[b] == 0); });
    }

    void disturb_at_random()
    {
        const std::size_t n = random_.below(site_.routers);
        const millis time{200 + static_cast<std::int64_t>(random_.below(6000))};
        switch (random_.below(7))
        {
        case 0:
        case 1:
            disturb_service(time, random_.below(2) == 0 ? access::silent : access::refuses, all());
            break;
        case 2:
            disturb_service(time, random_.below(2) == 0 ? access::silent : access::refuses,
                            some(1 + random_.below(site_.routers)));
            break;
        case 3:
            lose_router(n, time, random_.below(2) == 0);
            break;
        case 4:
            for (std::size_t m = n % site_.zones; m < site_.routers; m += site_.zones)
            {
                lose_router(m, time, true);
            }
            break;
        case 5:
            cut_router(n, time);
            break;
        default:
            cut_link(n, random_.below(site_.routers), time);
            break;
        }
    }

    std::vector<std::size_t> all() const
    {
        std::vector<std::size_t> routers(site_.routers);
        for (std::size_t n = 0; n < site_.routers; ++n)
        {
            routers[n] = n;
        }
        return routers;
    }

    std::vector<std::size_t> some(std::size_t count)
    {
        std::vector<std::size_t> routers = all();
        while (routers.size() > count)
        {
            routers.erase(routers.begin() +
                          static_cast<std::ptrdiff_t>(random_.below(routers.size())));
        }
        return routers;
    }

    seeded_random& random() { return random_; }

private:
    void end_after(millis time, std::function<void()> end)
    {
        ends_.emplace(copies_.now() + time, std::move(end));
    }

    void set_links(std::size_t n, bool up)
    {
        for (std::size_t m = 0; m < site_.routers; ++m)
        {
            if (m != n)
            {
                copies_.set_link(n, m, up && cuts_[m] == 0);
            }
        }
    }

    void restrict_access(std::size_t n, access how)
    {
        restrictions_[n].insert(how);
        copies_.set_access(n, *restrictions_[n].begin());
    }

    void restore_access(std::size_t n, access how)
    {
        restrictions_[n].erase(restrictions_[n].find(how));
        copies_.set_access(n,
                           restrictions_[n].empty() ? access::answers : *restrictions_[n].begin());
    }

    void check()
    {
        const time_point now = copies_.now();
        if (outages_ > 0 || now - service_disturbed_ < site_.contact)
        {
            return;
        }
        for (std::size_t n = 0; n < site_.routers; ++n)
        {
            if (copies_.is_running(n) && cuts_[n] == 0 && now - disturbed_[n] >= site_.contact)
            {
                oldest_ = std::max(oldest_, copies_.age(n).value_or(millis{1000000}));
            }
        }
    }

    deployment site_;
    simulated_copies copies_;
    seeded_random random_;
    std::vector<time_point> disturbed_; ///< End of each router's last disturbance.
    std::vector<int> cuts_;             ///< Cuts of each router that go on.
    std::vector<std::multiset<access>> restrictions_;
    int outages_ = 0;
    time_point service_disturbed_;
    std::multimap<time_point, std::function<void()>> ends_;
    millis oldest_{0};
};

const deployment sites[] = {{9, 4, {2000}, {3000}},
                            {6, 4, {2000}, {3000}},
                            {24, 6, {3000}, {4000}},
                            {120, 6, {4000}, {5000}}};

} // namespace

// Guards against routers in touch that act on copies older than the bound: in outages every router
// excluded the relays and itself for seconds, and routers followed each other in a circle
// afterwards, with nobody reading the table service.
TEST_CASE("copies of routers in touch stay within the bound whatever came before")
{
    const deployment& site = GENERATE_REF(from_range(std::begin(sites), std::end(sites)));
    const std::uint64_t series = site.routers > 50 ? 3 : site.routers > 20 ? 15 : 60;
    for (std::uint64_t seed = 1; seed <= series; ++seed)
    {
        CAPTURE(site.routers, seed);
        disturbed_fleet fleet(site, seed);
        fleet.run({2000});
        for (int n = 0; n < 12; ++n)
        {
            fleet.disturb_at_random();
            fleet.run(millis{static_cast<std::int64_t>(fleet.random().below(5000))});
        }
        fleet.run({10000});
        REQUIRE(fleet.oldest() <= site.bound);
    }
}

// Guards against the day of review/12: an outage of the table service, and the loss of a zone as
// soon as it is back, over and over.
TEST_CASE("an outage and the loss of a zone leave no old copies")
{
    const deployment site;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        disturbed_fleet fleet(site, seed);
        for (std::size_t round = 0; round < 8; ++round)
        {
            fleet.run(millis{500 + static_cast<std::int64_t>(fleet.random().below(1000))});
            fleet.disturb_service({5350}, access::silent, fleet.all());
            fleet.run({7200});
            for (std::size_t n = round % 2; n < site.routers; n += site.zones)
            {
                fleet.lose_router(n, {3000}, true);
            }
            fleet.run({2750});
        }
        REQUIRE(fleet.oldest() <= site.bound);
    }
}

// Load: calls to the table service cost money. Guards against routers that go on reading it for
// themselves when the disturbances are over.
TEST_CASE("one router polls the table service after any series of disturbances")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        const deployment site;
        disturbed_fleet fleet(site, seed);
        for (int n = 0; n < 8; ++n)
        {
            fleet.disturb_at_random();
            fleet.run(millis{static_cast<std::int64_t>(fleet.random().below(3000))});
        }
        fleet.run({14000});
        std::vector<int> before;
        for (std::size_t n = 0; n < site.routers; ++n)
        {
            before.push_back(fleet.copies().calls(n));
        }
        fleet.run({6000});
        std::size_t callers = 0;
        for (std::size_t n = 0; n < site.routers; ++n)
        {
            callers += fleet.copies().calls(n) > before[n] ? 1 : 0;
        }
        REQUIRE(callers == 1);
    }
}

// Load: all routers' copies are too old when the table service is back. Guards against a burst of
// reads: most routers get their copies from the relays, which find out first.
TEST_CASE("few routers read a table service that is back after an outage")
{
    constexpr int polls_of_primary = 20;
    for (const std::size_t routers : {9UL, 80UL, 295UL})
    {
        const deployment site{routers, 6, {4000}, {5000}};
        disturbed_fleet fleet(site, 1);
        fleet.run({1000});
        fleet.disturb_service({9000}, access::silent, fleet.all());
        fleet.run({9000});
        int most_at_once = 0;
        const int before = fleet.copies().calls();
        for (int n = 0; n < 50; ++n)
        {
            const int earlier = fleet.copies().calls();
            fleet.run({100});
            most_at_once = std::max(most_at_once, fleet.copies().calls() - earlier);
        }
        // A router that reads makes two calls.
        const int calls = fleet.copies().calls() - before;
        CAPTURE(routers, calls, most_at_once);
        REQUIRE(fleet.oldest() <= site.bound);
        REQUIRE(calls < static_cast<int>(routers) + polls_of_primary);
        REQUIRE(most_at_once < static_cast<int>(routers) / 4 + polls_of_primary);
    }
}
