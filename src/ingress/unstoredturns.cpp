#include "ingress_p.h"
#include "storesettled_p.h"

#include <algorithm>

// Turns are answered with copies at other instances while the metadata store is unavailable. Each instance that knows
// such a turn sees to it that the store gets it: those that have it in a queue of writes may fail before the store is
// back.

namespace peridotramp {

namespace {

constexpr Milliseconds checkPeriod { 500 };
// Timeout of the question to the holders of a partition which turns are stored.
constexpr Milliseconds storedTurnsTimeout { 300 };
// Maximum number of turns of one question, which bounds the size of its answer.
constexpr std::size_t maxTurnsPerQuestion = 1000;
// Timeout of a message with a turn for another instance.
constexpr Milliseconds handoverTimeout { 900 };

} // namespace

void Ingress::Impl::startStoringTurns()
{
    this->runtime.every(checkPeriod, [this] { this->checkUnstoredTurns(); });
}

std::map<StorePartition, std::vector<UnstoredTurn>> Ingress::Impl::unstoredTurns()
{
    std::map<StorePartition, std::vector<UnstoredTurn>> unstored;
    this->turns.forEach([&](const ConversationTable& shard) {
        for (auto& turn : shard.unstored())
            unstored[this->partitionOf(turn.turn->program)].push_back(std::move(turn));
    });
    return unstored;
}

void Ingress::Impl::checkUnstoredTurns()
{
    const auto unstored = this->unstoredTurns();
    const auto now = RuntimeClock::now();
    std::size_t count = 0;
    Duration oldest {};
    for (const auto& [partition, turns] : unstored) {
        count += turns.size();
        for (const auto& turn : turns)
            oldest = std::max(oldest, now - turn.since);
    }
    this->metrics.set("turns_unstored", static_cast<double>(count));
    this->metrics.set("turns_unstored_oldest_seconds", std::chrono::duration<double>(oldest).count());
    // Until the store has settled, those that have the turns in their queues of writes store them.
    if (unstored.empty() || !hasStoreSettled(this->storeHealth) || this->isStoringTurns.exchange(true))
        return;
    const auto executor = this->newStrand();
    asio::co_spawn(
        executor,
        [](std::shared_ptr<Impl> impl, asio::any_io_executor strand,
            std::map<StorePartition, std::vector<UnstoredTurn>> found) -> asio::awaitable<void> {
            for (auto& [partition, turns] : found)
                co_await impl->storeUnstoredTurns(strand, partition, std::move(turns));
        }(this->shared_from_this(), executor, unstored),
        [impl = this->shared_from_this()](const std::exception_ptr& error) {
            impl->isStoringTurns = false;
            logUnexpectedError("storing turns", error);
        });
}

asio::awaitable<void> Ingress::Impl::storeUnstoredTurns(
    asio::any_io_executor executor, StorePartition partition, std::vector<UnstoredTurn> unstored)
{
    const auto queued = this->turnWriter(partition).waitingKeys();
    std::erase_if(unstored, [&](const UnstoredTurn& turn) { return queued.contains(turn.turn->id); });
    unstored.resize(std::min(unstored.size(), maxTurnsPerQuestion));
    if (unstored.empty())
        co_return;
    StoredTurnsRequest question;
    std::ranges::transform(
        unstored, std::back_inserter(question.turns), [](const UnstoredTurn& turn) { return turn.turn->id; });
    const auto holders = this->holdersInAllDomains(partition);
    const auto answers
        = callEach<StoredTurnsReply>(executor, this->fleet, holders, std::move(question), storedTurnsTimeout);
    const auto limit = RuntimeClock::now() + storedTurnsTimeout;
    std::set<std::string> stored;
    for (std::size_t index = 0; index < holders.size(); ++index) {
        const auto next = co_await answers.next(limit);
        const auto answer = next.value_or(std::nullopt);
        if (answer)
            stored.insert(answer->stored.begin(), answer->stored.end());
    }
    for (const auto& id : stored)
        this->turns.with(hashBytes(id), [&](ConversationTable& shard) { shard.markStored(id); });
    std::erase_if(unstored, [&](const UnstoredTurn& turn) { return stored.contains(turn.turn->id); });
    const auto written = this->writeUnstoredTurns(partition, unstored);
    if (written > 0)
        log(LogLevel::Info, "turns that no holder knows to be stored are written",
            { { "partition", partition.value }, { "turns", std::uint64_t { written } },
                { "first", unstored.front().turn->id }, { "stored_by_others", std::uint64_t { stored.size() } } });
}

std::size_t Ingress::Impl::writeUnstoredTurns(StorePartition partition, const std::vector<UnstoredTurn>& unstored)
{
    auto& writer = this->turnWriter(partition);
    const auto queued = writer.waitingKeys();
    std::vector<StoreRecord> records;
    for (const auto& turn : unstored) {
        if (!queued.contains(turn.turn->id))
            records.push_back({ turn.turn->id, encodeTurn(*turn.turn), {} });
    }
    const auto written = records.size();
    // What a full queue does not take stays unstored and is written by a later check.
    if (written > 0)
        writer.write(std::move(records));
    return written;
}

void Ingress::Impl::handOverTurns()
{
    const auto unstored = this->unstoredTurns();
    for (StorePartition partition; partition.value < this->init.storePartitions; ++partition.value) {
        std::map<std::string, ConversationTurn> turns;
        for (const auto& record : this->turnWriter(partition).waitingRecords()) {
            auto turn = decodeTurn(record.value);
            if (turn)
                turns.emplace(record.key, std::move(turn.value()));
        }
        if (const auto found = unstored.find(partition); found != unstored.end()) {
            for (const auto& turn : found->second)
                turns.emplace(turn.turn->id, *turn.turn);
            this->writeUnstoredTurns(partition, found->second);
        }
        // An instance of another failure domain where this one has no other.
        auto successors = this->holderOrder(partition, this->init.domain);
        if (successors.empty())
            successors = this->holdersInOtherDomains(partition);
        if (turns.empty() || successors.empty())
            continue;
        // The receiver derives the partition from the program; this program id maps to `partition`.
        const ProgramId program { static_cast<std::uint64_t>(partition.value) };
        const auto keepFor = this->longestRetention();
        const auto& successor = successors.front();
        for (auto& [id, turn] : turns)
            this->fleet.call(successor.address, TurnCopy { program, std::move(turn), keepFor }, handoverTimeout,
                [id = id, name = successor.name](const Result<Message>& answer, bool) {
                    if (!answer)
                        log(LogLevel::Warning, "turn not handed over",
                            { { "request", id }, { "keeper", name }, { "reason", answer.error().message() } });
                });
        log(LogLevel::Info, "turns handed over",
            { { "partition", partition.value }, { "keeper", successor.name },
                { "turns", std::uint64_t { turns.size() } } });
    }
}

StoredTurnsReply Ingress::Impl::storedTurns(const StoredTurnsRequest& request)
{
    StoredTurnsReply reply;
    std::ranges::copy_if(request.turns, std::back_inserter(reply.stored), [&](const std::string& id) {
        return this->turns.with(hashBytes(id), [&](const ConversationTable& shard) { return shard.isStored(id); });
    });
    return reply;
}

} // namespace peridotramp
