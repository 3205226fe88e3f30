#include "helpers.h"

using namespace peridotramp;

TEST_CASE("a request at an empty bucket waits for the next token or is refused with a retry time")
{
    auto table = makeTable({ 10, 8 }, 1);
    table.open(start, keyOf(0), Epoch { 1 }, longLease);
    const auto waiting = waitOf(table.take(start, { keyOf(0) }));
    REQUIRE(waiting);
    REQUIRE(waiting->resumeAt - start <= Milliseconds(101));
    REQUIRE(permitOf(table.resume(waiting->resumeAt, keyOf(0), waiting->ticket)));
    const auto refused = table.take(waiting->resumeAt, { keyOf(0), GrantAmount { 8 } }).error();
    REQUIRE(refused.kind == ErrorKind::RateExceeded);
    REQUIRE(refused.outcome == Outcome::NotRun);
    REQUIRE(refused.retryAfter == Milliseconds(800));
    const auto later = waiting->resumeAt + refused.retryAfter;
    REQUIRE(permitOf(table.take(later, { keyOf(0), GrantAmount { 8 } })));
    // The deadline is before the next token, so the request is not queued.
    const auto withDeadline = table.take(later, { keyOf(0), GrantAmount { 1 }, {}, later + Milliseconds(10) });
    REQUIRE(withDeadline.error().kind == ErrorKind::RateExceeded);
}

TEST_CASE("refused requests return the reason and Outcome::NotRun")
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

TEST_CASE("a source with many waiting requests does not block other sources, and the queue is bounded")
{
    GrantTable::Limits limits;
    limits.maxQueueLength = 8;
    limits.maxQueuedPerSource = 6;
    GrantTable table({ 1, limits });
    table.configureDomains(start, domainList(1), Offset { 1 });
    table.configure(start, WorkspaceId { 1 }, { { 100, 100 }, {} }, Offset { 1 });
    table.open(start, keyOf(0), Epoch { 1 }, longLease);
    std::vector<GrantWait> queued;
    for (int count = 0; count < 10; ++count) {
        if (const auto wait = waitOf(table.take(start, { keyOf(0), GrantAmount { 1 }, GrantSource { 1 } })))
            queued.push_back(*wait);
    }
    REQUIRE(queued.size() == 6);
    const auto otherSource = waitOf(table.take(start, { keyOf(0), GrantAmount { 1 }, GrantSource { 2 } }));
    REQUIRE(otherSource);
    REQUIRE(otherSource->resumeAt <= start + Milliseconds(21));
    for (const std::uint64_t other : { 3, 4, 5 })
        REQUIRE(waitOf(table.take(start, { keyOf(0), GrantAmount { 1 }, GrantSource { other } })));
    REQUIRE(table.view(start, keyOf(0))->waiting == 8);
    // The last requests of the first source were displaced.
    REQUIRE(
        table.resume(start + Milliseconds(60), keyOf(0), queued.back().ticket).error().kind == ErrorKind::RateExceeded);
    REQUIRE(permitOf(table.resume(start + Milliseconds(21), keyOf(0), otherSource->ticket)));
}

TEST_CASE("requests whose callers never resume them do not block the queue")
{
    auto table = makeTable({ 10, 10 }, 1);
    table.open(start, keyOf(0), Epoch { 1 }, longLease);
    for (int count = 0; count < 4; ++count)
        REQUIRE(waitOf(table.take(start, { keyOf(0) })));
    REQUIRE(permitOf(table.take(start + Seconds(1), { keyOf(0) })));
}

TEST_CASE("a workspace that sends several times its rate is limited and does not affect other workspaces")
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

TEST_CASE("a correction is applied once: an excess may make the level negative, an unused part is returned")
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
    // A correction for a permit of an earlier owner can only lower the level.
    Permit foreign { key, PermitId { 5 }, Epoch { 0 }, GrantAmount { 300 } };
    table.correct(later, foreign, GrantAmount { 0 });
    REQUIRE(table.view(later, key)->level == Approx(500));
    table.correct(later, foreign, GrantAmount { 350 });
    REQUIRE(table.view(later, key)->level == Approx(450));
}

TEST_CASE("corrections of several permits return no more than the minimum free capacity since the permits")
{
    // Otherwise a bucket that was full in between would issue more than its burst afterwards.
    auto table = makeTable({ 100, 1000 }, 1);
    const auto key = keyOf(0, GrantKind::Tokens);
    table.open(start, key, Epoch { 1 }, longLease);
    auto now = start + Seconds(10);
    const auto first = *permitOf(table.take(now, { key, GrantAmount { 300 } }));
    const auto second = *permitOf(table.take(now, { key, GrantAmount { 300 } }));
    now += Seconds(4);
    REQUIRE(permitOf(table.take(now, { key, GrantAmount { 800 } })));
    REQUIRE(table.view(now, key)->level == Approx(0));
    // The free capacity was 200 before the last permit, so both corrections together return no more.
    table.correct(now, first, GrantAmount { 150 });
    REQUIRE(table.view(now, key)->level == Approx(150));
    table.correct(now, second, GrantAmount { 0 });
    REQUIRE(table.view(now, key)->level == Approx(200));
}

TEST_CASE("a bucket opens empty, and neither a repeated open nor a clock that steps back fills it")
{
    auto table = makeTable({ 10, 10 }, 1);
    table.open(start, keyOf(0), Epoch { 5 }, { start, start + leaseTime });
    REQUIRE(takeAll(table, start, keyOf(0)) == 0);
    REQUIRE(takeAll(table, start + Seconds(2), keyOf(0)) == 20 - 10);
    table.open(start + Seconds(2), keyOf(0), Epoch { 5 }, longLease);
    table.open(start + Seconds(2), keyOf(0), Epoch { 4 }, longLease);
    REQUIRE(takeAll(table, start + Seconds(2), keyOf(0)) == 0);
    REQUIRE(takeAll(table, start, keyOf(0)) == 0);
    REQUIRE(takeAll(table, start + Seconds(2), keyOf(0)) == 0);
    table.renewLease(keyOf(0), Epoch { 4 }, TimePoint::max());
    REQUIRE(table.take(start + leaseTime, { keyOf(0) }).error().kind == ErrorKind::LeaseLapsed);
    table.renewLease(keyOf(0), Epoch { 5 }, TimePoint::max());
    REQUIRE(permitOf(table.take(start + leaseTime, { keyOf(0) })));
}

TEST_CASE("a bucket that is opened before its lease starts is empty until then")
{
    // The previous owner still uses the bucket's rate until its lease ends.
    auto table = makeTable({ 10, 10 }, 1);
    table.open(start, keyOf(0), Epoch { 1 }, { start + Seconds(5), start + Seconds(10) });
    REQUIRE(table.view(start + Seconds(5), keyOf(0))->level == 0);
    REQUIRE(takeAll(table, start + Milliseconds(5500), keyOf(0)) == 5);
}

TEST_CASE("lowered shares apply at once, raised shares after the list of failure domains is known everywhere")
{
    auto table = makeTable({ 12, 12 }, 3);
    table.open(start, keyOf(0), Epoch { 1 }, longLease);
    REQUIRE(table.view(start, keyOf(0))->rate == Approx(4));
    table.configureDomains(start, domainList(4), Offset { 2 });
    REQUIRE(table.view(start, keyOf(0))->rate == Approx(3));
    table.configureDomains(start, domainList(2), Offset { 3 });
    REQUIRE(table.view(start + Seconds(9), keyOf(0))->rate == Approx(3));
    REQUIRE(table.view(start + Seconds(10), keyOf(0))->rate == Approx(6));
    // A version that arrives late does not restore the old list.
    table.configureDomains(start + Seconds(20), domainList(4), Offset { 2 });
    REQUIRE(table.view(start + Seconds(20), keyOf(0))->rate == Approx(6));
    // A failure domain that is added again must not use its share before the others have lowered theirs.
    table.open(start + Seconds(20), keyOf(3), Epoch { 1 }, longLease);
    table.configureDomains(start + Seconds(21), domainList(4), Offset { 4 });
    REQUIRE(table.view(start + Seconds(30), keyOf(3))->rate == Approx(0));
    REQUIRE(table.view(start + Seconds(31), keyOf(3))->rate == Approx(3));
}
