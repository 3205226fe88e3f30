#include "fixture.h"

using namespace peridotramp;

namespace {

// Well below the period after which an instance writes its record again in any case.
constexpr Seconds restoreLimit { 8 };

} // namespace

// Guards against an instance that the others do not know for up to 20 s, or know at an earlier address, because a
// deletion or a record of its earlier process took effect only after its own.
TEST_CASE("an instance writes its member record again when another one has replaced it")
{
    Deployment deployment;
    deployment.publish(1);
    const auto instance = deployment.startReady("n1");
    const auto hasOwnRecord = [&] {
        const auto member = decodeMember(deployment.fakeStore.newest(StoreTopic::Members, "n1"));
        return member && member->address == instance->peerAddress();
    };
    REQUIRE(eventually(hasOwnRecord));
    // Until its second announcement after the start.
    std::this_thread::sleep_for(Milliseconds(1500));
    for (const auto& late : { std::string(), encodeMember({ "n1", "a", { "127.0.0.1", 9 }, 1 }) }) {
        const auto begin = RuntimeClock::now();
        deployment.fakeStore.put(StoreTopic::Members, {}, "n1", late);
        REQUIRE(eventually(hasOwnRecord));
        REQUIRE(RuntimeClock::now() - begin < restoreLimit);
    }
}
