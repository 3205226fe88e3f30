#include "peridotramp/core.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <fmt/format.h>

namespace peridotramp {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles { 0.5, 0.95, 0.99 };

using Distribution = acc::accumulator_set<double,
    acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max, acc::tag::extended_p_square_quantile>>;

struct MetricShard {
    std::map<std::string, double> counters;
    std::map<std::string, double> gauges;
    std::map<std::string, Distribution> distributions;
};

// Inserts a suffix and another label into `name{labels}`.
std::string seriesName(const std::string& name, std::string_view suffix, std::string_view label)
{
    const auto brace = name.find('{');
    const auto base = name.substr(0, brace);
    std::string labels = brace == std::string::npos ? "" : name.substr(brace + 1, name.size() - brace - 2);
    if (!label.empty())
        labels += (labels.empty() ? "" : ",") + std::string(label);
    if (labels.empty())
        return fmt::format("peridotramp_{}{}", base, suffix);
    return fmt::format("peridotramp_{}{}{{{}}}", base, suffix, labels);
}

void appendDistribution(std::string& text, const std::string& name, const Distribution& distribution)
{
    text += fmt::format("{} {}\n", seriesName(name, "_count", ""), acc::count(distribution));
    text += fmt::format("{} {}\n", seriesName(name, "_mean", ""), acc::mean(distribution));
    text += fmt::format("{} {}\n", seriesName(name, "_max", ""), acc::max(distribution));
    for (const auto probability : quantiles) {
        const auto value = acc::quantile(distribution, acc::quantile_probability = probability);
        text += fmt::format("{} {}\n", seriesName(name, "", fmt::format("quantile=\"{}\"", probability)), value);
    }
}

} // namespace

struct Metrics::State {
    mutable Sharded<MetricShard> shards;
};

Metrics::Metrics()
    : state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(const std::string& name, double amount)
{
    this->state->shards.with(hashBytes(name), [&](MetricShard& shard) { shard.counters[name] += amount; });
}

void Metrics::set(const std::string& name, double value)
{
    this->state->shards.with(hashBytes(name), [&](MetricShard& shard) { shard.gauges[name] = value; });
}

void Metrics::observe(const std::string& name, double value)
{
    this->state->shards.with(hashBytes(name), [&](MetricShard& shard) {
        auto found = shard.distributions.find(name);
        if (found == shard.distributions.end())
            found = shard.distributions.emplace(name, Distribution(acc::extended_p_square_probabilities = quantiles))
                        .first;
        found->second(value);
    });
}

std::string Metrics::toText() const
{
    std::map<std::string, double> values;
    std::string text;
    this->state->shards.forEach([&](MetricShard& shard) {
        values.insert(shard.counters.begin(), shard.counters.end());
        values.insert(shard.gauges.begin(), shard.gauges.end());
        for (const auto& [name, distribution] : shard.distributions)
            appendDistribution(text, name, distribution);
    });
    for (const auto& [name, value] : values)
        text += fmt::format("{} {}\n", seriesName(name, "", ""), value);
    return text;
}

} // namespace peridotramp
