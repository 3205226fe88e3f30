#include "peridotramp/programs.h"

#include <CLI/CLI.hpp>
#include <cmath>
#include <fmt/format.h>
#include <malloc.h>

// Drives a program table as its owner would, with a log that confirms at once, and measures memory, log volume and
// time per turn at several numbers of programs.

using namespace peridotramp;

namespace {

const PartitionId partition { 1 };
const WorkspaceId workspace { 2 };
constexpr Authority acting { true, true };

struct Options {
    std::size_t turns = 4;
    std::size_t inputBytes = 200;
    std::size_t outputBytes = 400;
};

struct Measurement {
    std::size_t programs = 0;
    double bytesPerProgram = 0;
    double bytesPerTurn = 0;
    double logBytesPerTurn = 0;
    double turnsPerSecond = 0;
    double nanosecondsPerTurn = 0;
};

/// Bytes of a record's fields, close to its encoded length.
struct RecordSize {
    std::size_t operator()(const TurnCommitted& record) const
    {
        constexpr std::size_t fixed = 72;
        return fixed + record.input.size() + record.output.size();
    }
    std::size_t operator()(const ProgramBegun&) const { return 80; }
    std::size_t operator()(const BudgetReserved&) const { return 24; }
    template <typename Record> std::size_t operator()(const Record&) const { return 32; }
};

class Bench {
public:
    explicit Bench(const Options& options)
        : options(options)
    {
        this->table.takeOver(this->now, partition, Epoch { 1 }, true);
    }

    void begin()
    {
        const Budget budget { { 1000000 }, { 100 }, Seconds(86400), { 0 } };
        const auto started = this->table.begin(this->now, { partition, workspace, ProgramId {}, budget }, acting);
        this->append(started->records);
        this->programs.push_back({ started->program, {} });
    }

    /// One call of the given program from admission to its recorded turn.
    void call(std::size_t index)
    {
        auto& [program, digest] = this->programs[index];
        const auto turn = this->turnsDone / static_cast<std::int64_t>(this->programs.size()) + 1;
        CallRequest request { program, workspace, CallId { this->nextCall++ }, { turn }, digest, {},
            std::string(this->options.inputBytes, 'i'), { 2000 } };
        auto decision = this->table.admitCall(this->now, request, acting);
        if (const auto* first = std::get_if<ClaimFirst>(&decision)) {
            this->append(first->records);
            decision = this->table.resolveClaim(
                this->now, program, request.call, first->attempt, AppendState::Confirmed, acting);
        }
        const auto& dispatch = std::get<DispatchNow>(decision);
        this->append(dispatch.records);
        const auto finished = this->table.finishCall(this->now, program, request.call, dispatch.attempt,
            CallCompleted { std::string(this->options.outputBytes, 'o'), { 500 } }, acting);
        this->append(finished->records);
        digest = finished->digest;
        ++this->turnsDone;
    }

    std::size_t logBytes = 0;

private:
    void append(const std::vector<PartitionRecord>& records)
    {
        for (const auto& record : records) {
            this->logBytes += std::visit(RecordSize {}, record);
            this->table.confirm(this->now, partition, record);
        }
    }

    Options options;
    ProgramTable table;
    TimePoint now { Seconds(1) };
    std::vector<std::pair<ProgramId, Digest>> programs;
    std::uint64_t nextCall = 1;
    std::int64_t turnsDone = 0;
};

double heapBytes() { return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd); }

Measurement measure(std::size_t programs, const Options& options)
{
    Measurement result { programs };
    const auto initialBytes = heapBytes();
    Bench bench(options);
    for (std::size_t index = 0; index < programs; ++index)
        bench.begin();
    const auto bytesAfterBegin = heapBytes();
    bench.logBytes = 0;
    const auto started = std::chrono::steady_clock::now();
    for (std::size_t turn = 0; turn < options.turns; ++turn)
        for (std::size_t index = 0; index < programs; ++index)
            bench.call(index);
    const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - started;
    const auto turns = static_cast<double>(programs * options.turns);
    result.bytesPerProgram = (bytesAfterBegin - initialBytes) / static_cast<double>(programs);
    result.bytesPerTurn = (heapBytes() - bytesAfterBegin) / turns;
    result.logBytesPerTurn = static_cast<double>(bench.logBytes) / turns;
    result.nanosecondsPerTurn = elapsed.count() / turns;
    result.turnsPerSecond = 1e9 / result.nanosecondsPerTurn;
    return result;
}

/// Exponent of the time per turn over the number of programs; 0 means that it does not grow.
double growthExponent(const Measurement& small, const Measurement& large)
{
    return std::log(large.nanosecondsPerTurn / small.nanosecondsPerTurn)
        / std::log(static_cast<double>(large.programs) / static_cast<double>(small.programs));
}

} // namespace

int main(int argc, char** argv)
{
    Options options;
    CLI::App app { "Measures memory, log volume and time per turn of the program table." };
    app.add_option("--turns", options.turns, "Turns per program")->check(CLI::PositiveNumber);
    app.add_option("--input-bytes", options.inputBytes, "Bytes that a call adds to the history");
    app.add_option("--output-bytes", options.outputBytes, "Bytes of a call's answer");
    CLI11_PARSE(app, argc, argv);

    fmt::print("{:>9} {:>14} {:>11} {:>15} {:>9} {:>10}\n", "programs", "bytes/program", "bytes/turn", "log bytes/turn",
        "turns/s", "ns/turn");
    std::vector<Measurement> rows;
    for (const std::size_t programs : { 1000, 5000, 15000, 45000 }) {
        const auto row = rows.emplace_back(measure(programs, options));
        fmt::print("{:>9} {:>14.0f} {:>11.0f} {:>15.0f} {:>9.0f} {:>10.0f}\n", row.programs, row.bytesPerProgram,
            row.bytesPerTurn, row.logBytesPerTurn, row.turnsPerSecond, row.nanosecondsPerTurn);
    }
    for (const auto& row : rows)
        fmt::print("programs={} bytes_per_program={:.0f} bytes_per_turn={:.0f} log_bytes_per_turn={:.0f} "
                   "turns_per_second={:.0f} ns_per_turn={:.0f}\n",
            row.programs, row.bytesPerProgram, row.bytesPerTurn, row.logBytesPerTurn, row.turnsPerSecond,
            row.nanosecondsPerTurn);
    fmt::print("payload_bytes_per_turn={} growth_exponent={:.3f}\n", options.inputBytes + options.outputBytes,
        growthExponent(rows.front(), rows.back()));
}
