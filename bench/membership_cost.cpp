// Measures the traffic and processor time that membership and views need per router. All routers
// run in one process in simulated time. Prints one JSON object per line. A packet counts as its
// encoded size plus 28 bytes of IP and UDP headers; a message between view agents counts as
// 200 bytes, plus the encoded view if it contains one.

#include <algorithm>
#include <boost/json.hpp>
#include <ctime>
#include <endivestage/membership.hpp>
#include <endivestage/ownership.hpp>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <vector>

using namespace endivestage;

namespace
{

constexpr std::int64_t hop_delay_ms = 1;
constexpr std::int64_t tick_interval_ms = 50;
constexpr std::size_t ip_udp_header_bytes = 28;
constexpr std::size_t agent_message_bytes = 200;

struct simulated_router
{
    simulated_router(const member& identity, random_source& random)
        : self(identity),
          detector({}, identity, random),
          agent({}, region_id("bench"), identity)
    {
    }

    member self;
    failure_detector detector;
    view_agent agent;
    bool alive = true; // A dead router neither ticks nor receives.
    std::size_t sent_bytes = 0;
    std::size_t received_bytes = 0;
    std::int64_t announcement_received_ms = -1; // Of the measured announcement.
    std::int64_t death_detected_ms = -1;        // Of the router passed to watch_for_death.
};

// All routers and the table, driven by events in simulated time (milliseconds).
class fleet
{
public:
    explicit fleet(std::size_t count) : random_(count)
    {
        std::vector<host_candidate> hosts;
        for (std::size_t n = 0; n < count; ++n)
        {
            const std::string name = std::to_string(1000 + n);
            const member identity{router_id("router-" + name),
                                  zone_id("zone-" + std::to_string(n % 7)),
                                  "10.20.30." + std::to_string(n % 250),
                                  7000,
                                  7001,
                                  1767225600000 + n,
                                  false};
            hosts.push_back({identity});
            index_[identity.id] = n;
            routers_.push_back(std::make_unique<simulated_router>(identity, random_));
        }
        for (std::size_t n = 0; n < count; ++n)
        {
            apply_actions(n, routers_[n]->detector.set_candidates(hosts, time()));
            schedule_at(now_ + static_cast<std::int64_t>(random_.below(tick_interval_ms)),
                        [this, n] { tick(n); });
        }
    }

    void run(std::int64_t duration)
    {
        const std::int64_t end = now_ + duration;
        while (events_.begin()->first < end)
        {
            const auto event = events_.extract(events_.begin());
            now_ = event.key();
            event.mapped()();
        }
        now_ = end;
    }

    void reset_counts()
    {
        for (const std::unique_ptr<simulated_router>& it : routers_)
        {
            it->sent_bytes = 0;
            it->received_bytes = 0;
        }
        table_operations_ = 0;
    }

    simulated_router& operator[](std::size_t n) { return *routers_[n]; }
    std::size_t size() const { return routers_.size(); }
    std::int64_t now() const { return now_; }
    time_point time() const { return {now_}; }
    std::size_t table_operations() const { return table_operations_; }
    void watch_for_death(std::size_t n) { watched_router_ = n; }

    // Maximum of a value over all living routers.
    template <class Value>
    std::size_t max_over_routers(Value value) const
    {
        std::size_t result = 0;
        for (const std::unique_ptr<simulated_router>& it : routers_)
        {
            result = std::max(result, static_cast<std::size_t>(it->alive ? value(*it) : 0));
        }
        return result;
    }

    // Mean of a value over all routers; dead routers count as 0.
    template <class Value>
    std::size_t mean_over_routers(Value value) const
    {
        std::size_t sum = 0;
        for (const std::unique_ptr<simulated_router>& it : routers_)
        {
            sum += static_cast<std::size_t>(it->alive ? value(*it) : 0);
        }
        return sum / routers_.size();
    }

    // Forwards the announcement along the broadcast tree of the origin, without gossip.
    void forward_down_tree(std::size_t origin, std::size_t n)
    {
        routers_[n]->announcement_received_ms = now_;
        const std::vector<member>& members = routers_[origin]->agent.current()->members;
        for (const member& child :
             broadcast_children(members, routers_[origin]->self.id, routers_[n]->self.id))
        {
            const std::size_t to = index_.at(child.id);
            schedule_at(now_ + hop_delay_ms, [=, this] { forward_down_tree(origin, to); });
        }
    }

private:
    void schedule_at(std::int64_t time_ms, std::function<void()> action)
    {
        events_.emplace(time_ms, std::move(action));
    }

    void tick(std::size_t n)
    {
        simulated_router& it = *routers_[n];
        if (it.alive)
        {
            apply_actions(n, it.detector.tick(time()));
            apply_actions(n, it.agent.tick(time()));
            schedule_at(now_ + tick_interval_ms, [this, n] { tick(n); });
        }
    }

    void update_members(std::size_t n)
    {
        simulated_router& it = *routers_[n];
        const view_pointer current = it.agent.current();
        apply_actions(n, it.agent.on_membership(
                             it.detector.live_members(time(), current ? current->members
                                                                      : std::vector<member>()),
                             time()));
    }

    // Counts a message at both ends and delivers it after the hop delay; messages to a dead router
    // are lost.
    void transfer(std::size_t from, const router_id& to_id, std::size_t bytes,
                  std::function<void(std::size_t)> deliver)
    {
        const std::size_t to = index_.at(to_id);
        routers_[from]->sent_bytes += bytes;
        if (routers_[to]->alive)
        {
            routers_[to]->received_bytes += bytes;
            schedule_at(now_ + hop_delay_ms, [to, deliver = std::move(deliver)] { deliver(to); });
        }
    }

    template <class Actions>
    void apply_actions(std::size_t n, const Actions& actions)
    {
        for (const auto& action : actions)
        {
            std::visit([&](const auto& it) { apply(n, it); }, action);
        }
    }

    void apply(std::size_t n, const send_packet& it)
    {
        const std::string text = encode_packet(it.content);
        transfer(n, it.to.id, text.size() + ip_udp_header_bytes,
                 [this, text](std::size_t to) {
                     apply_actions(
                         to, routers_[to]->detector.receive(decode_packet(text).value(), time()));
                 });
    }

    void apply(std::size_t n, const member_changed& it)
    {
        if (it.state == member_state::dead && index_.at(it.router.id) == watched_router_ &&
            routers_[n]->death_detected_ms < 0)
        {
            routers_[n]->death_detected_ms = now_;
        }
        update_members(n);
    }

    void apply(std::size_t n, const announcement_received& it)
    {
        if (it.item.key == "view")
        {
            apply_actions(n, routers_[n]->agent.on_view_number(it.item.version, time()));
        }
        else if (routers_[n]->announcement_received_ms < 0)
        {
            routers_[n]->announcement_received_ms = now_;
        }
    }

    template <class Message>
    void apply(std::size_t n, const send_message<Message>& it)
    {
        transfer(n, it.to.id, agent_message_bytes + view_bytes(it.content),
                 [this, content = it.content](std::size_t to)
                 { apply_actions(to, routers_[to]->agent.on_message(content, time())); });
    }

    std::size_t view_bytes(const view_announce& message) { return view_bytes(message.announced); }
    std::size_t view_bytes(const confirm_answer& message) { return view_bytes(message.newest); }
    std::size_t view_bytes(const confirm_request& /*message*/) { return 0; }
    std::size_t view_bytes(const view_acknowledgement& /*message*/) { return 0; }

    // The encoded size of the last view is cached, because most messages hold the same view.
    std::size_t view_bytes(const view_pointer& view)
    {
        if (view && view != last_measured_view_)
        {
            last_measured_view_ = view;
            last_measured_view_bytes_ = encode_view(*view).size();
        }
        return view ? last_measured_view_bytes_ : 0;
    }

    void apply(std::size_t n, const view_adopted& it)
    {
        apply_actions(n, routers_[n]->detector.add_view_members(it.adopted->members, time()));
        routers_[n]->detector.announce({"view", "", it.adopted->number});
        update_members(n);
    }

    void apply(std::size_t /*n*/, const ownership_acquired& /*it*/) {}
    void apply(std::size_t /*n*/, const ownership_lost& /*it*/) {}

    void apply(std::size_t n, const table_request& request)
    {
        ++table_operations_;
        const table_operation& it = request.operation;
        using kind = table_operation::kind;
        using outcome = table_result::outcome;
        const bool version_matches =
            it.what == kind::insert ? row_.version == 0 : it.expected_version == row_.version;
        table_result answer{outcome::applied, row_};
        if (it.what == kind::read)
        {
            answer.what = row_.version == 0 ? outcome::not_found : outcome::applied;
        }
        else if (version_matches)
        {
            row_ = {it.key, row_.version + 1, it.value};
            answer.row = row_;
        }
        else
        {
            answer.what = outcome::conflict;
        }
        schedule_at(now_ + 5,
                    [=, this, token = request.token] {
                        apply_actions(n, routers_[n]->agent.on_table_result(token, answer, time()));
                    });
    }

    seeded_random random_;
    std::vector<std::unique_ptr<simulated_router>> routers_;
    std::map<router_id, std::size_t> index_;
    std::multimap<std::int64_t, std::function<void()>> events_;
    std::int64_t now_ = 0;
    table_row row_;
    std::size_t table_operations_ = 0;
    std::size_t watched_router_ = 0;
    view_pointer last_measured_view_;
    std::size_t last_measured_view_bytes_ = 0;
};

// Returns the time until all routers received the announcement and resets the records of it.
std::int64_t dissemination_ms(fleet& routers, std::int64_t from)
{
    std::int64_t last = 0;
    for (std::size_t n = 0; n < routers.size(); ++n)
    {
        const std::int64_t received_ms = routers[n].announcement_received_ms;
        if (received_ms < 0 && routers[n].alive)
        {
            return -1; // Some router did not receive it during the run.
        }
        last = std::max(last, received_ms - from);
        routers[n].announcement_received_ms = -1;
    }
    return last;
}

std::size_t sent(const simulated_router& it)
{
    return it.sent_bytes;
}

std::size_t received(const simulated_router& it)
{
    return it.received_bytes;
}

void measure_quiet(fleet& routers, boost::json::object& line)
{
    constexpr std::size_t seconds = 30;
    routers.reset_counts();
    const std::clock_t before = std::clock();
    routers.run(static_cast<std::int64_t>(seconds) * 1000);
    const double cpu_us =
        1e6 * static_cast<double>(std::clock() - before) / static_cast<double>(CLOCKS_PER_SEC);
    line["quiet_sent_bytes_per_s"] = routers.mean_over_routers(sent) / seconds;
    line["quiet_received_bytes_per_s"] = routers.mean_over_routers(received) / seconds;
    line["quiet_largest_received_bytes_per_s"] = routers.max_over_routers(received) / seconds;
    line["quiet_table_operations_per_s"] =
        static_cast<double>(routers.table_operations()) / static_cast<double>(seconds);
    line["cpu_us_per_router_s"] = cpu_us / static_cast<double>(seconds * routers.size());
}

void measure_dissemination(fleet& routers, boost::json::object& line)
{
    const std::int64_t push_start = routers.now();
    routers.forward_down_tree(1, 1);
    routers.run(1000);
    line["push_ms"] = dissemination_ms(routers, push_start);
    const std::int64_t announced = routers.now();
    routers[1].detector.announce({"configuration", "digest", 2});
    routers[1].announcement_received_ms = announced;
    routers.run(30000);
    line["gossip_alone_ms"] = dissemination_ms(routers, announced);
}

void measure_death(fleet& routers, boost::json::object& line)
{
    const std::uint64_t before = routers[1].agent.current()->number;
    const std::int64_t death_time = routers.now();
    routers[0].alive = false;
    routers.watch_for_death(0);
    routers.reset_counts();
    std::int64_t active_everywhere_ms = -1;
    for (int step = 0; step < 600; ++step)
    {
        routers.run(100);
        bool active_everywhere = true;
        for (std::size_t n = 1; n < routers.size(); ++n)
        {
            const view_pointer current = routers[n].agent.current();
            active_everywhere = active_everywhere && current->number > before &&
                                current->state == view_state::active;
        }
        active_everywhere_ms = active_everywhere && active_everywhere_ms < 0
                                   ? routers.now() - death_time
                                   : active_everywhere_ms;
    }
    std::int64_t first_detection_ms = -1;
    for (std::size_t n = 1; n < routers.size(); ++n)
    {
        const std::int64_t detected_ms = routers[n].death_detected_ms;
        first_detection_ms = detected_ms >= 0 && (first_detection_ms < 0 ||
                                                  detected_ms - death_time < first_detection_ms)
                                 ? detected_ms - death_time
                                 : first_detection_ms;
    }
    line["death_detected_first_ms"] = first_detection_ms;
    line["death_detected_all_ms"] =
        routers.max_over_routers([](const simulated_router& it) { return it.death_detected_ms; }) -
        death_time;
    line["view_without_it_active_everywhere_ms"] = active_everywhere_ms;
    line["change_sent_bytes"] = routers.mean_over_routers(sent);
    line["change_largest_sent_bytes"] = routers.max_over_routers(sent);
}

} // namespace

// Arguments: fleet sizes in routers; the default is 50 100 200 400.
int main(int argc, char** argv)
{
    std::vector<std::size_t> counts;
    for (int n = 1; n < argc; ++n)
    {
        counts.push_back(std::stoul(argv[n]));
    }
    if (counts.empty())
    {
        counts = {50, 100, 200, 400};
    }
    for (const std::size_t count : counts)
    {
        fleet routers(count);
        routers.run(60000);
        const view_pointer current = routers[0].agent.current();
        boost::json::object line{{"routers", count},
                                 {"members", current->members.size()},
                                 {"view_number", current->number},
                                 {"view_bytes", encode_view(*current).size()}};
        measure_quiet(routers, line);
        measure_dissemination(routers, line);
        measure_death(routers, line);
        std::cout << boost::json::serialize(line) << std::endl;
    }
}
