// Measures what membership and views cost a router, with all routers in one process and fake time.
// Prints one JSON object a line. Packets are counted by their encoded size plus 28 bytes of IP and
// UDP header; a message between view agents as 200 bytes, plus the encoded view when it holds one.

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

constexpr std::int64_t hop_ms = 1;
constexpr std::int64_t tick_ms = 50;
constexpr std::size_t udp_header = 28;
constexpr std::size_t agent_message = 200;

struct node
{
    node(const member& who, random_source& random)
        : self(who),
          detector({}, who, random),
          agent({}, region_id("bench"), who)
    {
    }

    member self;
    failure_detector detector;
    view_agent agent;
    bool alive = true;
    std::size_t sent = 0;
    std::size_t received = 0;
    std::int64_t heard_at = -1; // of the announcement under test
    std::int64_t saw_death_at = -1;
};

class fleet
{
public:
    explicit fleet(std::size_t count) : random_(count)
    {
        std::vector<host_candidate> hosts;
        for (std::size_t n = 0; n < count; ++n)
        {
            const std::string name = std::to_string(1000 + n);
            const member who{router_id("router-" + name),
                             zone_id("zone-" + std::to_string(n % 7)),
                             "10.20.30." + std::to_string(n % 250),
                             7000,
                             7001,
                             1767225600000 + n,
                             false};
            hosts.push_back({who});
            index_[who.id] = n;
            nodes_.push_back(std::make_unique<node>(who, random_));
        }
        for (std::size_t n = 0; n < count; ++n)
        {
            act(n, nodes_[n]->detector.set_candidates(hosts, time()));
            at(now_ + static_cast<std::int64_t>(random_.below(tick_ms)), [this, n] { tick(n); });
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
        for (const std::unique_ptr<node>& it : nodes_)
        {
            it->sent = 0;
            it->received = 0;
        }
        table_operations_ = 0;
    }

    node& operator[](std::size_t n) { return *nodes_[n]; }
    std::size_t size() const { return nodes_.size(); }
    std::int64_t now() const { return now_; }
    time_point time() const { return {now_}; }
    std::size_t table_operations() const { return table_operations_; }
    void watch_death(std::size_t n) { watched_ = n; }

    template <class Value>
    std::size_t largest(Value value) const
    {
        std::size_t most = 0;
        for (const std::unique_ptr<node>& it : nodes_)
        {
            most = std::max(most, static_cast<std::size_t>(it->alive ? value(*it) : 0));
        }
        return most;
    }

    template <class Value>
    std::size_t mean(Value value) const
    {
        std::size_t sum = 0;
        for (const std::unique_ptr<node>& it : nodes_)
        {
            sum += static_cast<std::size_t>(it->alive ? value(*it) : 0);
        }
        return sum / nodes_.size();
    }

    // Passes an announcement along the tree only.
    void push(std::size_t origin, std::size_t n)
    {
        nodes_[n]->heard_at = now_;
        const std::vector<member>& members = nodes_[origin]->agent.current()->members;
        for (const member& child :
             broadcast_children(members, nodes_[origin]->self.id, nodes_[n]->self.id))
        {
            const std::size_t to = index_.at(child.id);
            at(now_ + hop_ms, [=, this] { push(origin, to); });
        }
    }

private:
    void at(std::int64_t when, std::function<void()> what)
    {
        events_.emplace(when, std::move(what));
    }

    void tick(std::size_t n)
    {
        node& it = *nodes_[n];
        if (it.alive)
        {
            act(n, it.detector.tick(time()));
            act(n, it.agent.tick(time()));
            at(now_ + tick_ms, [this, n] { tick(n); });
        }
    }

    void update_members(std::size_t n)
    {
        node& it = *nodes_[n];
        const view_pointer in = it.agent.current();
        act(n, it.agent.on_membership(
                   it.detector.live_members(time(), in ? in->members : std::vector<member>()),
                   time()));
    }

    void transfer(std::size_t from, const router_id& to_id, std::size_t bytes,
                  std::function<void(std::size_t)> deliver)
    {
        const std::size_t to = index_.at(to_id);
        nodes_[from]->sent += bytes;
        if (nodes_[to]->alive)
        {
            nodes_[to]->received += bytes;
            at(now_ + hop_ms, [to, deliver = std::move(deliver)] { deliver(to); });
        }
    }

    template <class Actions>
    void act(std::size_t n, const Actions& actions)
    {
        for (const auto& action : actions)
        {
            std::visit([&](const auto& it) { perform(n, it); }, action);
        }
    }

    void perform(std::size_t n, const send_packet& it)
    {
        const std::string text = encode_packet(it.content);
        transfer(n, it.to.id, text.size() + udp_header,
                 [this, text](std::size_t to)
                 { act(to, nodes_[to]->detector.receive(decode_packet(text).value(), time())); });
    }

    void perform(std::size_t n, const member_changed& it)
    {
        if (it.state == member_state::dead && index_.at(it.router.id) == watched_ &&
            nodes_[n]->saw_death_at < 0)
        {
            nodes_[n]->saw_death_at = now_;
        }
        update_members(n);
    }

    void perform(std::size_t n, const announcement_received& it)
    {
        if (it.item.key == "view")
        {
            act(n, nodes_[n]->agent.on_view_number(it.item.version, time()));
        }
        else if (nodes_[n]->heard_at < 0)
        {
            nodes_[n]->heard_at = now_;
        }
    }

    template <class Message>
    void perform(std::size_t n, const send_message<Message>& it)
    {
        transfer(n, it.to.id, agent_message + view_bytes(it.content),
                 [this, content = it.content](std::size_t to)
                 { act(to, nodes_[to]->agent.on_message(content, time())); });
    }

    std::size_t view_bytes(const view_announce& message) { return view_bytes(message.announced); }
    std::size_t view_bytes(const confirm_answer& message) { return view_bytes(message.newest); }
    std::size_t view_bytes(const confirm_request& /*message*/) { return 0; }
    std::size_t view_bytes(const view_acknowledgement& /*message*/) { return 0; }

    std::size_t view_bytes(const view_pointer& in)
    {
        if (in && in != measured_)
        {
            measured_ = in;
            measured_bytes_ = encode_view(*in).size();
        }
        return in ? measured_bytes_ : 0;
    }

    void perform(std::size_t n, const view_adopted& it)
    {
        act(n, nodes_[n]->detector.add_view_members(it.adopted->members, time()));
        nodes_[n]->detector.announce({"view", "", it.adopted->number});
        update_members(n);
    }

    void perform(std::size_t /*n*/, const ownership_acquired& /*it*/) {}
    void perform(std::size_t /*n*/, const ownership_lost& /*it*/) {}

    void perform(std::size_t n, const table_request& request)
    {
        ++table_operations_;
        const table_operation& it = request.operation;
        using kind = table_operation::kind;
        using outcome = table_result::outcome;
        const bool fits =
            it.what == kind::insert ? row_.version == 0 : it.expected_version == row_.version;
        table_result answer{outcome::applied, row_};
        if (it.what == kind::read)
        {
            answer.what = row_.version == 0 ? outcome::not_found : outcome::applied;
        }
        else if (fits)
        {
            row_ = {it.key, row_.version + 1, it.value};
            answer.row = row_;
        }
        else
        {
            answer.what = outcome::conflict;
        }
        at(now_ + 5, [=, this, token = request.token]
           { act(n, nodes_[n]->agent.on_table_result(token, answer, time())); });
    }

    seeded_random random_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::map<router_id, std::size_t> index_;
    std::multimap<std::int64_t, std::function<void()>> events_;
    std::int64_t now_ = 0;
    table_row row_;
    std::size_t table_operations_ = 0;
    std::size_t watched_ = 0;
    view_pointer measured_;
    std::size_t measured_bytes_ = 0;
};

std::int64_t spread_ms(fleet& routers, std::int64_t from)
{
    std::int64_t last = 0;
    for (std::size_t n = 0; n < routers.size(); ++n)
    {
        const std::int64_t heard = routers[n].heard_at;
        if (heard < 0 && routers[n].alive)
        {
            return -1; // Did not reach all within the run.
        }
        last = std::max(last, heard - from);
        routers[n].heard_at = -1;
    }
    return last;
}

std::size_t sent(const node& it)
{
    return it.sent;
}

std::size_t received(const node& it)
{
    return it.received;
}

void measure_quiet(fleet& routers, boost::json::object& line)
{
    constexpr std::size_t seconds = 30;
    routers.reset_counts();
    const std::clock_t before = std::clock();
    routers.run(static_cast<std::int64_t>(seconds) * 1000);
    const double cpu_us =
        1e6 * static_cast<double>(std::clock() - before) / static_cast<double>(CLOCKS_PER_SEC);
    line["quiet_sent_bytes_per_s"] = routers.mean(sent) / seconds;
    line["quiet_received_bytes_per_s"] = routers.mean(received) / seconds;
    line["quiet_largest_received_bytes_per_s"] = routers.largest(received) / seconds;
    line["quiet_table_operations_per_s"] =
        static_cast<double>(routers.table_operations()) / static_cast<double>(seconds);
    line["cpu_us_per_router_s"] = cpu_us / static_cast<double>(seconds * routers.size());
}

void measure_spread(fleet& routers, boost::json::object& line)
{
    const std::int64_t pushed = routers.now();
    routers.push(1, 1);
    routers.run(1000);
    line["push_ms"] = spread_ms(routers, pushed);
    const std::int64_t announced = routers.now();
    routers[1].detector.announce({"configuration", "digest", 2});
    routers[1].heard_at = announced;
    routers.run(30000);
    line["gossip_alone_ms"] = spread_ms(routers, announced);
}

void measure_death(fleet& routers, boost::json::object& line)
{
    const std::uint64_t before = routers[1].agent.current()->number;
    const std::int64_t killed = routers.now();
    routers[0].alive = false;
    routers.watch_death(0);
    routers.reset_counts();
    std::int64_t in_force = -1;
    for (int step = 0; step < 600; ++step)
    {
        routers.run(100);
        bool everywhere = true;
        for (std::size_t n = 1; n < routers.size(); ++n)
        {
            const view_pointer in = routers[n].agent.current();
            everywhere = everywhere && in->number > before && in->state == view_state::active;
        }
        in_force = everywhere && in_force < 0 ? routers.now() - killed : in_force;
    }
    std::int64_t first = -1;
    for (std::size_t n = 1; n < routers.size(); ++n)
    {
        const std::int64_t seen = routers[n].saw_death_at;
        first = seen >= 0 && (first < 0 || seen - killed < first) ? seen - killed : first;
    }
    line["death_detected_first_ms"] = first;
    line["death_detected_all_ms"] =
        routers.largest([](const node& it) { return it.saw_death_at; }) - killed;
    line["view_without_it_active_everywhere_ms"] = in_force;
    line["change_sent_bytes"] = routers.mean(sent);
    line["change_largest_sent_bytes"] = routers.largest(sent);
}

} // namespace

// Arguments: numbers of routers; 50, 100, 200 and 400 without arguments.
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
        const view_pointer in = routers[0].agent.current();
        boost::json::object line{{"routers", count},
                                 {"members", in->members.size()},
                                 {"view_number", in->number},
                                 {"view_bytes", encode_view(*in).size()}};
        measure_quiet(routers, line);
        measure_spread(routers, line);
        measure_death(routers, line);
        std::cout << boost::json::serialize(line) << std::endl;
    }
}
