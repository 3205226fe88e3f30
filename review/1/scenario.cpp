// A conversation continues through another zone shortly before its first turn is as old as the retention. Later the
// instances of that zone are stopped and started in turn, and the conversation goes on.
#include "../standins/deployment.h"

using namespace review;

namespace {

constexpr double retentionS = 60;

void waitUntil(const Record& record, double second)
{
    while (record.seconds() < second)
        std::this_thread::sleep_for(Millis(10));
}

int play(Record& record, bool trouble)
{
    static Store store("127.0.0.1", std::chrono::seconds(20));
    static Deployment deployment(record, store, { .perZone = 2, .retentionS = retentionS });
    const EndAll guard(deployment);
    if (!deployment.awaitReady(std::chrono::seconds(15)))
        throw std::runtime_error("the instances are not ready");
    waitUntil(record, 8);
    auto& zoneA = *deployment.inZone("zone-a").front();
    auto& zoneB = *deployment.inZone("zone-b").front();
    auto& zoneC = *deployment.inZone("zone-c").front();

    const auto first = deployment.send(zoneA, { "turn-1", "program-1", "", "first\n" });
    waitUntil(record, 8 + 46);
    const auto second = deployment.send(zoneB, { "turn-2", "program-1", "turn-1", "second\n" });
    const double answeredAt = record.seconds();
    if (!first.isWhole() || !second.isWhole())
        throw std::runtime_error("the first turns were not answered");

    // The first turn is now older than the retention, the second one is not; it keeps its chain.
    waitUntil(record, 8 + 68);
    if (trouble) {
        for (auto* instance : deployment.inZone("zone-b")) {
            deployment.stop(*instance);
            std::this_thread::sleep_for(Millis(300));
            deployment.start(*instance);
            std::this_thread::sleep_for(Millis(1300));
        }
    } else {
        std::this_thread::sleep_for(std::chrono::seconds(9));
    }
    if (!deployment.awaitReady(std::chrono::seconds(8)))
        throw std::runtime_error("the instances are not ready again");
    // All machines are in touch again: `contactMs` is 3 s.
    std::this_thread::sleep_for(Millis(3500));

    int refused = 0;
    for (int attempt = 1; attempt <= 5; ++attempt) {
        const auto requestId = "turn-3-try-" + std::to_string(attempt);
        const auto third = deployment.send(zoneC, { requestId, "program-1", "turn-2", "third\n" });
        const double age = record.seconds() - answeredAt;
        record.write("turn-2 was answered whole " + std::to_string(age) + " s ago");
        if (age >= retentionS)
            throw std::runtime_error("the machine is too slow: turn-2 is older than the retention");
        if (third.status == 404 || third.status == 410)
            return 1;
        const auto runs = deployment.runner.runsOf(requestId);
        if (!runs.empty()) {
            const std::string expected = "first\n" + std::string("turn-1-1\nturn-1-2\nturn-1-3\nturn-1-4\nturn-1-5\n")
                + "second\n" + "turn-2-1\nturn-2-2\nturn-2-3\nturn-2-4\nturn-2-5\n" + "third\n";
            if (runs.front().body != expected)
                record.write("the runner got another body: " + runs.front().body);
            return runs.front().body == expected ? 0 : 1;
        }
        ++refused;
        std::this_thread::sleep_for(Millis(300));
    }
    record.write("the turn reached no runner in " + std::to_string(refused) + " tries");
    return 1;
}

} // namespace

int main() { return runCase(play); }
