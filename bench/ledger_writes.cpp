// Measures the table operations per non-idempotent request, and the rate of requests that a table
// with 400 transactions per second sustains with and without grouped writes. Prints one JSON object
// per line. Time is simulated in steps, so the figures are the same on every machine.
#include <endivestage/ledger.hpp>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace endivestage;

namespace
{

// Offset of wall-clock time from monotonic time, in milliseconds since the Unix epoch.
constexpr std::int64_t epoch = 1'780'000'000'000;
constexpr millis run_time{5'000};
constexpr millis endpoint_time{50};

struct running_request
{
    std::unique_ptr<request_attempt> attempt;
    bool answered = false;
};

struct totals
{
    std::uint64_t requests = 0;
    std::uint64_t done = 0;
    std::uint64_t operations = 0;
    std::uint64_t transactions = 0;
    std::size_t max_queue_length = 0;
};

/// Routers that send their write groups to one table, which processes one transaction per 2.5 ms on
/// average.
class simulation
{
public:
    simulation(double requests_per_s, std::size_t routers, std::size_t group_size,
               millis group_wait)
        : requests_per_s_(requests_per_s),
          batches_(routers, write_batch(group_size, group_wait))
    {
    }

    totals run()
    {
        for (now_ = {0}; now_ < time_point{run_time.count}; now_ = now_ + millis{1})
        {
            start_requests();
            flush_batches();
            deliver_endpoint_answers();
            process_transactions();
            totals_.max_queue_length = std::max(totals_.max_queue_length, queue_.size());
        }
        return totals_;
    }

private:
    current_time now() const { return {now_, now_ + millis{epoch}}; }

    void start_requests()
    {
        request_credit_ += requests_per_s_ / 1000.0;
        for (; request_credit_ >= 1.0; request_credit_ -= 1.0)
        {
            const std::uint64_t request_number = totals_.requests++;
            attempt_request request;
            request.team = team_id("t");
            request.key =
                std::to_string(epoch + now_.since_epoch) + '-' + std::to_string(request_number);
            request.body_digest = "0123456789abcdef";
            request.attempt = attempt_id(request.key);
            request.router = router_id("r");
            request.deadline = now_ + millis{2000};
            running_request& it = running_[request_number];
            it.attempt = std::make_unique<request_attempt>(request, config_, random_);
            apply_actions(request_number, it.attempt->start(now()));
        }
    }

    void apply_actions(std::uint64_t request_number, const attempt_actions& actions)
    {
        for (const attempt_action& it : actions)
        {
            if (const auto* op = std::get_if<submit_operation>(&it))
            {
                ++totals_.operations;
                write_batch& batch = batches_[request_number % batches_.size()];
                enqueue(batch.add(request_number, op->operation, now_));
            }
            else if (std::holds_alternative<send_to_endpoint>(it))
            {
                endpoints_.emplace_back(now_ + endpoint_time, request_number);
            }
            else if (const auto* answer = std::get_if<answer_caller>(&it))
            {
                totals_.done += answer->ran == execution::done ? 1 : 0;
            }
            else
            {
                running_.erase(request_number);
            }
        }
    }

    void enqueue(std::optional<write_batch::group> group)
    {
        if (group)
        {
            queue_.push_back(*std::move(group));
        }
    }

    void flush_batches()
    {
        for (write_batch& batch : batches_)
        {
            enqueue(batch.take_due(now_));
        }
    }

    void deliver_endpoint_answers()
    {
        while (!endpoints_.empty() && endpoints_.front().first <= now_)
        {
            const std::uint64_t request_number = endpoints_.front().second;
            endpoints_.pop_front();
            const endpoint_answered answer{{200, "{\"parcel\":1}"}};
            apply_actions(request_number,
                          running_.at(request_number).attempt->on_endpoint_outcome(answer, now()));
        }
    }

    void process_transactions()
    {
        for (transaction_credit_ = std::min(transaction_credit_ + 0.4, 1.4);
             transaction_credit_ >= 1.0 && !queue_.empty(); transaction_credit_ -= 1.0)
        {
            ++totals_.transactions;
            const write_batch::group group = std::move(queue_.front());
            queue_.pop_front();
            for (const batched_operation& it : group)
            {
                const table_row row{it.operation.key, it.operation.expected_version + 1,
                                    it.operation.value};
                const table_result result{table_result::outcome::applied, row};
                apply_actions(it.ticket,
                              running_.at(it.ticket).attempt->on_table_result(result, now()));
            }
        }
    }

    const ledger_config config_;
    seeded_random random_{1};
    double requests_per_s_;
    std::vector<write_batch> batches_;
    std::map<std::uint64_t, running_request> running_;
    std::deque<std::pair<time_point, std::uint64_t>> endpoints_;
    std::deque<write_batch::group> queue_;
    time_point now_;
    double request_credit_ = 0.0;
    double transaction_credit_ = 0.0;
    totals totals_;
};

/// \returns Whether the table sustains \p rate: its queue never exceeds 40 transactions, which are
/// 100 ms of work, and at the end no more requests are unfinished than arrive in one second.
bool keeps_up(double rate, std::size_t routers, std::size_t group, millis wait)
{
    const totals results = simulation(rate, routers, group, wait).run();
    const double last_second_requests = rate * 1.0;
    return results.max_queue_length <= 40 &&
           static_cast<double>(results.done) + last_second_requests >=
               static_cast<double>(results.requests);
}

/// Finds the highest sustained request rate to within 1 % and prints it.
void print_capacity(std::size_t routers, std::size_t group, millis wait)
{
    double low_rate = 1.0;
    double high_rate = 20000.0;
    while (high_rate - low_rate > low_rate / 100.0)
    {
        const double mid_rate = (low_rate + high_rate) / 2.0;
        (keeps_up(mid_rate, routers, group, wait) ? low_rate : high_rate) = mid_rate;
    }
    const totals results = simulation(low_rate, routers, group, wait).run();
    const auto per_request = [&](std::uint64_t n)
    {
        return static_cast<double>(n) / static_cast<double>(results.requests);
    };
    std::printf("{\"bench\":\"ledger_writes\",\"routers\":%zu,\"group_size\":%zu,"
                "\"group_wait_ms\":%lld,\"transactions_per_s\":400,\"requests_per_s\":%.0f,"
                "\"operations_per_request\":%.2f,\"transactions_per_request\":%.2f}\n",
                routers, group, static_cast<long long>(wait.count), low_rate,
                per_request(results.operations), per_request(results.transactions));
}

} // namespace

int main()
{
    for (const std::size_t routers : {1U, 3U, 9U, 400U})
    {
        print_capacity(routers, 1, millis{0});
        print_capacity(routers, 64, millis{5});
    }
    return 0;
}
