// A program spends most of its budget in one zone. Then the instance that holds its reservations there is killed, and
// at the same moment the store goes down. The program goes on in another zone.
//
// With ORDER=return the other way round, for an entry of KNOWN-RED.txt: the program spends its budget while the store
// is down, and the holder is killed in the outage and starts again when the store has returned.
#include "../standins/deployment.h"

using namespace review;

namespace {

constexpr int mostTokens = 5 * tokensPerEvent;
constexpr int budget = 10 * mostTokens;
constexpr int subAgents = 5;
constexpr auto outage = std::chrono::seconds(6);
// Turns take up to a second meanwhile; with them the process is away for at most 3.5 s.
constexpr auto restartTime = Millis(2400);

struct Spender {
    Deployment& deployment;
    std::atomic<int> handedOut = 0;
    std::atomic<int> turns = 0;

    // Sends one turn and returns its status.
    int spend(const Instance& instance)
    {
        const auto answer = this->deployment.send(
            instance, { "turn-" + std::to_string(++this->turns), "program-1", "", "input\n", budget, mostTokens });
        this->handedOut += answer.events * tokensPerEvent;
        std::this_thread::sleep_for(Millis(answer.status == 200 ? 20 : 300));
        return answer.status;
    }
    void report(Record& record) const
    {
        record.write("tokens handed out so far: " + std::to_string(this->handedOut) + " of " + std::to_string(budget));
    }
};

std::mutex ownerMutex;
// Name of the instance that wrote the last reservation.
std::string lastOwner;

Instance& holderIn(const std::vector<Instance*>& zone)
{
    const std::scoped_lock lock(ownerMutex);
    const auto found = std::ranges::find(zone, lastOwner, &Instance::name);
    return found == zone.end() ? *zone.front() : **found;
}

void setDown(Record& record, Store& store, bool isDown)
{
    record.write(isDown ? "the store is down" : "the store is back");
    store.isSilent = isDown;
}

void killBeforeOutage(Record& record, Deployment& deployment, Spender& spender, bool trouble)
{
    const auto zoneA = deployment.inZone("zone-a");
    const auto zoneB = deployment.inZone("zone-b");
    for (int index = 0; index < 8; ++index)
        spender.spend(*zoneA.front());
    spender.report(record);
    auto& holder = holderIn(zoneA);
    const auto start = Clock::now();
    if (trouble) {
        deployment.kill(holder);
        setDown(record, deployment.store, true);
    }
    bool isDown = trouble;
    bool isSpent = false;
    while (isDown || (!isSpent && Clock::now() < start + 3 * outage)) {
        if (!isSpent)
            isSpent = spender.spend(*zoneB.front()) == 402;
        else
            std::this_thread::sleep_for(Millis(20));
        const auto passed = Clock::now() - start;
        if (trouble && holder.process == 0 && passed > restartTime)
            deployment.start(holder);
        if (isDown && passed > outage) {
            setDown(record, deployment.store, false);
            isDown = false;
        }
    }
}

void killBeforeReturn(Record& record, Deployment& deployment, Spender& spender, bool trouble)
{
    const auto zoneA = deployment.inZone("zone-a");
    auto& instance = *zoneA.front();
    const auto start = Clock::now();
    if (trouble)
        setDown(record, deployment.store, true);
    std::this_thread::sleep_for(Millis(2500));
    for (int index = 0; index < 12 && spender.spend(instance) != 402; ++index) { }
    spender.report(record);
    std::this_thread::sleep_until(start + outage - Millis(500));
    if (trouble)
        deployment.kill(instance);
    std::this_thread::sleep_until(start + outage);
    if (trouble) {
        setDown(record, deployment.store, false);
        deployment.start(instance);
    }
    const auto until = Clock::now() + std::chrono::seconds(4);
    while (!deployment.isReady(instance) && Clock::now() < until)
        std::this_thread::sleep_for(Millis(10));
    // Sub-agents of the program, in parallel.
    std::vector<std::jthread> agents;
    for (int index = 0; index < subAgents; ++index)
        agents.emplace_back([&] {
            while (Clock::now() < until && spender.spend(instance) != 402) { }
        });
}

int play(Record& record, bool trouble)
{
    static Store store("127.0.0.1", std::chrono::seconds(20));
    store.onAppend = [&record](const Store::Append& append) {
        if (append.topic != "keyed.tokens" || append.entries.empty())
            return Store::Fate {};
        const auto& key = append.entries.back().key;
        const auto begin = key.find('/') + 1;
        const std::scoped_lock lock(ownerMutex);
        lastOwner = key.substr(begin, key.find('/', begin) - begin);
        record.write("store appends to keyed.tokens " + key);
        return Store::Fate {};
    };
    static Deployment deployment(record, store, { .perZone = 2 });
    const EndAll guard(deployment);
    if (!deployment.awaitReady(std::chrono::seconds(15)))
        throw std::runtime_error("the instances are not ready");
    std::this_thread::sleep_for(std::chrono::seconds(6));

    Spender spender { deployment };
    const char* order = std::getenv("ORDER");
    if (order && std::string(order) == "return")
        killBeforeReturn(record, deployment, spender, trouble);
    else
        killBeforeOutage(record, deployment, spender, trouble);
    const int allowed = budget + mostTokens;
    record.write("tokens handed out: " + std::to_string(spender.handedOut) + ", allowed: " + std::to_string(allowed));
    return spender.handedOut > allowed ? 1 : 0;
}

} // namespace

int main() { return runCase(play); }
