#include "peridotramp/tokens.h"

#include <catch2/catch.hpp>
#include <random>

using namespace peridotramp;

namespace {

const TimePoint start { Seconds(100) };
const ProgramId program { 7 };
const TimePoint turnEnd = start + Seconds(3);

TokenRequest turn(std::uint64_t hold, TokenCount budget, TokenCount maxTokens)
{
    return { { hold }, budget, maxTokens, turnEnd };
}

} // namespace

TEST_CASE("a turn is admitted only by a confirmed reservation")
{
    TokenLedger ledger({ "a/1" });
    REQUIRE(ledger.admit(program, turn(1, { 1000 }, { 100 }), start) == TokenAdmission::Reserve);
    const auto reservation = ledger.prepareReservation(program, { 100 });
    REQUIRE(reservation.reserved >= TokenCount { 100 });
    REQUIRE(reservation.reserved <= TokenCount { 1000 });
    REQUIRE(ledger.admit(program, turn(1, { 1000 }, { 100 }), start) == TokenAdmission::Reserve);
    ledger.confirm(reservation);
    REQUIRE(ledger.admit(program, turn(1, { 1000 }, { 100 }), start) == TokenAdmission::Admitted);
}

TEST_CASE("tokens held for turns in progress count as spent until the turns end")
{
    TokenLedger ledger({ "a/1" });
    ledger.admit(program, turn(1, { 200 }, { 100 }), start);
    ledger.confirm({ program, "a/1", { 200 }, {}, ledger.prepareReservation(program, { 100 }).revision });
    REQUIRE(ledger.admit(program, turn(1, { 200 }, { 100 }), start) == TokenAdmission::Admitted);
    REQUIRE(ledger.admit(program, turn(2, { 200 }, { 100 }), start) == TokenAdmission::Admitted);
    REQUIRE(ledger.admit(program, turn(3, { 200 }, { 100 }), start) == TokenAdmission::Exhausted);
    ledger.settle(program, { 1 }, { 0 }, start);
    REQUIRE(ledger.admit(program, turn(3, { 200 }, { 100 }), start) == TokenAdmission::Admitted);
}

// Guards against using tokens that were released while the log was read.
TEST_CASE("a reservation that was released before its confirmation is not valid")
{
    TokenLedger ledger({ "a/1" });
    ledger.admit(program, turn(1, { 1000 }, { 100 }), start);
    const auto first = ledger.prepareReservation(program, { 100 });
    ledger.confirm(first);
    const auto second = ledger.prepareReservation(program, { 300 });
    REQUIRE(ledger.releaseUnused(program, start));
    ledger.confirm(second);
    REQUIRE(ledger.admit(program, turn(1, { 1000 }, { 100 }), start) == TokenAdmission::Reserve);
}

// Guards against a budget that stays exhausted by a turn that never ran: the instance with its request stopped waiting
// before the tokens were held.
TEST_CASE("a turn whose end is reported before its tokens are held uses none of the budget")
{
    TokenLedger ledger({ "a/1" });
    REQUIRE(ledger.admit(program, turn(1, { 100 }, { 100 }), start) == TokenAdmission::Reserve);
    const auto reservation = ledger.prepareReservation(program, { 100 });
    ledger.settle(program, { 1 }, {}, start);
    ledger.confirm(reservation);
    REQUIRE(ledger.admit(program, turn(1, { 100 }, { 100 }), start) == TokenAdmission::Ended);
    REQUIRE(ledger.admit(program, turn(2, { 100 }, { 100 }), start) == TokenAdmission::Admitted);
}

// Guards against counting tokens twice, as used or as released, because a report is sent again until it is answered.
TEST_CASE("a turn whose end is reported twice counts once")
{
    TokenLedger ledger({ "a/1" });
    REQUIRE(ledger.admit(program, turn(1, { 200 }, { 100 }), start) == TokenAdmission::Reserve);
    ledger.confirm({ program, "a/1", { 200 }, {}, ledger.prepareReservation(program, { 200 }).revision });
    REQUIRE(ledger.admit(program, turn(1, { 200 }, { 100 }), start) == TokenAdmission::Admitted);
    REQUIRE(ledger.admit(program, turn(1, { 200 }, { 100 }), start) == TokenAdmission::Admitted);
    REQUIRE(ledger.account(program, start).held == TokenCount { 100 });
    REQUIRE(ledger.account(program, turnEnd + Milliseconds(1)).overdueTurns == 1);
    for (int report = 0; report < 2; ++report)
        ledger.settle(program, { 1 }, { 40 }, start);
    REQUIRE(ledger.account(program, start).used == TokenCount { 40 });
    REQUIRE(ledger.account(program, start).held == TokenCount { 0 });
    REQUIRE(ledger.admit(program, turn(2, { 200 }, { 160 }), start) == TokenAdmission::Admitted);
}

// Guards against exceeding the budget because the reservations of other instances, which are read from the log only
// once, expire while the program is still used there.
TEST_CASE("an account does not expire while records of the program arrive")
{
    TokenLedger ledger({ "a/1" });
    ledger.apply({ program, "b/1", { 100 }, { 100 }, 1 }, start);
    ledger.apply({ program, "b/1", { 200 }, { 200 }, 2 }, start + Seconds(60));
    ledger.expire(start + Seconds(30));
    REQUIRE(ledger.admit(program, turn(1, { 200 }, { 100 }), start + Seconds(95)) == TokenAdmission::Exhausted);
}

// Guards against accounts that live for good because each reading of the partition finds the same old records.
TEST_CASE("a record that is known already does not show that the program is in use")
{
    TokenLedger ledger({ "a/1" });
    REQUIRE(ledger.apply({ program, "b/1", { 100 }, { 100 }, 1 }, start));
    REQUIRE_FALSE(ledger.apply({ program, "b/1", { 100 }, { 100 }, 1 }, start + Seconds(60)));
    REQUIRE(ledger.expirable(start + Seconds(1)).size() == 1);
}

// Guards against a budget that is handed out twice: an instance whose reservation does not grow writes no records, so
// that the others take the program for ended and forget what they have granted (review/12).
TEST_CASE("a reservation that turns use without enlarging it is recorded again")
{
    const auto nobodyReserves = [](ProgramId) { return false; };
    TokenLedger ledger({ "a/1" });
    REQUIRE(ledger.admit(program, turn(1, { 1000 }, { 100 }), start) == TokenAdmission::Reserve);
    const auto first = ledger.prepareReservation(program, { 100 });
    ledger.confirm(first);
    REQUIRE(ledger.admit(program, turn(1, { 1000 }, { 100 }), start) == TokenAdmission::Admitted);
    REQUIRE(ledger.renew(start + Seconds(1), nobodyReserves).empty());
    ledger.settle(program, { 1 }, { 100 }, start + Seconds(20));
    // Not while the last record is recent, or the next one is on its way.
    REQUIRE(ledger.renew(start - Seconds(1), nobodyReserves).empty());
    REQUIRE(ledger.renew(start + Seconds(10), [](ProgramId) { return true; }).empty());
    const auto renewed = ledger.renew(start + Seconds(10), nobodyReserves);
    REQUIRE(renewed.size() == 1);
    REQUIRE(renewed.front().revision > first.revision);
    REQUIRE(renewed.front().reserved == first.reserved);
    REQUIRE(renewed.front().used == TokenCount { 100 });
    REQUIRE(ledger.renew(start + Seconds(40), nobodyReserves).empty());
    // The reservation stays usable, and its use shows again.
    REQUIRE(ledger.admit(program, turn(2, { 1000 }, { 100 }), start + Seconds(44)) == TokenAdmission::Admitted);
    REQUIRE(ledger.renew(start + Seconds(40), nobodyReserves).size() == 1);
}

// Guards against accounts that are never freed because the end of a turn was not reported.
TEST_CASE("an account expires although the end of its turn was never reported")
{
    TokenLedger ledger({ "a/1" });
    ledger.admit(program, turn(1, { 200 }, { 100 }), start);
    ledger.confirm(ledger.prepareReservation(program, { 100 }));
    REQUIRE(ledger.admit(program, turn(1, { 200 }, { 100 }), start) == TokenAdmission::Admitted);
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
    REQUIRE(ledger.admit(program, turn(1, { 1000 }, { 100 }), start) == TokenAdmission::Reserve);
    const auto lost = ledger.prepareReservation(program, { 100 });
    REQUIRE_FALSE(ledger.releaseUnused(program, start));
    ledger.markUncertain(program);
    const auto lowered = ledger.releaseUnused(program, start);
    REQUIRE(lowered);
    REQUIRE(lowered->reserved == TokenCount { 0 });
    REQUIRE(lowered->revision > lost.revision);
    REQUIRE_FALSE(ledger.releaseUnused(program, start));
    // No later turn is admitted by the released record.
    ledger.confirm(lost);
    REQUIRE(ledger.admit(program, turn(1, { 1000 }, { 100 }), start) == TokenAdmission::Reserve);
}

// Guards against programs that cannot continue after every instance was restarted: what the lost ones had reserved
// counts as spent, in each of three failure domains. The budget and turn size are those of the platform's example.
TEST_CASE("a program can continue after the instances of all failure domains were lost")
{
    constexpr TokenCount budget { 4600 };
    constexpr TokenCount maxTokens { 575 };
    std::vector<TokenReservation> log;
    for (const std::string owner : { "a/1", "b/1", "c/1" }) {
        TokenLedger ledger({ owner });
        for (const auto& record : log)
            ledger.apply(record, start);
        REQUIRE(ledger.admit(program, turn(1, budget, maxTokens), start) == TokenAdmission::Reserve);
        log.push_back(ledger.prepareReservation(program, maxTokens));
        ledger.confirm(log.back());
        REQUIRE(ledger.admit(program, turn(1, budget, maxTokens), start) == TokenAdmission::Admitted);
        ledger.settle(program, { 1 }, { 150 }, start);
    }
    TokenLedger restarted({ "a/2" });
    for (const auto& record : log)
        restarted.apply(record, start);
    REQUIRE(restarted.admit(program, turn(1, budget, maxTokens), start) == TokenAdmission::Reserve);
}

TEST_CASE("unused tokens reserved by other owners are reclaimed, used ones count as spent")
{
    TokenLedger ledger({ "a/1" });
    ledger.apply({ program, "b/1", { 900 }, { 100 }, 1 }, start);
    REQUIRE(ledger.admit(program, turn(1, { 1000 }, { 200 }), start) == TokenAdmission::Reclaim);
    REQUIRE(ledger.ownersWithUnused(program) == std::vector<std::string> { "b/1" });
    ledger.apply({ program, "b/1", { 900 }, { 900 }, 2 }, start);
    REQUIRE(ledger.admit(program, turn(1, { 1000 }, { 200 }), start) == TokenAdmission::Exhausted);
    // A record that arrives late does not replace a newer one.
    ledger.apply({ program, "b/1", { 0 }, { 0 }, 1 }, start);
    REQUIRE(ledger.admit(program, turn(1, { 1000 }, { 200 }), start) == TokenAdmission::Exhausted);
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
            if (const auto lowered = node.ledger->releaseUnused(program, start))
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

    std::int64_t delivered = 0;

private:
    struct Node {
        std::unique_ptr<TokenLedger> ledger;
        std::size_t nextRecord = 0;
        std::vector<HoldId> running;
    };

    static constexpr TokenCount budget { 2000 };
    static constexpr TokenCount maxTokens { 150 };

    void restart(std::size_t index)
    {
        if (this->nodes.size() <= index)
            this->nodes.resize(index + 1);
        auto& node = this->nodes[index];
        // Callers of a killed instance may have received all of what its turns could generate.
        this->delivered += static_cast<std::int64_t>(node.running.size()) * maxTokens.value;
        node = { std::make_unique<TokenLedger>(TokenLedger::Init { std::to_string(++this->incarnations) }), 0, {} };
    }

    void readLog(Node& node)
    {
        for (; node.nextRecord < this->log.size(); ++node.nextRecord)
            node.ledger->apply(this->log[node.nextRecord], start);
    }

    void begin(Node& node)
    {
        const auto request = turn(++this->holds, budget, maxTokens);
        if (this->admit(node, request))
            return;
        const auto reservation = node.ledger->prepareReservation(program, maxTokens);
        this->log.push_back(reservation);
        this->readLog(node);
        if (this->random() % 8 != 0)
            node.ledger->confirm(reservation);
        // The caller may have stopped waiting; the report of the turn's end then arrives before or after the admission.
        if (this->random() % 6 == 0)
            node.ledger->settle(program, request.hold, {}, start);
        this->admit(node, request);
    }

    bool admit(Node& node, const TokenRequest& request)
    {
        if (node.ledger->admit(program, request, start) != TokenAdmission::Admitted)
            return false;
        node.running.push_back(request.hold);
        return true;
    }

    void end(Node& node)
    {
        if (node.running.empty())
            return;
        const auto hold = node.running.back();
        node.running.pop_back();
        const TokenCount used { static_cast<std::int64_t>(
            this->random() % static_cast<unsigned>(maxTokens.value + 1)) };
        // A report whose answer was lost is sent again.
        const int reports = this->random() % 4 == 0 ? 2 : 1;
        for (int report = 0; report < reports; ++report)
            node.ledger->settle(program, hold, used, start);
        this->delivered += used.value;
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
        REQUIRE(fleet.delivered <= 2000);
    }
}

// Guards against revisions that stay in the log for good, and against the deletion of the only record of a reservation.
TEST_CASE("a ledger deletes the revisions that a record supersedes, and all of them at the end")
{
    TokenLedger ledger({ "a/1" });
    ledger.admit(program, turn(1, { 1000 }, { 100 }), start);
    const auto rangeOf = [&](const TokenReservation& record) {
        const auto range = ledger.supersededBy(record);
        return std::pair(range.first, range.end);
    };
    const auto first = ledger.prepareReservation(program, { 100 });
    REQUIRE(rangeOf(first) == std::pair<std::uint64_t, std::uint64_t>(1, 1));
    const auto second = ledger.prepareReservation(program, { 100 });
    const auto third = ledger.prepareReservation(program, { 100 });
    // The append of the second one failed, so that both earlier ones may be in the log.
    REQUIRE(rangeOf(third) == std::pair<std::uint64_t, std::uint64_t>(1, 3));
    ledger.markSupersededDeleted(third);
    // An answer that comes late deletes nothing newer.
    ledger.markSupersededDeleted(second);
    REQUIRE(rangeOf(third) == std::pair<std::uint64_t, std::uint64_t>(3, 3));
    REQUIRE(rangeOf(second) == std::pair<std::uint64_t, std::uint64_t>(2, 2));
    const auto fourth = ledger.prepareReservation(program, { 100 });
    REQUIRE(rangeOf(fourth) == std::pair<std::uint64_t, std::uint64_t>(3, 4));
    const auto expired = ledger.expire(turnEnd + Seconds(1));
    REQUIRE(expired.size() == 1);
    REQUIRE(expired.front().revisions.first == 1);
    REQUIRE(expired.front().revisions.end == 5);
}
