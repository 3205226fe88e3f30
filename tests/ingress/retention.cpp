#include "fixture.h"

using namespace peridotramp;

namespace {

// Lets time pass without waiting for it, in steps that let heartbeats and periodic tasks run.
void passTime(Milliseconds time)
{
    constexpr Milliseconds step { 50 };
    RuntimeClock::pause();
    for (Milliseconds passed { 0 }; passed < time; passed += step) {
        RuntimeClock::advance(step);
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    RuntimeClock::resume();
}

HttpRequest turnOf(const std::string& program, int number, const std::string& previous = {})
{
    auto request = Deployment::request("POST", "/t/x", "t" + std::to_string(number));
    request.body = "in" + std::to_string(number) + "|";
    request.headers.push_back({ "Program-Id", program });
    request.headers.push_back({ "Token-Count", "100,30" });
    if (!previous.empty())
        request.headers.push_back({ "Previous-Turn", previous });
    return request;
}

// Two instances of different failure domains. A conversation begins at the second one.
struct TwoDomains {
    TwoDomains()
    {
        this->deployment.publish(1);
        this->first = this->deployment.startReady("n1", true, "a");
        this->second = this->deployment.startReady("n2", true, "b");
        REQUIRE(this->deployment.send(*this->second, turnOf("p1", 1)).second.status == 200);
    }

    // Continues the conversation at the first instance with a turn every 8 s, for longer than the retention and the
    // time after which an expired turn is deleted.
    void continueElsewhere(const std::string& program)
    {
        for (int number = 2; number <= lastTurn; ++number) {
            passTime(Seconds(8));
            int tries = 0;
            REQUIRE(eventually([&] {
                auto request = turnOf(program, number, "t" + std::to_string(number - 1));
                if (++tries > 1)
                    std::this_thread::sleep_for(std::chrono::milliseconds(50));
                return this->deployment.send(*this->first, request).second.status == 200;
            }));
        }
    }

    static constexpr int lastTurn = 16;
    Deployment deployment;
    FakeEndpoint& endpoint = deployment.addEndpoint("i-1", "engines", threeEvents);
    std::shared_ptr<Ingress> first;
    std::shared_ptr<Ingress> second;
};

} // namespace

// Guards against a conversation that loses its oldest turns when the instance at which it goes on is restarted, because
// another instance, which does not see the later turns, has deleted them from the store.
TEST_CASE("the store keeps the oldest turns of a conversation that goes on in another failure domain")
{
    TwoDomains pair;
    pair.continueElsewhere("p1");
    for (int number = 1; number <= TwoDomains::lastTurn; ++number)
        REQUIRE(pair.deployment.fakeStore.contains(StoreTopic::Turns, "t" + std::to_string(number)));
}

// Guards against the loss of the oldest turns when the later ones are in another partition of the store.
TEST_CASE("the store keeps the turns that another program continues")
{
    TwoDomains pair;
    // Programs of different partitions.
    std::string other = "other";
    while (idFromName<ProgramId>("w/" + other).value % 2 == idFromName<ProgramId>("w/p1").value % 2)
        other += "x";
    pair.continueElsewhere(other);
    for (int number = 1; number <= TwoDomains::lastTurn; ++number)
        REQUIRE(pair.deployment.fakeStore.contains(StoreTopic::Turns, "t" + std::to_string(number)));
}

// Guards against a stored turn that an instance does not find, because it has read the partition before, has dropped
// the turn from memory since, and reads only the records after it.
TEST_CASE("an instance reads a stored turn again that it has dropped from memory")
{
    TwoDomains pair;
    auto& deployment = pair.deployment;
    const auto third = deployment.startReady("n3", true, "c");
    const auto finds = [&](const std::string& turn) {
        return !callInstance<HistoryReply>(deployment, *third, HistoryRequest { turn, HistoryScope::Store })
                    .turns.empty();
    };
    REQUIRE(eventually([&] { return finds("t1"); }));
    pair.continueElsewhere("p1");
    REQUIRE(
        callInstance<HistoryReply>(deployment, *third, HistoryRequest { "t1", HistoryScope::Memory }).turns.empty());
    REQUIRE(finds("t1"));
}

// Guards against a store that fills up with conversations that have ended.
TEST_CASE("the turns of a conversation that does not go on are deleted from the store")
{
    TwoDomains pair;
    REQUIRE(pair.deployment.fakeStore.contains(StoreTopic::Turns, "t1"));
    passTime(Seconds(160));
    REQUIRE(eventually([&] { return pair.deployment.fakeStore.keyCount(StoreTopic::Turns) == 0; }));
}
