#include "report.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace measure {

namespace {

struct Row {
    std::string_view name;
    double Measures::* member;
    /// Largest ratio to the baseline that meets the target; zero for rows without a target.
    double target;
    bool moreIsBetter;
    /// Weights in the scores of kalahari and longgrass: what section 1 of the design calls the users' priorities
    /// counts 0.4 and 0.3, the rest 0.1 each.
    std::array<double, 2> weights;
};

const std::vector<Row> rows {
    { "program latency p50 s", &Measures::p50, 0, false, {} },
    { "program latency p95 s", &Measures::p95, 0.5, false, { 0.1, 0.4 } },
    { "program latency p99 s", &Measures::p99, 0, false, {} },
    { "recomputed prefill share", &Measures::recomputedShare, 0.3, false, { 0.1, 0.1 } },
    { "worst workspace slowdown", &Measures::worstSlowdown, 0.5, false, { 0.4, 0.1 } },
    { "wrongful refusals per 1000", &Measures::wrongfulPerThousand, 0.1, false, { 0.3, 0.1 } },
    { "goodput in move programs/min", &Measures::transitionGoodput, 1, true, {} },
    { "latency p95 in move s", &Measures::transitionP95, 1, false, { 0.1, 0.3 } },
    { "utilisation of main group", &Measures::utilisation, 0, false, {} },
    { "engine crashes", &Measures::crashes, 0, false, {} },
    { "unfinished programs", &Measures::unfinished, 0, false, {} },
};

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

double median(const std::vector<double>& values) { return percentile(values, 0.5); }

double ratio(double value, double baseline)
{
    if (baseline > 0)
        return value / baseline;
    return value > 0 ? std::numeric_limits<double>::infinity() : 1;
}

std::vector<double> column(const Series& series, double Measures::* member)
{
    std::vector<double> values;
    std::ranges::transform(
        series.bySeed, std::back_inserter(values), [member](const Measures& m) { return m.*member; });
    return values;
}

std::vector<double> ratios(const Series& series, const Series& baseline, double Measures::* member)
{
    auto values = column(series, member);
    const auto base = column(baseline, member);
    std::ranges::transform(values, base, values.begin(), ratio);
    return values;
}

const Series& baselineOf(const std::vector<Series>& all, const Series& series)
{
    return *std::ranges::find(all, series.deployment, &Series::deployment);
}

std::string_view targetStatus(const Row& row, double value, double medianRatio)
{
    if (row.target == 0)
        return "";
    // The ratio is meaningless when both values are 0.
    const bool isPerfect = !row.moreIsBetter && value == 0;
    const bool isMet = isPerfect || (row.moreIsBetter ? medianRatio >= row.target : medianRatio <= row.target);
    return isMet ? "met" : "NOT MET";
}

} // namespace

Measures measuresOf(const Deployment& deployment, const RunResult& result)
{
    Measures measures;
    measures.p50 = percentile(result.latencies, 0.5);
    measures.p95 = percentile(result.latencies, 0.95);
    measures.p99 = percentile(result.latencies, 0.99);
    measures.recomputedShare
        = ratio(static_cast<double>(result.recomputedTokens), static_cast<double>(result.promptTokens));
    for (std::size_t workspace = 0; workspace < deployment.workspaces.size(); ++workspace) {
        const auto& [sum, count] = result.slowdowns[workspace];
        const auto slowdown = count > 0 ? sum / static_cast<double>(count) : 0;
        measures.worstSlowdown = std::max(measures.worstSlowdown, slowdown);
    }
    measures.wrongfulPerThousand
        = 1000 * ratio(static_cast<double>(result.wrongfulRefusals), static_cast<double>(result.requests));
    const auto minutes = (deployment.transitionEnds - deployment.leavesAt) / 60;
    measures.transitionGoodput = static_cast<double>(result.transitionLatencies.size()) / minutes;
    measures.transitionP95 = percentile(result.transitionLatencies, 0.95);
    measures.utilisation = result.utilisation.front();
    measures.crashes = static_cast<double>(result.crashes);
    measures.unfinished = static_cast<double>(result.unfinished);
    return measures;
}

std::string table(const std::vector<Series>& series)
{
    std::string text;
    for (const auto& entry : series) {
        const auto& baseline = baselineOf(series, entry);
        if (&entry == &baseline)
            continue;
        text
            += fmt::format("\n{} deployment, policy {}: median over {} seeds; ratio to baseline as median [min, max]\n",
                entry.deployment, entry.policy, entry.bySeed.size());
        text += fmt::format(
            "{:<30}{:>10}{:>10}{:>8}  {:<17}{:>7}\n", "measure", "baseline", "policy", "ratio", "[min, max]", "target");
        for (const auto& row : rows) {
            const auto all = ratios(entry, baseline, row.member);
            const auto spread = fmt::format("[{:.3f}, {:.3f}]", std::ranges::min(all), std::ranges::max(all));
            const auto target = row.target > 0 ? fmt::format("{:.1f}", row.target) : "";
            text += fmt::format("{:<30}{:>10.3f}{:>10.3f}{:>8.3f}  {:<17}{:>7} {}\n", row.name,
                median(column(baseline, row.member)), median(column(entry, row.member)), median(all), spread, target,
                targetStatus(row, median(column(entry, row.member)), median(all)));
        }
    }
    return text;
}

std::string scores(const std::vector<Series>& series)
{
    constexpr std::array<std::string_view, 2> users { "kalahari", "longgrass" };
    std::string text = "\nweighted ratio to baseline, mean over seeds (less is better)\n";
    for (const auto& entry : series) {
        const auto& baseline = baselineOf(series, entry);
        if (&entry == &baseline)
            continue;
        text += fmt::format("{} deployment, policy {}:", entry.deployment, entry.policy);
        for (std::size_t user = 0; user < users.size(); ++user) {
            double score = 0;
            for (const auto& row : rows) {
                const auto all = ratios(entry, baseline, row.member);
                const auto mean = std::accumulate(all.begin(), all.end(), 0.0) / static_cast<double>(all.size());
                score += row.weights[user] > 0 ? row.weights[user] * mean : 0;
            }
            text += fmt::format("  by {} weights {:.4f}", users[user], score);
        }
        text += '\n';
    }
    return text;
}

std::string csv(const std::vector<Series>& series)
{
    std::string text = "deployment,policy,seed";
    for (const auto& row : rows)
        text += fmt::format(",{}", row.name);
    for (const auto& entry : series) {
        for (std::size_t index = 0; index < entry.bySeed.size(); ++index) {
            text += fmt::format("\n{},{},{}", entry.deployment, entry.policy, index + 1);
            for (const auto& row : rows)
                text += fmt::format(",{:.6f}", entry.bySeed[index].*row.member);
        }
    }
    return text + '\n';
}

std::string svg(const std::vector<Series>& series)
{
    static constexpr double left = 260;
    static constexpr double scale = 400;
    constexpr double lineHeight = 18;
    static constexpr double maxRatio = 1.5;
    double y = 30;
    std::string body = fmt::format("<text x='10' y='18'>Ratio to the baseline: median over seeds, minimum to maximum; "
                                   "grey: baseline, red: target</text>\n");
    for (const auto& entry : series) {
        const auto& baseline = baselineOf(series, entry);
        if (&entry == &baseline)
            continue;
        y += 2 * lineHeight;
        body += fmt::format("<text x='10' y='{:.0f}' font-weight='bold'>{} deployment, policy {}</text>\n", y,
            entry.deployment, entry.policy);
        for (const auto& row : rows) {
            if (row.target == 0)
                continue;
            y += lineHeight;
            const auto all = ratios(entry, baseline, row.member);
            const auto xOf = [](double value) { return left + scale * std::min(maxRatio, value); };
            const auto bar = xOf(median(all)) - left;
            body += fmt::format("<text x='10' y='{:.0f}'>{}</text>\n", y, row.name);
            body += fmt::format(
                "<rect x='{}' y='{:.0f}' width='{:.1f}' height='10' fill='steelblue'/>\n", left, y - 10, bar);
            body += fmt::format("<path d='M{:.1f} {:.0f}H{:.1f}' stroke='black'/>\n", xOf(std::ranges::min(all)), y - 5,
                xOf(std::ranges::max(all)));
            body += fmt::format("<path d='M{:.1f} {:.0f}v14' stroke='grey'/>\n", xOf(1), y - 12);
            body += fmt::format("<path d='M{:.1f} {:.0f}v14' stroke='red'/>\n", xOf(row.target), y - 12);
        }
    }
    return fmt::format(
        "<svg xmlns='http://www.w3.org/2000/svg' width='{:.0f}' height='{:.0f}' font-family='sans-serif' "
        "font-size='12'>\n{}</svg>\n",
        left + scale * maxRatio + 20, y + 30, body);
}

} // namespace measure
