#include "peridotramp/tokens.h"

#include <catch2/catch.hpp>
#include <random>

using namespace peridotramp;

namespace {

const TimePoint start { Seconds(100) };
const ProgramId program { 7 };
const TimePoint turnEnd = start + Seconds(3);

TokenRequest turn(std::uint64_t hold, TokenCount budget, TokenCount most)
{
    return { { hold }, budget, most, turnEnd };
}

} // namespace

TEST_CASE("a turn is admitted only by a confirmed reservation")
{
    TokenLedger ledger({ "a/1" });
    REQUIRE(ledger.admit(program, turn(1, { 1000 }, { 100 }), start) == TokenVerdict::Reserve);
    const auto reservation = ledger.request(program, { 100 });
    REQUIRE(reservation.reserved >= TokenCount { 100 });
    REQUIRE(reservation.reserved <= TokenCount { 1000 });
    REQUIRE(ledger.admit(program, turn(1, { 1000 }, { 100 }), start) == TokenVerdict::Reserve);
    ledger.confirm(reservation);
    REQUIRE(ledger.admit(program, turn(1, { 1000 }, { 100 }), start) == TokenVerdict::Covered);
}

TEST_CASE("tokens held for turns in progress count as spent until the turns end")
{
    TokenLedger ledger({ "a/1" });
    ledger.admit(program, turn(1, { 200 }, { 100 }), start);
    ledger.confirm({ program, "a/1", { 200 }, {}, ledger.request(program, { 100 }).revision });
    REQUIRE(ledger.admit(program, turn(1, { 200 }, { 100 }), start) == TokenVerdict::Covered);
    REQUIRE(ledger.admit(program, turn(2, { 200 }, { 100 }), start) == TokenVerdict::Covered);
    REQUIRE(ledger.admit(program, turn(3, { 200 }, { 100 }), start) == TokenVerdict::Spent);
    ledger.settle(program, { 1 }, { 0 }, start);
    REQUIRE(ledger.admit(program, turn(3, { 200 }, { 100 }), start) == TokenVerdict::Covered);
}

// Guards against using tokens that were released while the log was read.
TEST_CASE("a reservation that was released before its confirmation is not valid")
{
    TokenLedger ledger({ "a/1" });
    ledger.admit(program, turn(1, { 1000 }, { 100 }), start);
    const auto first = ledger.request(program, { 100 });
    ledger.confirm(first);
    const auto second = ledger.request(program, { 300 });
    REQUIRE(ledger.giveBack(program, start));
    ledger.confirm(second);
    REQUIRE(ledger.admit(program, turn(1, { 1000 }, { 100 }), start) == TokenVerdict::Reserve);
}

// Guards against a budget that stays exhausted by a turn that never ran: the instance with its request stopped waiting
// before the tokens were held.
TEST_CASE("a turn whose end is reported before its tokens are held uses none of the budget")
{
    TokenLedger ledger({ "a/1" });
    REQUIRE(ledger.admit(program, turn(1, { 100 }, { 100 }), start) == TokenVerdict::Reserve);
    const auto reservation = ledger.request(program, { 100 });
    ledger.settle(program, { 1 }, {}, start);
    ledger.confirm(reservation);
    REQUIRE(ledger.admit(program, turn(1, { 100 }, { 100 }), start) == TokenVerdict::Ended);
    REQUIRE(ledger.admit(program, turn(2, { 100 }, { 100 }), start) == TokenVerdict::Covered);
}

// Guards against counting tokens twice, as used or as released, because a report is sent again until it is answered.
TEST_CASE("a turn whose end is reported twice counts once")
{
    TokenLedger ledger({ "a/1" });
    REQUIRE(ledger.admit(program, turn(1, { 200 }, { 100 }), start) == TokenVerdict::Reserve);
    ledger.confirm({ program, "a/1", { 200 }, {}, ledger.request(program, { 200 }).revision });
    REQUIRE(ledger.admit(program, turn(1, { 200 }, { 100 }), start) == TokenVerdict::Covered);
    REQUIRE(ledger.admit(program, turn(1, { 200 }, { 100 }), start) == TokenVerdict::Covered);
    REQUIRE(ledger.account(program, start).setAside == TokenCount { 100 });
    REQUIRE(ledger.account(program, turnEnd + Milliseconds(1)).turnsOverdue == 1);
    for (int report = 0; report < 2; ++report)
        ledger.settle(program, { 1 }, { 40 }, start);
    REQUIRE(ledger.account(program, start).used == TokenCount { 40 });
    REQUIRE(ledger.account(program, start).setAside == TokenCount { 0 });
    REQUIRE(ledger.admit(program, turn(2, { 200 }, { 160 }), start) == TokenVerdict::Covered);
}

// Guards against exceeding the budget because the reservations of other instances, which are read from the log only
// once, expire while the program is still used there.
TEST_CASE("an account does not expire while records of the program arrive")
{
    TokenLedger ledger({ "a/1" });
    ledger.apply({ program, "b/1", { 100 }, { 100 }, 1 }, start);
    ledger.apply({ program, "b/1", { 200 }, { 200 }, 2 }, start + Seconds(60));
    ledger.expire(start + Seconds(30));
    REQUIRE(ledger.admit(program, turn(1, { 200 }, { 100 }), start + Seconds(95)) == TokenVerdict::Spent);
}

// Guards against accounts that are never freed because the end of a turn was not reported.
TEST_CASE("an account expires although the end of its turn was never reported")
{
    TokenLedger ledger({ "a/1" });
    ledger.admit(program, turn(1, { 200 }, { 100 }), start);
    ledger.confirm(ledger.request(program, { 100 }));
    REQUIRE(ledger.admit(program, turn(1, { 200 }, { 100 }), start) == TokenVerdict::Covered);
    // The turn may still be in progress.
    REQUIRE(ledger.expire(start + Seconds(1)).empty());
    REQUIRE(ledger.size() == 1);
    REQUIRE(ledger.expire(turnEnd + Seconds(1)).size() == 1);
    REQUIRE(ledger.size() == 0);
}

// Guards against a reservation that is in the log although its instance treats the append as failed: unless it is
// released, no other instance can ever use these tokens.
TEST_CASE("a reservation whose append has an unknown outcome is released on request")
{
    TokenLedger ledger({ "a/1" });
    REQUIRE(ledger.admit(program, turn(1, { 1000 }, { 100 }), start) == TokenVerdict::Reserve);
    const auto lost = ledger.request(program, { 100 });
    REQUIRE_FALSE(ledger.giveBack(program, start));
    ledger.abandon(program);
    const auto lowered = ledger.giveBack(program, start);
    REQUIRE(lowered);
    REQUIRE(lowered->reserved == TokenCount { 0 });
    REQUIRE(lowered->revision > lost.revision);
    REQUIRE_FALSE(ledger.giveBack(program, start));
    // No later turn is admitted by the released record.
    ledger.confirm(lost);
    REQUIRE(ledger.admit(program, turn(1, { 1000 }, { 100 }), start) == TokenVerdict::Reserve);
}

// Guards against programs that cannot continue after every instance was restarted: what the lost ones had reserved
// counts as spent, in each of three failure domains. The budget and turn size are those of the platform's example.
TEST_CASE("a program can continue after the instances of all failure domains were lost")
{
    constexpr TokenCount budget { 4600 };
    constexpr TokenCount most { 575 };
    std::vector<TokenReservation> log;
    for (const std::string owner : { "a/1", "b/1", "c/1" }) {
        TokenLedger ledger({ owner });
        for (const auto& record : log)
            ledger.apply(record, start);
        REQUIRE(ledger.admit(program, turn(1, budget, most), start) == TokenVerdict::Reserve);
        log.push_back(ledger.request(program, most));
        ledger.confirm(log.back());
        REQUIRE(ledger.admit(program, turn(1, budget, most), start) == TokenVerdict::Covered);
        ledger.settle(program, { 1 }, { 150 }, start);
    }
    TokenLedger restarted({ "a/2" });
    for (const auto& record : log)
        restarted.apply(record, start);
    REQUIRE(restarted.admit(program, turn(1, budget, most), start) == TokenVerdict::Reserve);
}

TEST_CASE("unused tokens reserved by other owners are reclaimed, used ones count as spent")
{
    TokenLedger ledger({ "a/1" });
    ledger.apply({ program, "b/1", { 900 }, { 100 }, 1 }, start);
    REQUIRE(ledger.admit(program, turn(1, { 1000 }, { 200 }), start) == TokenVerdict::Reclaim);
    REQUIRE(ledger.holders(program) == std::vector<std::string> { "b/1" });
    ledger.apply({ program, "b/1", { 900 }, { 900 }, 2 }, start);
    REQUIRE(ledger.admit(program, turn(1, { 1000 }, { 200 }), start) == TokenVerdict::Spent);
    // A record that arrives late does not replace a newer one.
    ledger.apply({ program, "b/1", { 0 }, { 0 }, 1 }, start);
    REQUIRE(ledger.admit(program, turn(1, { 1000 }, { 200 }), start) == TokenVerdict::Spent);
}

namespace {

struct LoggedReservation {
    TokenReservation record;
};

// Several instances that share one log. They crash with unused reservations, read the log late and race each other.
class LedgerFleet {
public:
    explicit LedgerFleet(unsigned seed)
        : random(seed)
    {
        for (int index = 0; index < 4; ++index)
            this->restart(static_cast<std::size_t>(index));
    }

    void step()
    {
        const auto index = this->random() % this->nodes.size();
        auto& node = this->nodes[index];
        switch (this->random() % 12) {
        case 0:
            this->restart(index);
            break;
        case 1:
            if (const auto lowered = node.ledger->giveBack(program, start))
                this->log.push_back(*lowered);
            break;
        case 2:
        case 3:
        case 4:
            this->end(node);
            break;
        default:
            this->begin(node);
        }
    }

    std::int64_t handedOut = 0;

private:
    struct Node {
        std::unique_ptr<TokenLedger> ledger;
        std::size_t read = 0;
        std::vector<HoldId> running;
    };

    static constexpr TokenCount budget { 2000 };
    static constexpr TokenCount most { 150 };

    void restart(std::size_t index)
    {
        if (this->nodes.size() <= index)
            this->nodes.resize(index + 1);
        auto& node = this->nodes[index];
        // Callers of a killed instance may have received all of what its turns could generate.
        this->handedOut += static_cast<std::int64_t>(node.running.size()) * most.value;
        node = { std::make_unique<TokenLedger>(TokenLedger::Init { std::to_string(++this->incarnations) }), 0, {} };
    }

    void readLog(Node& node)
    {
        for (; node.read < this->log.size(); ++node.read)
            node.ledger->apply(this->log[node.read], start);
    }

    void begin(Node& node)
    {
        const auto wanted = turn(++this->holds, budget, most);
        if (this->admit(node, wanted))
            return;
        const auto reservation = node.ledger->request(program, most);
        this->log.push_back(reservation);
        this->readLog(node);
        if (this->random() % 8 != 0)
            node.ledger->confirm(reservation);
        // The caller may have stopped waiting; the report of the turn's end then arrives before or after the admission.
        if (this->random() % 6 == 0)
            node.ledger->settle(program, wanted.hold, {}, start);
        this->admit(node, wanted);
    }

    bool admit(Node& node, const TokenRequest& wanted)
    {
        if (node.ledger->admit(program, wanted, start) != TokenVerdict::Covered)
            return false;
        node.running.push_back(wanted.hold);
        return true;
    }

    void end(Node& node)
    {
        if (node.running.empty())
            return;
        const auto hold = node.running.back();
        node.running.pop_back();
        const TokenCount used { static_cast<std::int64_t>(this->random() % static_cast<unsigned>(most.value + 1)) };
        // A report whose answer was lost is sent again.
        const int reports = this->random() % 4 == 0 ? 2 : 1;
        for (int report = 0; report < reports; ++report)
            node.ledger->settle(program, hold, used, start);
        this->handedOut += used.value;
    }

    std::mt19937 random;
    std::vector<Node> nodes;
    std::vector<TokenReservation> log;
    int incarnations = 0;
    std::uint64_t holds = 0;
};

} // namespace

// Guards against a program that gets more than its budget because instances crash, race or read the log late.
TEST_CASE("no order of reservations, releases and restarts exceeds the budget")
{
    for (unsigned seed = 1; seed <= 2000; ++seed) {
        LedgerFleet fleet(seed);
        for (int step = 0; step < 200; ++step)
            fleet.step();
        INFO("seed " << seed);
        REQUIRE(fleet.handedOut <= 2000);
    }
}
