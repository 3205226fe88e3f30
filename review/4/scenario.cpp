// A program spends most of its budget in one zone. The instance that holds its reservations is killed, and half a
// second later the store goes down. The program goes on, also during the outage.
#include "../standins/deployment.h"

using namespace review;

namespace {

constexpr int mostTokens = 5 * tokensPerEvent;
constexpr int budget = 10 * mostTokens;

int play(Record& record, bool trouble)
{
    static Store store("127.0.0.1", std::chrono::seconds(20));
    static std::mutex mutex;
    // Name of the instance that wrote the last reservation.
    static std::string owner;
    store.onAppend = [&record](const Store::Append& append) {
        if (append.topic != "keyed.tokens" || append.entries.empty())
            return Store::Fate {};
        const auto& key = append.entries.back().key;
        const auto begin = key.find('/') + 1;
        const std::scoped_lock lock(mutex);
        owner = key.substr(begin, key.find('/', begin) - begin);
        record.write("store appends to keyed.tokens " + key);
        return Store::Fate {};
    };
    static Deployment deployment(record, store, { .perZone = 2 });
    const EndAll guard(deployment);
    if (!deployment.awaitReady(std::chrono::seconds(15)))
        throw std::runtime_error("the instances are not ready");
    std::this_thread::sleep_for(std::chrono::seconds(6));

    int handedOut = 0;
    int turns = 0;
    const auto spend = [&](const Instance& instance) {
        const auto answer = deployment.send(
            instance, { "turn-" + std::to_string(++turns), "program-1", "", "input\n", budget, mostTokens });
        handedOut += answer.events * tokensPerEvent;
        std::this_thread::sleep_for(Millis(answer.status == 200 ? 20 : 300));
        return answer.status;
    };
    const auto zoneA = deployment.inZone("zone-a");
    for (int index = 0; index < 8; ++index)
        spend(*zoneA.front());
    record.write("tokens handed out so far: " + std::to_string(handedOut) + " of " + std::to_string(budget));

    auto* holder = zoneA.front();
    for (auto* instance : zoneA) {
        const std::scoped_lock lock(mutex);
        if (instance->name == owner)
            holder = instance;
    }
    if (trouble) {
        deployment.kill(*holder);
        std::this_thread::sleep_for(Millis(500));
        record.write("the store is down");
        store.isSilent = true;
    }
    const auto start = Clock::now();
    bool isDown = trouble;
    bool isEnded = false;
    while (Clock::now() < start + std::chrono::seconds(20)) {
        const auto passed = Clock::now() - start;
        if (isDown && passed > std::chrono::seconds(6)) {
            record.write("the store is back");
            store.isSilent = false;
            isDown = false;
        }
        if (trouble && holder->process == 0 && passed > Millis(3000))
            deployment.start(*holder);
        if (!isEnded && spend(*deployment.inZone("zone-b").front()) == 402)
            isEnded = true;
        if (isEnded)
            std::this_thread::sleep_for(Millis(100));
        if (isEnded && !isDown)
            break;
    }
    const int allowed = budget + mostTokens;
    record.write("tokens handed out: " + std::to_string(handedOut) + ", allowed: " + std::to_string(allowed));
    return handedOut > allowed ? 1 : 0;
}

} // namespace

int main() { return runCase(play); }
