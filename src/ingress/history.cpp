#include "ingress_p.h"

#include <algorithm>
#include <fmt/format.h>

namespace peridotramp {

namespace {

constexpr Milliseconds askLimit { 150 };
// A question that makes an instance read its partitions of the store.
constexpr Milliseconds deepAskLimit { 700 };
constexpr Milliseconds retryAfterUnsure { 300 };
// Turns that another instance keeps.
constexpr Seconds heldCopyLife { 15 };
// Gaps in one history that are looked for; a history that crosses programs has one for each.
constexpr int mostGaps = 6;

// Number of instances and the name of the first one; an instance may be in doubt for two questions.
std::string countOf(const std::vector<FleetMember>& members)
{
    std::set<std::string> names;
    std::ranges::transform(members, std::inserter(names, names.end()), &FleetMember::name);
    return fmt::format("{} (first {} in {})", names.size(), members.front().name, members.front().domain);
}

// What keeps a turn that is not found from being called unknown.
std::string describe(const SearchDoubts& doubts)
{
    std::vector<std::string> parts;
    if (!doubts.membersKnown)
        parts.emplace_back("members not read");
    if (!doubts.unread.empty())
        parts.push_back(
            fmt::format("partitions not read: {} (first {})", doubts.unread.size(), doubts.unread.begin()->value));
    if (!doubts.silent.empty())
        parts.push_back("instances not answering: " + countOf(doubts.silent));
    if (!doubts.unsure.empty())
        parts.push_back("instances without their partitions: " + countOf(doubts.unsure));
    if (!doubts.withoutStore.empty())
        parts.push_back("instances that lost the store: " + countOf(doubts.withoutStore));
    if (!doubts.watched)
        parts.emplace_back("no instance has watched the store for the retention");
    return parts.empty() ? "no doubts" : fmt::format("{}", fmt::join(parts, ", "));
}

} // namespace

std::vector<SharedTurn> Ingress::Impl::heldHistory(std::string_view turn)
{
    auto history = collectHistory(turn, [this](std::string_view id) { return this->findTurn(id); });
    return history.missing.empty() ? std::move(history.turns) : std::vector<SharedTurn> {};
}

asio::awaitable<void> Ingress::Impl::askForTurn(asio::any_io_executor executor, std::vector<FleetMember> members,
    std::string turn, HistoryDepth depth, TimePoint deadline, SearchDoubts& doubts)
{
    struct Answer {
        FleetMember member;
        std::optional<HistoryReply> reply;
    };
    const auto limit = depth == HistoryDepth::Memory ? askLimit : deepAskLimit;
    const Mailbox<Answer> answers(executor);
    askMembers<HistoryReply>(this->fleet, members, HistoryRequest { turn, depth }, limit,
        [answers](const FleetMember& member, std::optional<HistoryReply> reply) {
            answers.push({ member, std::move(reply) });
        });
    const auto end = std::min(deadline, RuntimeClock::now() + limit);
    while (!members.empty()) {
        auto answer = co_await answers.next(end);
        if (!answer)
            break;
        if (!answer->reply)
            continue;
        std::erase_if(members, [&](const FleetMember& member) { return member.name == answer->member.name; });
        const auto watch = answer->reply->watch;
        doubts.watched = doubts.watched || watch == StoreWatch::Whole;
        if (depth == HistoryDepth::Store && !answer->reply->isRead)
            doubts.unsure.push_back(answer->member);
        if (depth == HistoryDepth::Store && watch == StoreWatch::Failed)
            doubts.withoutStore.push_back(answer->member);
        if (answer->reply->turns.empty())
            continue;
        for (auto& held : answer->reply->turns)
            this->addTurn(std::move(held), std::nullopt, heldCopyLife);
        co_return;
    }
    std::ranges::move(members, std::back_inserter(doubts.silent));
}

void Ingress::Impl::applyTurns(StorePartition partition, const std::vector<StoreRecord>& records)
{
    const auto keepFor = this->longestRetention();
    for (const auto& record : records) {
        if (record.value.empty())
            continue;
        auto turn = decodeTurn(record.value);
        if (turn)
            this->addTurn(std::move(turn.value()), partition, keepFor);
        else
            log(LogLevel::Warning, "stored turn ignored", { { "key", record.key } });
    }
}

asio::awaitable<bool> Ingress::Impl::readTurns(asio::any_io_executor executor, StorePartition partition)
{
    const std::function<asio::awaitable<bool>()> read
        = [this, executor, partition]() -> asio::awaitable<bool> { return this->readNewTurns(executor, partition); };
    const bool done = co_await this->turnReads.run(executor, partition, read);
    co_return done;
}

asio::awaitable<bool> Ingress::Impl::readNewTurns(asio::any_io_executor executor, StorePartition partition)
{
    const auto hash = static_cast<std::uint64_t>(partition.value);
    const auto cursor = [&] {
        return this->turnCursors.with(hash, [&](std::map<StorePartition, Offset>& shard) -> std::optional<Offset> {
            const auto found = shard.find(partition);
            return found == shard.end() ? std::nullopt : std::optional(found->second);
        });
    };
    const auto advance = [&](Offset next) {
        this->turnCursors.with(hash, [&](std::map<StorePartition, Offset>& shard) { shard[partition] = next; });
    };
    const auto apply = [&](const std::vector<StoreRecord>& records) { this->applyTurns(partition, records); };
    while (true) {
        const auto from = cursor();
        if (!from) {
            const std::function<void(std::vector<StoreRecord>)> onPage = apply;
            const auto end = co_await readNewest(executor, this->store, StoreTopic::Turns, partition, onPage);
            if (!end)
                co_return false;
            advance(*end);
            log(LogLevel::Info, "stored turns read", { { "partition", partition.value } });
            co_return true;
        }
        const std::function<void(MetadataStore::ReadHook)> start = [&](MetadataStore::ReadHook hook) {
            this->store.read(StoreTopic::Turns, partition, *from, Milliseconds(0), std::move(hook));
        };
        const auto read = co_await resultOf<Result<StoreRead>>(executor, RuntimeClock::now() + Seconds(3), start);
        if (!read || !*read)
            co_return false;
        const auto& content = read->value();
        if (content.gap) {
            this->turnCursors.with(hash, [&](std::map<StorePartition, Offset>& shard) { shard.erase(partition); });
            continue;
        }
        apply(content.records);
        advance(content.next);
        if (content.next >= content.end)
            co_return true;
    }
}

asio::awaitable<HistoryReply> Ingress::Impl::answerHistory(asio::any_io_executor executor, HistoryRequest request)
{
    const auto collect = [&] {
        HistoryReply reply { {}, false, this->storeWatch() };
        const auto held = collectHistory(request.turn, [this](std::string_view id) { return this->findTurn(id); });
        std::ranges::transform(held.turns, std::back_inserter(reply.turns),
            [](const SharedTurn& turn) { return ConversationTurn(*turn); });
        return reply;
    };
    auto reply = collect();
    if (!reply.turns.empty() || request.depth == HistoryDepth::Memory)
        co_return reply;
    bool all = true;
    for (const auto partition : this->keptPartitions())
        all = co_await this->readTurns(executor, partition) && all;
    reply = collect();
    reply.isRead = all;
    co_return reply;
}

std::vector<StorePartition> Ingress::Impl::keptPartitions()
{
    const auto members = this->keeperCandidatesIn(this->init.domain);
    std::vector<StorePartition> kept;
    for (StorePartition partition; partition.value < this->init.storePartitions; ++partition.value) {
        const auto order = weightedRendezvousOrder(members, static_cast<std::uint64_t>(partition.value));
        if (!order.empty() && order.front().name == this->init.name)
            kept.push_back(partition);
    }
    return kept;
}

std::vector<FleetMember> Ingress::Impl::likelyHolders(StorePartition partition)
{
    auto holders = this->keepersElsewhere(partition);
    auto own = this->keepersOf(partition, this->init.domain);
    std::erase_if(own, [&](const FleetMember& member) { return member.name == this->init.name; });
    if (!own.empty())
        holders.push_back(std::move(own.front()));
    return holders;
}

StoreWatch Ingress::Impl::storeWatch()
{
    const auto retention = this->longestRetention();
    if (this->storeHealth.sinceFailure() < retention)
        return StoreWatch::Failed;
    // Nothing has been lost before the first start of the whole system.
    const bool isWhole = this->init.firstStart || RuntimeClock::now() - this->startedAt >= retention;
    return isWhole ? StoreWatch::Whole : StoreWatch::SinceStart;
}

asio::awaitable<TurnSearch> Ingress::Impl::findMissingTurn(asio::any_io_executor executor, StorePartition partition,
    std::string turn, TimePoint deadline, SearchDoubts& doubts)
{
    const auto isHeld = [&] { return this->findTurn(turn) != nullptr; };
    // The instances that keep the program in other failure domains, and the next one in this. All are asked below.
    SearchDoubts passing;
    co_await this->askForTurn(executor, this->likelyHolders(partition), turn, HistoryDepth::Memory, deadline, passing);
    if (isHeld())
        co_return TurnSearch::Found;
    if (!co_await this->readTurns(executor, partition))
        doubts.unread.insert(partition);
    if (isHeld())
        co_return TurnSearch::Found;
    // The turn may belong to another program, or be known only to the instance that answered it.
    doubts.membersKnown = this->membersKnown;
    const auto watch = this->storeWatch();
    doubts.watched = watch == StoreWatch::Whole;
    if (watch == StoreWatch::Failed)
        doubts.withoutStore.push_back(this->fleet.self());
    std::vector<FleetMember> members;
    std::ranges::transform(this->fleet.reachable(), std::back_inserter(members), &Peer::member);
    for (const auto& peer : this->fleet.peers()) {
        if (std::ranges::find(members, peer.member.name, &FleetMember::name) == members.end())
            doubts.silent.push_back(peer.member);
    }
    co_await this->askForTurn(executor, members, turn, HistoryDepth::Memory, deadline, doubts);
    if (isHeld())
        co_return TurnSearch::Found;
    for (const auto kept : this->keptPartitions()) {
        if (!co_await this->readTurns(executor, kept))
            doubts.unread.insert(kept);
    }
    if (isHeld())
        co_return TurnSearch::Found;
    std::erase_if(members, [&](const FleetMember& member) { return member.domain != this->init.domain; });
    co_await this->askForTurn(executor, members, turn, HistoryDepth::Store, deadline, doubts);
    if (isHeld())
        co_return TurnSearch::Found;
    co_return doubts.none() ? TurnSearch::Unknown : TurnSearch::Unsure;
}

asio::awaitable<Result<std::vector<SharedTurn>>> Ingress::Impl::historyOf(
    asio::any_io_executor executor, ProgramId program, std::string turn, std::string workspace, TimePoint deadline)
{
    using History = Result<std::vector<SharedTurn>>;
    // The log line of the refusal tells what was missing; the caller is told the kind only.
    const auto place = [&](const std::string& missing) {
        const auto partition = this->partitionOf(program);
        const auto cursor = this->turnCursors.with(
            static_cast<std::uint64_t>(partition.value), [&](const std::map<StorePartition, Offset>& shard) {
                const auto found = shard.find(partition);
                return found == shard.end() ? std::string("not read") : fmt::format("read to {}", found->second.value);
            });
        const auto sinceFailure = this->storeHealth.sinceFailure();
        const auto age = [](Duration time) { return std::chrono::duration_cast<Milliseconds>(time).count(); };
        return fmt::format("turn {}, partition {} {}, {}, started {} ms ago", missing, partition.value, cursor,
            sinceFailure == Duration::max() ? "no failure of the store"
                                            : fmt::format("store failed {} ms ago", age(sinceFailure)),
            age(RuntimeClock::now() - this->startedAt));
    };
    const auto unsure = [&](const std::string& missing, const std::string& reason) {
        return History(Error { ErrorKind::NotReady, Outcome::NotRun,
            fmt::format("history not at hand: {}: {}", place(missing), reason), retryAfterUnsure });
    };
    std::string missing = turn;
    for (int gap = 0; gap <= mostGaps && RuntimeClock::now() < deadline; ++gap) {
        const auto history = collectHistory(turn, [this](std::string_view id) { return this->findTurn(id); });
        // The newest turn tells whose conversation it is.
        if (!history.turns.empty() && history.turns.back()->workspace != workspace)
            co_return History(Error { ErrorKind::UnknownTurn, Outcome::NotRun, turn + " of another workspace" });
        if (history.missing.empty())
            co_return History(history.turns);
        this->metrics.count("history_searches");
        SearchDoubts doubts;
        const auto found
            = co_await this->findMissingTurn(executor, this->partitionOf(program), history.missing, deadline, doubts);
        missing = history.missing;
        if (found == TurnSearch::Unknown)
            co_return History(Error { ErrorKind::UnknownTurn, Outcome::NotRun, place(missing) });
        if (found == TurnSearch::Unsure)
            co_return History(unsure(missing, describe(doubts)));
    }
    co_return History(unsure(missing, "too many gaps or no time left"));
}

} // namespace peridotramp
