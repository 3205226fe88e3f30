#include "fixture.h"

#include "peridotramp/coordination.h"

using namespace peridotramp;

namespace {

// Two instances of one failure domain that have found each other, in the order in which they keep the program `p1`.
struct KeeperAndOther {
    KeeperAndOther()
    {
        this->deployment.publish(1);
        std::vector<std::shared_ptr<Ingress>> instances { this->deployment.startReady("n1"),
            this->deployment.startReady("n2") };
        const auto program = idFromName<ProgramId>("w/p1");
        const auto order = weightedRendezvousOrder({ { "n1", "a", {}, 1 }, { "n2", "a", {}, 1 } }, program.value % 2);
        if (order.front().name == "n2")
            std::ranges::swap(instances[0], instances[1]);
        this->keeper = instances[0];
        this->other = instances[1];
        // The other instance asks the keeper as soon as it has heard of it.
        const auto asks = [&] {
            const auto id = "q" + std::to_string(++this->requests);
            this->deployment.send(*this->other, budgetedTurn(id, "p1", "100000"));
            const auto state = this->keeper->dump();
            return state.find("\"programs\":1") != std::string::npos;
        };
        REQUIRE(holdsSoon(asks));
    }

    Deployment deployment;
    FakeEndpoint& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    std::shared_ptr<Ingress> keeper;
    std::shared_ptr<Ingress> other;
    int requests = 0;
};

} // namespace

// Guards against a budget that stays used up by a turn that never ran: the keeper of the program answers after the
// instance with the request has stopped waiting, and nobody releases what it set aside.
TEST_CASE("tokens that a keeper sets aside too late are free for the program's next turn")
{
    KeeperAndOther pair;
    auto& deployment = pair.deployment;
    // A program of the same partition whose budget holds one turn.
    std::string name;
    for (int index = 0; name.empty(); ++index) {
        const auto candidate = "late" + std::to_string(index);
        if (idFromName<ProgramId>("w/" + candidate).value % 2 == idFromName<ProgramId>("w/p1").value % 2)
            name = candidate;
    }
    const auto before = pair.endpoint.requests().size();
    deployment.fake.setAppendDelay(Milliseconds(1200));
    // 402 would end the program, and nothing of its budget is used.
    REQUIRE(deployment.send(*pair.other, budgetedTurn("t1", name, "30")).second.status == 503);
    REQUIRE(pair.endpoint.requests().size() == before);
    deployment.fake.setAppendDelay(Milliseconds(0));
    int tries = 0;
    REQUIRE(holdsSoon([&] {
        const auto id = "u" + std::to_string(++tries);
        return deployment.send(*pair.other, budgetedTurn(id, name, "30")).second.status == 200;
    }));
    // The budget holds one turn and no more.
    REQUIRE(deployment.send(*pair.keeper, budgetedTurn("v1", name, "30")).second.status == 402);
    REQUIRE(pair.endpoint.requests().size() == before + 1);
}

// Guards against tokens that stay set aside because the report of a turn's end overtakes its begin or comes twice.
TEST_CASE("the end of a turn may be reported to its keeper before its begin, and more than once")
{
    Deployment deployment;
    deployment.publish(1);
    const auto keeper = deployment.startReady("n1");
    const ProgramId program { 4 };
    const auto begin = [&](std::uint64_t hold) {
        BeginTurnRequest request;
        request.program = program;
        request.workspace = "w";
        request.hold = { hold };
        request.budget = TokenCount { 30 };
        request.most = { 30 };
        request.answerTimeout = Milliseconds(2000);
        request.timeLeft = Milliseconds(2000);
        return request;
    };
    const auto isBegun = [&](std::uint64_t hold) {
        RpcClient peer(deployment.runtime, {});
        std::promise<bool> begun;
        peer.call(keeper->peerAddress(), begin(hold), Milliseconds(5000), [&](const Result<Message>& answer, bool) {
            begun.set_value(answer && std::holds_alternative<BeginTurnReply>(answer.value()));
        });
        return begun.get_future().get();
    };
    askInstance<DoneMessage>(deployment, *keeper, EndTurnNotice { program, { 1 } });
    REQUIRE_FALSE(isBegun(1));
    REQUIRE(isBegun(2));
    REQUIRE_FALSE(isBegun(3));
    for (int report = 0; report < 2; ++report)
        askInstance<DoneMessage>(deployment, *keeper, EndTurnNotice { program, { 2 } });
    REQUIRE(isBegun(4));
}

// Guards against a program that is told that its budget is spent while its keeper still waits for a reservation that no
// turn needs any more.
TEST_CASE("an instance whose reservation is being confirmed says that it gives tokens back later")
{
    KeeperAndOther pair;
    auto& deployment = pair.deployment;
    const auto program = idFromName<ProgramId>("w/p1");
    const auto givesAllBack
        = [&] { return askInstance<GiveBackReply>(deployment, *pair.keeper, GiveBackRequest { program }).complete; };
    REQUIRE(givesAllBack());
    deployment.fake.setAppendDelay(Milliseconds(1200));
    std::promise<void> ended;
    deployment.client.send(pair.keeper->address(), budgetedTurn("t1", "p1", "100000"), { Milliseconds(5000), false },
        [&](const HttpResult&, const HttpResponse&) { ended.set_value(); });
    REQUIRE(holdsSoon([&] { return !givesAllBack(); }));
    ended.get_future().wait();
    deployment.fake.setAppendDelay(Milliseconds(0));
    REQUIRE(givesAllBack());
}
