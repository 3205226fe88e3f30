#pragma once

#include "model.h"

#include <cmath>

namespace peridotramp {

/// Load of agent programs of one workspace on instances of several failure domains, and the behaviour of their callers:
/// a refused request is sent again once, a turn as a whole twice more, and a program whose turn or call fails ends.
struct ProgramLoad {
    std::size_t domains = 5;
    std::size_t instances = 19;
    /// Limit of the workspace, in requests per second and as a burst.
    double rate = 8;
    std::int64_t burst = 8;
    /// Mean demand as a fraction of the rate.
    double demand = 1 / 1.6;
    /// Factor of the demand in the middle third of the run.
    double surge = 1.5;
    /// Requests of a program: turns, each of them followed by up to this number of calls at the same time.
    int turns = 4;
    int callsPerTurn = 3;
    double nearLimitFraction = QuotaDivision::Init {}.nearLimitFraction;
    double lossProbability = 0;
    /// Fraction of the tolerated overrun for quota that is held.
    double heldFraction = 0.25;
    Duration length = Seconds(30);
    unsigned seed = 1;
};

struct ProgramLoadResult {
    int begun = 0;
    /// Programs that ended within their target, and within twice that time.
    int inTime = 0;
    int late = 0;
    int requests = 0;
    /// Refusals while the whole fleet had used less than the limit; of requests of a program in progress, and of
    /// others.
    int wrongRefusals = 0;
    int wrongProgramRefusals = 0;
    std::size_t maxInWindow = 0;
    double limit = 0;

    double worth() const { return this->inTime + 0.3 * this->late; }
};

/// Plays a load; time advances in steps of 10 ms.
class ProgramLoadRun {
public:
    explicit ProgramLoadRun(const ProgramLoad& load)
        : load(load)
        , model({ .domains = load.domains,
              .instances = load.instances,
              .settings = settingsOf(load),
              .nearLimitFraction = load.nearLimitFraction,
              .lossProbability = load.lossProbability,
              .seed = load.seed })
        , random(load.seed)
    {
        this->result.limit = settingsOf(load).limit();
    }

    ProgramLoadResult play()
    {
        const auto start = this->model.now();
        // The reports of all instances have arrived before the first request.
        for (int step = 0; step < 100; ++step)
            this->model.step();
        const auto end = start + this->load.length;
        while (this->model.now() < end + Seconds(12)) {
            this->model.step();
            if (this->model.now() < end)
                this->beginPrograms((this->model.now() - start) / std::chrono::duration<double>(this->load.length));
            for (auto& program : this->programs)
                this->advance(program);
            std::erase_if(this->programs, [](const Program& program) { return program.ended; });
        }
        this->result.maxInWindow = this->model.maxInWindow;
        return this->result;
    }

private:
    static constexpr Milliseconds turnTime { 250 };
    static constexpr Milliseconds callTime { 60 };
    static constexpr Milliseconds maxWait { 55 };
    static constexpr Milliseconds retryInterval { 40 };

    // One attempt of one request.
    struct Attempt {
        TimePoint sentAt {};
        std::size_t instance = 0;
        bool isFirstTry = true;
        bool wasRefused = false;
        TimePoint nextTry {};
        std::optional<TimePoint> endsAt {};
    };
    struct Program {
        TimePoint begunAt {};
        Duration ideal {};
        int stepsLeft = 0;
        bool isTurn = true;
        bool hasBegun = false;
        bool ended = false;
        int turnFailures = 0;
        std::vector<Attempt> attempts {};
    };

    static AllowanceSettings settingsOf(const ProgramLoad& load)
    {
        AllowanceSettings settings { { load.rate }, { load.burst }, Seconds(5) };
        settings.tolerance = 0.5 * (settings.limit() * 0.1 + 20);
        settings.heldTolerance = load.heldFraction * (settings.limit() * 0.1 + 20);
        return settings;
    }

    int callsOf() { return static_cast<int>(this->random() % static_cast<unsigned>(this->load.callsPerTurn + 1)); }

    void beginPrograms(double progress)
    {
        const double requestsPerProgram = this->load.turns * (1 + this->load.callsPerTurn / 2.0);
        const bool isSurge = progress > 1.0 / 3 && progress < 2.0 / 3;
        const double perStep
            = this->load.rate * this->load.demand * (isSurge ? this->load.surge : 1) / requestsPerProgram / 100;
        for (int count = std::poisson_distribution<int>(perStep)(this->random); count > 0; --count) {
            Program program;
            program.begunAt = this->model.now();
            program.stepsLeft
                = 2 * (1 + static_cast<int>(this->random() % static_cast<unsigned>(2 * this->load.turns - 1)));
            program.ideal = program.stepsLeft / 2 * (turnTime + callTime);
            this->startStep(program, this->model.now());
            this->programs.push_back(std::move(program));
            ++this->result.begun;
        }
    }

    void startStep(Program& program, TimePoint at)
    {
        const int count = program.isTurn ? 1 : this->callsOf();
        for (int index = 0; index < count; ++index)
            program.attempts.push_back(this->newAttempt(at));
    }

    Attempt newAttempt(TimePoint at)
    {
        ++this->result.requests;
        return { .sentAt = at, .instance = this->random() % this->model.size(), .nextTry = at };
    }

    void advance(Program& program)
    {
        const auto now = this->model.now();
        for (auto& attempt : program.attempts) {
            if (!attempt.endsAt && now >= attempt.nextTry)
                this->tryAttempt(program, attempt);
            if (program.ended)
                return;
        }
        const auto isDone = [&](const Attempt& attempt) { return attempt.endsAt && *attempt.endsAt <= now; };
        if (!std::ranges::all_of(program.attempts, isDone))
            return;
        program.attempts.clear();
        program.isTurn = !program.isTurn;
        program.turnFailures = 0;
        if (--program.stepsLeft == 0)
            this->finish(program);
        else
            this->startStep(program, now);
    }

    void tryAttempt(Program& program, Attempt& attempt)
    {
        const auto now = this->model.now();
        const auto stage = program.hasBegun ? ProgramStage::Continues : ProgramStage::Begins;
        const bool admitted = this->model.ask(attempt.instance, stage, attempt.isFirstTry);
        attempt.isFirstTry = false;
        if (admitted) {
            program.hasBegun = true;
            attempt.endsAt = now + (program.isTurn ? turnTime : callTime);
            return;
        }
        attempt.nextTry = now + retryInterval;
        if (attempt.nextTry - attempt.sentAt < maxWait)
            return;
        if (static_cast<double>(this->model.inWindow()) + 1 <= this->result.limit)
            ++(stage == ProgramStage::Begins ? this->result.wrongProgramRefusals : this->result.wrongRefusals);
        this->refuse(program, attempt, stage);
    }

    void refuse(Program& program, Attempt& attempt, ProgramStage stage)
    {
        const auto now = this->model.now();
        const bool wasRefused = attempt.wasRefused;
        attempt = this->newAttempt(now + Milliseconds(stage == ProgramStage::Begins ? 600 : 200));
        attempt.wasRefused = true;
        if (!wasRefused)
            return;
        program.ended = !program.isTurn || ++program.turnFailures == 3;
        attempt = this->newAttempt(now + Milliseconds(100 + static_cast<int>(this->random() % 300)));
    }

    void finish(Program& program)
    {
        program.ended = true;
        const auto target = program.ideal * 3 / 2 + Milliseconds(250);
        const auto taken = this->model.now() - program.begunAt;
        this->result.inTime += taken <= target ? 1 : 0;
        this->result.late += taken > target && taken <= 2 * target ? 1 : 0;
    }

    ProgramLoad load;
    AllowanceModel model;
    std::mt19937 random;
    std::vector<Program> programs;
    ProgramLoadResult result;
};

} // namespace peridotramp
