#include "world.h"

using namespace peridotramp;

TEST_CASE("an empty bucket queues a request until the next token, then refuses with the time to retry")
{
    auto table = makeTable({ 10, 8 }, 1);
    table.open(start, keyOf(0), Epoch { 1 }, longLease);
    const auto waiting = waitOf(table.take(start, { keyOf(0) }));
    REQUIRE(waiting);
    REQUIRE(waiting->until - start <= Milliseconds(101));
    REQUIRE(permitOf(table.resume(waiting->until, keyOf(0), waiting->ticket)));
    const auto refused = table.take(waiting->until, { keyOf(0), GrantAmount { 8 } }).error();
    REQUIRE(refused.kind == ErrorKind::RateExceeded);
    REQUIRE(refused.outcome == Outcome::NotRun);
    REQUIRE(refused.retryAfter == Milliseconds(800));
    const auto later = waiting->until + refused.retryAfter;
    REQUIRE(permitOf(table.take(later, { keyOf(0), GrantAmount { 8 } })));
    // A deadline before the next token leaves no time to queue.
    const auto hurried = table.take(later, { keyOf(0), GrantAmount { 1 }, {}, later + Milliseconds(10) });
    REQUIRE(hurried.error().kind == ErrorKind::RateExceeded);
}

TEST_CASE("requests that cannot be served name the reason and are proved not run")
{
    auto table = makeTable({ 20, 8 });
    table.open(start, keyOf(0), Epoch { 1 }, { start + Seconds(2), start + Seconds(5) });
    table.open(start, keyOf(0, GrantKind::Requests, 9), Epoch { 1 }, longLease);
    table.open(start, keyOf(7), Epoch { 1 }, longLease);
    const auto kindAt = [&](TimePoint now, const TakeRequest& request) {
        const auto result = table.take(now, request);
        REQUIRE_FALSE(result);
        REQUIRE(result.error().outcome == Outcome::NotRun);
        return result.error().kind;
    };
    REQUIRE(kindAt(start, { keyOf(1) }) == ErrorKind::NotOwner);
    REQUIRE(kindAt(start, { keyOf(0) }) == ErrorKind::NotReady);
    REQUIRE(kindAt(start + Seconds(5), { keyOf(0) }) == ErrorKind::LeaseLapsed);
    REQUIRE(kindAt(start, { keyOf(0, GrantKind::Requests, 9) }) == ErrorKind::Forbidden);
    REQUIRE(kindAt(start, { keyOf(7) }) == ErrorKind::DomainOutOfService);
    REQUIRE(kindAt(start + Seconds(3), { keyOf(0), GrantAmount { 9 } }) == ErrorKind::RequestTooLarge);
    REQUIRE(kindAt(start + Seconds(3), { keyOf(0), GrantAmount { 1 }, {}, start }) == ErrorKind::DeadlineExceeded);
    table.withdraw(start, WorkspaceId { 1 }, Offset { 2 });
    REQUIRE(kindAt(start + Seconds(3), { keyOf(0) }) == ErrorKind::Forbidden);
}

TEST_CASE("a source with many waiting requests does not hold up the others, and the queue is bounded")
{
    GrantTable::Limits limits;
    limits.queueLength = 8;
    limits.queuePerSource = 6;
    GrantTable table({ 1, limits });
    table.configureDomains(start, domainList(1), Offset { 1 });
    table.configure(start, WorkspaceId { 1 }, { { 100, 100 }, {} }, Offset { 1 });
    table.open(start, keyOf(0), Epoch { 1 }, longLease);
    std::vector<GrantWait> greedy;
    for (int count = 0; count < 10; ++count) {
        if (const auto wait = waitOf(table.take(start, { keyOf(0), GrantAmount { 1 }, GrantSource { 1 } })))
            greedy.push_back(*wait);
    }
    REQUIRE(greedy.size() == 6);
    const auto modest = waitOf(table.take(start, { keyOf(0), GrantAmount { 1 }, GrantSource { 2 } }));
    REQUIRE(modest);
    REQUIRE(modest->until <= start + Milliseconds(21));
    for (const std::uint64_t other : { 3, 4, 5 })
        REQUIRE(waitOf(table.take(start, { keyOf(0), GrantAmount { 1 }, GrantSource { other } })));
    REQUIRE(table.view(start, keyOf(0))->waiting == 8);
    // The greedy source's last requests made room.
    REQUIRE(
        table.resume(start + Milliseconds(60), keyOf(0), greedy.back().ticket).error().kind == ErrorKind::RateExceeded);
    REQUIRE(permitOf(table.resume(start + Milliseconds(21), keyOf(0), modest->ticket)));
}

TEST_CASE("callers that never ask again do not block the queue")
{
    auto table = makeTable({ 10, 10 }, 1);
    table.open(start, keyOf(0), Epoch { 1 }, longLease);
    for (int count = 0; count < 4; ++count)
        REQUIRE(waitOf(table.take(start, { keyOf(0) })));
    REQUIRE(permitOf(table.take(start + Seconds(1), { keyOf(0) })));
}

TEST_CASE("several times the rate from one workspace stays within every window and leaves other workspaces alone")
{
    auto table = makeTable({ 50, 20 }, 1);
    table.configure(start, WorkspaceId { 2 }, { { 50, 20 }, {} }, Offset { 1 });
    table.open(start, keyOf(0), Epoch { 1 }, longLease);
    table.open(start, keyOf(0, GrantKind::Requests, 2), Epoch { 1 }, longLease);
    WindowChecker checker;
    std::size_t refused = 0;
    std::vector<GrantWait> waiting;
    for (auto now = start + Seconds(1); now < start + Seconds(21); now += Milliseconds(4)) {
        std::vector<TakeResult> results { table.take(now, { keyOf(0) }) };
        for (const auto& wait : std::exchange(waiting, {}))
            results.push_back(table.resume(now, keyOf(0), wait.ticket));
        for (const auto& result : results) {
            if (permitOf(result))
                checker.add(now, 1);
            else if (const auto wait = waitOf(result))
                waiting.push_back(*wait);
        }
        const bool isDue = (now - start) % Milliseconds(20) == Duration(0);
        if (isDue && !permitOf(table.take(now, { keyOf(0, GrantKind::Requests, 2) })))
            ++refused;
    }
    REQUIRE(checker.excess({ { { 50, 20 }, start } }) < 1e-6);
    REQUIRE(checker.count() > 900);
    REQUIRE(refused == 0);
}

TEST_CASE("a correction takes the excess into debt and returns what was not used, once")
{
    auto table = makeTable({ 100, 1000 }, 1);
    const auto key = keyOf(0, GrantKind::Tokens);
    table.open(start, key, Epoch { 1 }, longLease);
    const auto now = start + Seconds(5);
    const auto permit = *permitOf(table.take(now, { key, GrantAmount { 500 } }));
    table.correct(now, permit, GrantAmount { 900 });
    REQUIRE(table.view(now, key)->level == Approx(-400));
    REQUIRE(table.take(now, { key }).error().retryAfter == Milliseconds(4011));
    table.correct(now, permit, GrantAmount { 900 });
    REQUIRE(table.view(now, key)->level == Approx(-400));
    const auto later = now + Seconds(10);
    const auto second = *permitOf(table.take(later, { key, GrantAmount { 400 } }));
    REQUIRE(table.view(later, key)->level == Approx(200));
    table.correct(later, second, GrantAmount { 100 });
    table.correct(later, second, GrantAmount { 0 });
    REQUIRE(table.view(later, key)->level == Approx(500));
    REQUIRE(table.stats().correctionsIgnored == 2);
    // A permit of an earlier owner can only add to the debt.
    Permit foreign { key, PermitId { 5 }, Epoch { 0 }, GrantAmount { 300 } };
    table.correct(later, foreign, GrantAmount { 0 });
    REQUIRE(table.view(later, key)->level == Approx(500));
    table.correct(later, foreign, GrantAmount { 350 });
    REQUIRE(table.view(later, key)->level == Approx(450));
}

TEST_CASE("corrections return no more than the bucket had room for since the permit, also for several permits")
{
    // Without a record of the room, a bucket that had filled up in between would serve more than its burst afterwards.
    auto table = makeTable({ 100, 1000 }, 1);
    const auto key = keyOf(0, GrantKind::Tokens);
    table.open(start, key, Epoch { 1 }, longLease);
    auto now = start + Seconds(10);
    const auto first = *permitOf(table.take(now, { key, GrantAmount { 300 } }));
    const auto second = *permitOf(table.take(now, { key, GrantAmount { 300 } }));
    now += Seconds(4);
    REQUIRE(permitOf(table.take(now, { key, GrantAmount { 800 } })));
    REQUIRE(table.view(now, key)->level == Approx(0));
    // The bucket had room for 200 before the last permit: both corrections together return no more.
    table.correct(now, first, GrantAmount { 150 });
    REQUIRE(table.view(now, key)->level == Approx(150));
    table.correct(now, second, GrantAmount { 0 });
    REQUIRE(table.view(now, key)->level == Approx(200));
}

TEST_CASE("a new owner starts empty, and neither a replayed open nor a clock that steps back fills the bucket")
{
    auto table = makeTable({ 10, 10 }, 1);
    table.open(start, keyOf(0), Epoch { 5 }, { start, start + leaseTime });
    REQUIRE(drain(table, start, keyOf(0)) == 0);
    REQUIRE(drain(table, start + Seconds(2), keyOf(0)) == 20 - 10);
    table.open(start + Seconds(2), keyOf(0), Epoch { 5 }, longLease);
    table.open(start + Seconds(2), keyOf(0), Epoch { 4 }, longLease);
    REQUIRE(drain(table, start + Seconds(2), keyOf(0)) == 0);
    REQUIRE(drain(table, start, keyOf(0)) == 0);
    REQUIRE(drain(table, start + Seconds(2), keyOf(0)) == 0);
    table.renewLease(keyOf(0), Epoch { 4 }, TimePoint::max());
    REQUIRE(table.take(start + leaseTime, { keyOf(0) }).error().kind == ErrorKind::LeaseLapsed);
    table.renewLease(keyOf(0), Epoch { 5 }, TimePoint::max());
    REQUIRE(permitOf(table.take(start + leaseTime, { keyOf(0) })));
}

TEST_CASE("a bucket that is opened before its lease begins stays empty until then")
{
    // The previous owner still uses the bucket's rate until its lease ends.
    auto table = makeTable({ 10, 10 }, 1);
    table.open(start, keyOf(0), Epoch { 1 }, { start + Seconds(5), start + Seconds(10) });
    REQUIRE(table.view(start + Seconds(5), keyOf(0))->level == 0);
    REQUIRE(drain(table, start + Milliseconds(5500), keyOf(0)) == 5);
}

TEST_CASE("lowered shares act at once, raised shares wait until the list of failure domains is known everywhere")
{
    auto table = makeTable({ 12, 12 }, 3);
    table.open(start, keyOf(0), Epoch { 1 }, longLease);
    REQUIRE(table.view(start, keyOf(0))->rate == Approx(4));
    table.configureDomains(start, domainList(4), Offset { 2 });
    REQUIRE(table.view(start, keyOf(0))->rate == Approx(3));
    table.configureDomains(start, domainList(2), Offset { 3 });
    REQUIRE(table.view(start + Seconds(9), keyOf(0))->rate == Approx(3));
    REQUIRE(table.view(start + Seconds(10), keyOf(0))->rate == Approx(6));
    // A version that arrives late does not bring the old list back.
    table.configureDomains(start + Seconds(20), domainList(4), Offset { 2 });
    REQUIRE(table.view(start + Seconds(20), keyOf(0))->rate == Approx(6));
    // A failure domain that returns must not start before the others have lowered theirs.
    table.open(start + Seconds(20), keyOf(3), Epoch { 1 }, longLease);
    table.configureDomains(start + Seconds(21), domainList(4), Offset { 4 });
    REQUIRE(table.view(start + Seconds(30), keyOf(3))->rate == Approx(0));
    REQUIRE(table.view(start + Seconds(31), keyOf(3))->rate == Approx(3));
}
