#include <endivestage/daemon/metrics.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <sstream>
#include <type_traits>

namespace endivestage::daemon
{

namespace
{

bool valid_name(std::string_view name, bool colons)
{
    const auto letter = [colons](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || (colons && c == ':');
    };
    return !name.empty() && letter(name.front()) &&
           std::all_of(name.begin(), name.end(),
                       [&](char c) { return letter(c) || (c >= '0' && c <= '9'); });
}

std::string escape(std::string_view text, bool quotes)
{
    std::string escaped;
    for (char c : text)
    {
        if (c == '\\' || (quotes && c == '"'))
        {
            escaped.push_back('\\');
        }
        escaped += c == '\n' ? std::string("\\n") : std::string(1, c);
    }
    return escaped;
}

std::string format_number(double value)
{
    if (std::isnan(value))
    {
        return "NaN";
    }
    if (std::isinf(value))
    {
        return value > 0 ? "+Inf" : "-Inf";
    }
    std::ostringstream text;
    text.imbue(std::locale::classic());
    text.precision(std::numeric_limits<double>::max_digits10);
    text << value;
    return text.str();
}

std::string format_labels(const metric_labels& labels, std::string_view quantile = {})
{
    std::string text;
    for (const auto& [name, value] : labels)
    {
        text += (text.empty() ? "" : ",") + name + "=\"" + escape(value, true) + "\"";
    }
    if (!quantile.empty())
    {
        text += (text.empty() ? "" : ",") + ("quantile=\"" + std::string(quantile) + "\"");
    }
    return text.empty() ? text : "{" + text + "}";
}

void render_one(std::string& out, const std::string& name, const metric_labels& labels,
                const counter& series)
{
    out += name + format_labels(labels) + " " + std::to_string(series.value()) + "\n";
}

void render_one(std::string& out, const std::string& name, const metric_labels& labels,
                const gauge& series)
{
    out += name + format_labels(labels) + " " + format_number(series.value()) + "\n";
}

void render_one(std::string& out, const std::string& name, const metric_labels& labels,
                const distribution& series)
{
    constexpr std::array<std::string_view, 3> quantiles{"0.5", "0.95", "0.99"};
    const distribution::snapshot now = series.read();
    for (std::size_t n = 0; n < quantiles.size(); ++n)
    {
        const double value =
            now.count == 0 ? std::numeric_limits<double>::quiet_NaN() : now.quantiles[n];
        out += name + format_labels(labels, quantiles[n]) + " " + format_number(value) + "\n";
    }
    out += name + "_sum" + format_labels(labels) + " " +
           format_number(now.mean * static_cast<double>(now.count)) + "\n";
    out += name + "_count" + format_labels(labels) + " " + std::to_string(now.count) + "\n";
}

} // namespace

distribution::distribution()
    : values_(boost::accumulators::extended_p_square_probabilities = probabilities)
{
}

void distribution::observe(double value)
{
    if (!std::isfinite(value))
    {
        return;
    }
    const std::lock_guard lock(mutex_);
    values_(value);
    if (boost::accumulators::count(values_) < markers)
    {
        first_.insert(std::upper_bound(first_.begin(), first_.end(), value), value);
    }
    else
    {
        std::vector<double>().swap(first_);
    }
}

distribution::snapshot distribution::read() const
{
    const std::lock_guard lock(mutex_);
    snapshot now;
    now.count = boost::accumulators::count(values_);
    if (now.count == 0)
    {
        return now;
    }
    now.mean = boost::accumulators::mean(values_);
    for (std::size_t n = 0; n < probabilities.size(); ++n)
    {
        if (first_.empty())
        {
            now.quantiles[n] =
                boost::accumulators::extended_p_square(values_)[static_cast<std::ptrdiff_t>(n)];
            continue;
        }
        const double rank = std::ceil(probabilities[n] * static_cast<double>(first_.size()));
        now.quantiles[n] = first_[static_cast<std::size_t>(rank) - 1];
    }
    return now;
}

template <class Metric>
Metric& metrics_registry::get(std::string_view name, std::string_view help, metric_labels labels)
{
    assert(valid_name(name, true));
    for ([[maybe_unused]] const auto& [label, value] : labels)
    {
        assert(valid_name(label, false) && label != "quantile");
    }
    std::sort(labels.begin(), labels.end());
    const std::lock_guard lock(mutex_);
    auto it = families_.find(name);
    if (it == families_.end())
    {
        it = families_.emplace(std::string(name), family{std::string(help), {}}).first;
    }
    std::map<metric_labels, series>& members = it->second.members;
    assert(members.empty() ||
           std::holds_alternative<std::unique_ptr<Metric>>(members.begin()->second));
    auto member = members.find(labels);
    if (member == members.end())
    {
        member = members.emplace(std::move(labels), std::make_unique<Metric>()).first;
    }
    return *std::get<std::unique_ptr<Metric>>(member->second);
}

counter& metrics_registry::get_counter(std::string_view name, std::string_view help,
                                       metric_labels labels)
{
    return get<counter>(name, help, std::move(labels));
}

gauge& metrics_registry::get_gauge(std::string_view name, std::string_view help,
                                   metric_labels labels)
{
    return get<gauge>(name, help, std::move(labels));
}

distribution& metrics_registry::get_distribution(std::string_view name, std::string_view help,
                                                 metric_labels labels)
{
    return get<distribution>(name, help, std::move(labels));
}

std::string metrics_registry::render() const
{
    constexpr std::array<std::string_view, 3> types{"counter", "gauge", "summary"};
    const std::lock_guard lock(mutex_);
    std::string out;
    for (const auto& [name, group] : families_)
    {
        out += "# HELP " + name + " " + escape(group.help, false) + "\n";
        out += "# TYPE " + name + " ";
        out += types[group.members.begin()->second.index()];
        out += "\n";
        for (const auto& [labels, member] : group.members)
        {
            std::visit([&out, &key = name, &tags = labels](const auto& metric)
                       { render_one(out, key, tags, *metric); },
                       member);
        }
    }
    return out;
}

} // namespace endivestage::daemon
