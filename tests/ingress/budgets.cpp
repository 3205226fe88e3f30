#include "fixture.h"

#include "peridotramp/coordination.h"

using namespace peridotramp;

namespace {

// Two instances of one failure domain that know each other. The first is the holder of the program `p1`.
struct HolderAndOther {
    HolderAndOther()
    {
        this->deployment.publish(1);
        std::vector<std::shared_ptr<Ingress>> instances { this->deployment.startReady("n1"),
            this->deployment.startReady("n2") };
        const auto program = idFromName<ProgramId>("w/p1");
        const auto order = weightedRendezvousOrder({ { "n1", "a", {}, 1 }, { "n2", "a", {}, 1 } }, program.value % 2);
        if (order.front().name == "n2")
            std::ranges::swap(instances[0], instances[1]);
        this->holder = instances[0];
        this->other = instances[1];
        // The holder knows the program as soon as the other instance has found it and sends it a request.
        const auto asks = [&] {
            const auto id = "q" + std::to_string(++this->requests);
            this->deployment.send(*this->other, budgetedTurn(id, "p1", "100000"));
            const auto state = this->holder->dump();
            return state.find("\"programs\":1") != std::string::npos;
        };
        REQUIRE(eventually(asks));
    }

    Deployment deployment;
    FakeEndpoint& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    std::shared_ptr<Ingress> holder;
    std::shared_ptr<Ingress> other;
    int requests = 0;
};

} // namespace

// Guards against tokens that stay held for a turn that never ran, because the holder of the program answers after the
// requesting instance has stopped waiting.
TEST_CASE("tokens that are held only after the request timed out are available for the program's next turn")
{
    HolderAndOther pair;
    auto& deployment = pair.deployment;
    // A program of the same partition, with a budget for one turn.
    std::string name;
    for (int index = 0; name.empty(); ++index) {
        const auto candidate = "late" + std::to_string(index);
        if (idFromName<ProgramId>("w/" + candidate).value % 2 == idFromName<ProgramId>("w/p1").value % 2)
            name = candidate;
    }
    const auto before = pair.endpoint.requests().size();
    deployment.fakeStore.setAppendDelay(Milliseconds(1200));
    // Not 402, which would end the program although nothing of its budget is used.
    REQUIRE(deployment.send(*pair.other, budgetedTurn("t1", name, "30")).second.status == 503);
    REQUIRE(pair.endpoint.requests().size() == before);
    deployment.fakeStore.setAppendDelay(Milliseconds(0));
    int tries = 0;
    REQUIRE(eventually([&] {
        const auto id = "u" + std::to_string(++tries);
        return deployment.send(*pair.other, budgetedTurn(id, name, "30")).second.status == 200;
    }));
    // The budget is sufficient for exactly one turn.
    REQUIRE(deployment.send(*pair.holder, budgetedTurn("v1", name, "30")).second.status == 402);
    REQUIRE(pair.endpoint.requests().size() == before + 1);
}

// Guards against a budget that is handed out again after a restart of all processes: an append that was answered late,
// or repeated after its answer was lost, takes effect after newer ones, and the older reservation becomes the newest
// record.
TEST_CASE("an older reservation that is appended again does not replace a newer one for instances that start")
{
    Deployment deployment;
    auto& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    struct Append {
        StorePartition partition;
        std::vector<StoreRecord> records;
    };
    std::vector<Append> appends;
    std::mutex mutex;
    auto client = deployment.fakeStore.client();
    client.append = [&, append = client.append](StoreTopic topic, StorePartition partition,
                        const std::vector<StoreRecord>& records, MetadataStore::AppendHook hook) {
        if (topic == StoreTopic::TokenReservations) {
            const std::scoped_lock lock(mutex);
            appends.push_back({ partition, records });
        }
        append(topic, partition, records, std::move(hook));
    };
    deployment.storeClient = [&] { return client; };
    const auto first = deployment.startReady("n1");
    for (const auto* id : { "t1", "t2", "t3" })
        REQUIRE(deployment.send(*first, budgetedTurn(id, "p1", "90")).second.status == 200);
    REQUIRE(deployment.fakeStore.keyCount(StoreTopic::TokenReservations) == 1);
    std::vector<Append> earlier;
    {
        const std::scoped_lock lock(mutex);
        REQUIRE(appends.size() >= 2);
        earlier.assign(appends.begin(), appends.end() - 1);
    }
    for (const auto& append : earlier) {
        std::promise<void> done;
        deployment.fakeStore.client().append(StoreTopic::TokenReservations, append.partition, append.records,
            [&](const Result<Offset>&) { done.set_value(); });
        done.get_future().wait();
    }
    const auto restarted = deployment.startReady("n1", false);
    REQUIRE(deployment.send(*restarted, budgetedTurn("t4", "p1", "90")).second.status == 402);
    REQUIRE(endpoint.requests().size() == 3);
}

// Guards against tokens that stay held because the report of a turn's end arrives before its begin, or twice.
TEST_CASE("the end of a turn can be reported to its holder before its begin, and more than once")
{
    Deployment deployment;
    deployment.publish(1);
    const auto holder = deployment.startReady("n1");
    const ProgramId program { 4 };
    const auto begin = [&](std::uint64_t hold) {
        BeginTurnRequest request;
        request.program = program;
        request.workspace = "w";
        request.hold = { hold };
        request.budget = TokenCount { 30 };
        request.maxTokens = { 30 };
        request.answerTimeout = Milliseconds(2000);
        request.timeLeft = Milliseconds(2000);
        return request;
    };
    const auto isBegun = [&](std::uint64_t hold) {
        RpcClient peer(deployment.runtime, {});
        std::promise<bool> begun;
        peer.call(holder->peerAddress(), begin(hold), Milliseconds(5000), [&](const Result<Message>& answer, bool) {
            begun.set_value(answer && std::holds_alternative<BeginTurnReply>(answer.value()));
        });
        return begun.get_future().get();
    };
    callInstance<DoneMessage>(deployment, *holder, EndTurnNotice { program, { 1 } });
    REQUIRE_FALSE(isBegun(1));
    REQUIRE(isBegun(2));
    REQUIRE_FALSE(isBegun(3));
    for (int report = 0; report < 2; ++report)
        callInstance<DoneMessage>(deployment, *holder, EndTurnNotice { program, { 2 } });
    REQUIRE(isBegun(4));
}

// Guards against a program that is refused for its budget while its holder still waits for the confirmation of a
// reservation that no turn needs.
TEST_CASE("a release of tokens is reported as incomplete while a reservation is being confirmed")
{
    HolderAndOther pair;
    auto& deployment = pair.deployment;
    const auto program = idFromName<ProgramId>("w/p1");
    const auto releasesAll = [&] {
        return callInstance<ReleaseTokensReply>(deployment, *pair.holder, ReleaseTokensRequest { program }).allReleased;
    };
    REQUIRE(releasesAll());
    deployment.fakeStore.setAppendDelay(Milliseconds(1200));
    std::promise<void> ended;
    deployment.client.send(pair.holder->address(), budgetedTurn("t1", "p1", "100000"), { Milliseconds(5000), false },
        [&](const HttpResult&, const HttpResponse&) { ended.set_value(); });
    REQUIRE(eventually([&] { return !releasesAll(); }));
    ended.get_future().wait();
    deployment.fakeStore.setAppendDelay(Milliseconds(0));
    REQUIRE(releasesAll());
}

namespace {

// Lets time pass in steps that are short enough for instances to hear from each other all the while.
void passTime(Seconds time)
{
    constexpr Milliseconds step { 400 };
    for (Milliseconds passed { 0 }; passed < time; passed += step) {
        RuntimeClock::advance(step);
        std::this_thread::sleep_for(Milliseconds(10));
    }
}

} // namespace

// Guards against a budget that is handed out again by an instance that has not heard of the program for the time for
// which budgets are kept: another instance went on from what it had reserved, which needs no record (review/12).
TEST_CASE("a budget is not forgotten in one failure domain while the program goes on in another")
{
    Deployment deployment;
    auto& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    const auto home = deployment.startReady("n1", true, "a");
    const auto away = deployment.startReady("n2", true, "b");
    constexpr std::size_t budgetedTurns = 8;
    int turns = 0;
    const auto statusAt = [&](const Ingress& instance) {
        const auto id = "t" + std::to_string(++turns);
        return deployment.send(instance, budgetedTurn(id, "p1", "240")).second.status;
    };
    for (int turn = 0; turn < 4; ++turn)
        REQUIRE(eventually([&] { return statusAt(*home) == 200; }));
    REQUIRE(eventually([&] { return statusAt(*away) == 200; }));
    passTime(Seconds(44));
    REQUIRE(eventually([&] { return statusAt(*away) == 200; }));
    passTime(Seconds(56));
    // The program goes on until it is told that its budget is spent.
    REQUIRE(eventually([&] { return statusAt(*home) == 402; }));
    REQUIRE(endpoint.requests().size() <= budgetedTurns);
}

// Guards against budgets that are kept for good.
TEST_CASE("the budget of a program that nobody uses any more is forgotten, and its records are deleted")
{
    Deployment deployment;
    deployment.addEndpoint("i-1", "engines", threeEvents);
    deployment.publish(1);
    const auto first = deployment.startReady("n1", true, "a");
    const auto second = deployment.startReady("n2", true, "b");
    for (const auto& instance : { first, second })
        REQUIRE(eventually(
            [&] { return deployment.send(*instance, budgetedTurn("t", "p1", "240")).second.status == 200; }));
    REQUIRE(deployment.fakeStore.keyCount(StoreTopic::TokenReservations) > 0);
    // Twice the time for which budgets are kept: at its end, each instance finds the other's last records.
    passTime(Seconds(220));
    REQUIRE(eventually([&] { return deployment.fakeStore.keyCount(StoreTopic::TokenReservations) == 0; }));
}
