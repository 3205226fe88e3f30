// A conversation begins in one zone and goes on in another one, with a turn every 8 s, for longer than the retention.
// Then the instances of the second zone are stopped and started in turn, and the conversation goes on.
#include "../standins/deployment.h"

using namespace review;

namespace {

constexpr double retentionS = 60;
constexpr double pauseS = 8;
constexpr int turnsBefore = 9;

void waitUntil(const Record& record, double second)
{
    while (record.seconds() < second)
        std::this_thread::sleep_for(Millis(10));
}

std::string nameOf(int turn) { return "turn-" + std::to_string(turn); }

std::string inputOf(int turn) { return "input of turn " + std::to_string(turn) + "\n"; }

// What the runner has to get before the input of a turn: the input and the events of all earlier turns.
std::string historyBefore(int turn)
{
    std::string text;
    for (int earlier = 1; earlier < turn; ++earlier) {
        text += inputOf(earlier);
        for (int event = 1; event <= 5; ++event)
            text += nameOf(earlier) + "-" + std::to_string(event) + "\n";
    }
    return text;
}

int play(Record& record, bool trouble)
{
    static Store store("127.0.0.1", std::chrono::seconds(20));
    static Deployment deployment(record, store, { .perZone = 2, .retentionS = retentionS });
    const EndAll guard(deployment);
    if (!deployment.awaitReady(std::chrono::seconds(15)))
        throw std::runtime_error("the instances are not ready");
    double answeredAt = 0;
    for (int turn = 1; turn <= turnsBefore; ++turn) {
        waitUntil(record, turn * pauseS);
        auto& instance = *deployment.inZone(turn == 1 ? "zone-b" : "zone-a").front();
        const auto answer = deployment.send(
            instance, { nameOf(turn), "program-1", turn == 1 ? "" : nameOf(turn - 1), inputOf(turn) });
        if (!answer.isWhole())
            throw std::runtime_error(nameOf(turn) + " was not answered whole before the disruption");
        answeredAt = record.seconds();
    }

    // The first turn is older than the retention by now, but part of the chain of the last one.
    waitUntil(record, turnsBefore * pauseS + 3);
    if (trouble) {
        for (auto* instance : deployment.inZone("zone-a")) {
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

    const int last = turnsBefore + 1;
    for (int attempt = 1; attempt <= 5; ++attempt) {
        const auto requestId = nameOf(last) + "-try-" + std::to_string(attempt);
        const auto answer = deployment.send(
            *deployment.inZone("zone-c").front(), { requestId, "program-1", nameOf(turnsBefore), inputOf(last) });
        const double age = record.seconds() - answeredAt;
        record.write(nameOf(turnsBefore) + " was answered whole " + std::to_string(age) + " s ago");
        if (age >= retentionS)
            throw std::runtime_error("the machine is too slow: the last turn is older than the retention");
        if (answer.status == 404 || answer.status == 410)
            return 1;
        const auto runs = deployment.runner.runsOf(requestId);
        if (!runs.empty()) {
            const bool isExpected = runs.front().body == historyBefore(last) + inputOf(last);
            if (!isExpected)
                record.write("the runner got another body: " + runs.front().body);
            return isExpected ? 0 : 1;
        }
        std::this_thread::sleep_for(Millis(300));
    }
    record.write("the turn reached no runner in 5 tries");
    return 1;
}

} // namespace

int main() { return runCase(play); }
