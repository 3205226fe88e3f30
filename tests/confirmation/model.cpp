#include "model.h"

#include "peridotramp/coordination.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <ranges>
#include <set>

namespace peridotramp::model {

namespace {

const TimePoint now { Seconds(1000) };
const TimePoint turnEnd = now + Seconds(10);
const ProgramId program { 1 };
const TokenCount turnTokens { 100 };
constexpr std::uint64_t partitionKey = 0;

constexpr std::array<std::string_view, nodeCount> nodeNames { "a1", "a2", "b1", "b2", "c1", "c2" };
constexpr std::array<std::string_view, domainCount> domainNames { "a", "b", "c" };

std::size_t domainOf(std::size_t node) { return node / nodesPerDomain; }

struct LogRecord {
    std::string key;
    TokenReservation reservation;
};

struct Node {
    bool isAlive = true;
    int incarnation = 1;
    TokenLedger ledger { { "" } };
    bool isHolder = false;
    bool isComplete = false;
    bool isRead = false;
    // Whether enough time has passed since this process saw the store fail.
    bool isSettled = true;
    // Whether enough time has passed since this process started.
    bool isOld = false;
    // Records that its writer has not stored.
    std::vector<LogRecord> owed;
    // Failure domains whose holder may not know this instance's reservations.
    std::bitset<domainCount> pendingCopies;
};

enum class TurnStage : std::uint8_t { NotBegun, Prepared, Appended, Admitted, Refused };

struct Turn {
    TurnStage stage = TurnStage::NotBegun;
    std::size_t holder = 0;
    TokenReservation reservation {};
};

struct World {
    std::array<Node, nodeCount> nodes;
    NodeSet cut;
    bool isStoreUp = true;
    std::vector<LogRecord> log;
    std::vector<LogRecord> lateAppends;
    std::vector<Turn> turns;
    Faults left;
    bool allKilled = false;

    int admitted() const
    {
        return static_cast<int>(std::ranges::count(this->turns, TurnStage::Admitted, &Turn::stage));
    }
};

std::string describe(const TokenReservation& reservation)
{
    return fmt::format(
        "{}:{}:{}:{}", reservation.owner, reservation.reserved.value, reservation.used.value, reservation.revision);
}

std::string describe(const std::vector<LogRecord>& records)
{
    std::string text;
    for (const auto& record : records)
        text += record.key + "=" + describe(record.reservation) + ",";
    return text;
}

// Returns a text that is the same for two states if the same events can follow and have the same effects.
std::string fingerprint(const World& world)
{
    std::string text = fmt::format("{}{}|", world.cut.to_ulong(), world.isStoreUp);
    for (const auto& node : world.nodes) {
        text += fmt::format("{}{}{}{}{}{}{}{}[", node.isAlive, node.incarnation, node.isHolder, node.isComplete,
            node.isRead, node.isSettled, node.isOld, node.pendingCopies.to_ulong());
        for (const auto& known : node.ledger.knownReservations(program))
            text += describe(known) + ",";
        const auto account = node.ledger.account(program, now);
        text += fmt::format("{}:{}]{}|", account.reserved.value, account.held.value, describe(node.owed));
    }
    text += describe(world.log) + "|" + describe(world.lateAppends) + "|";
    for (const auto& turn : world.turns)
        text += fmt::format("{}{}{},", static_cast<int>(turn.stage), turn.holder, describe(turn.reservation));
    const auto& left = world.left;
    return text
        + fmt::format("|{}{}{}{}{}{}{}", left.cuts, left.storeOutages, left.kills, left.killsOfAll,
            left.repeatedAppends, left.lateAppends, world.allKilled);
}

class Explorer {
public:
    explicit Explorer(const Scenario& scenario)
        : scenario(scenario)
    {
    }

    Exploration run();

private:
    // How a state was reached first.
    struct Visited {
        std::size_t parent = 0;
        std::string event;
    };

    World firstWorld() const;
    void addSuccessors(const World& world);
    void addTurnEvents(const World& world);
    void addNodeEvents(const World& world);
    void addFaults(const World& world);
    // Adds the state that an event leads to.
    void add(World next, std::string event);

    bool reach(const World& world, std::size_t from, std::size_t to) const
    {
        return world.nodes[from].isAlive && world.nodes[to].isAlive && world.cut[from] == world.cut[to];
    }
    bool reachesStore(const World& world, std::size_t node) const
    {
        return world.nodes[node].isAlive && world.isStoreUp && !world.cut[node];
    }
    // Returns the holder of the program's partition in a domain, as one instance sees it.
    std::optional<std::size_t> holderAt(const World& world, std::size_t viewer, std::size_t domain) const;
    std::vector<std::size_t> holdersElsewhere(const World& world, std::size_t viewer) const;
    HolderScope scopeOf(std::size_t viewer, const std::vector<std::size_t>& holders) const;
    void updateMembership(World& world) const;
    void start(World& world, std::size_t node) const;
    void end(World& world, std::size_t node) const;
    void append(World& world, const LogRecord& record) const;
    void readLog(World& world, std::size_t node) const;
    void applyAll(
        World& world, std::size_t node, const std::vector<TokenReservation>& reservations, bool takesOver) const;
    TokenRequest requestOf(std::size_t turn) const;
    void begin(World& world, std::size_t turn, std::size_t holder) const;
    void admit(World& world, std::size_t turn) const;
    void copyToHolders(World& world, std::size_t node, const TokenReservation& reservation) const;
    void confirmThroughStore(World& world, std::size_t turn) const;
    void confirmByHolders(World& world, std::size_t turn) const;
    bool askHolders(World& world, std::size_t node) const;
    bool loadFromHolders(World& world, std::size_t node) const;
    HolderAnswers takePartition(World& world, std::size_t node, const std::vector<std::size_t>& holders) const;

    Scenario scenario;
    Exploration outcome;
    // In the order in which they were found.
    std::vector<Visited> visited;
    std::deque<World> unexplored;
    std::set<Digest> known;
    std::size_t current = 0;
};

std::optional<std::size_t> Explorer::holderAt(const World& world, std::size_t viewer, std::size_t domain) const
{
    std::vector<FleetMember> members;
    for (std::size_t node = domain * nodesPerDomain; node < (domain + 1) * nodesPerDomain; ++node) {
        if (this->scenario.rules.fixedHolders || this->reach(world, viewer, node))
            members.push_back({ std::string(nodeNames[node]), std::string(domainNames[domain]), {}, 1 });
    }
    const auto order = weightedRendezvousOrder(std::move(members), partitionKey);
    if (order.empty())
        return std::nullopt;
    const auto holder = static_cast<std::size_t>(std::ranges::find(nodeNames, order.front().name) - nodeNames.begin());
    return this->reach(world, viewer, holder) ? std::optional(holder) : std::nullopt;
}

std::vector<std::size_t> Explorer::holdersElsewhere(const World& world, std::size_t viewer) const
{
    std::vector<std::size_t> holders;
    for (std::size_t domain = 0; domain < domainCount; ++domain) {
        const auto holder = domain == domainOf(viewer) ? std::nullopt : this->holderAt(world, viewer, domain);
        if (holder)
            holders.push_back(*holder);
    }
    return holders;
}

HolderScope Explorer::scopeOf(std::size_t viewer, const std::vector<std::size_t>& holders) const
{
    HolderScope scope;
    for (std::size_t domain = 0; domain < domainCount; ++domain) {
        if (domain != domainOf(viewer))
            scope.domains.emplace_back(domainNames[domain]);
    }
    for (const auto holder : holders)
        scope.domainsWithHolder.emplace_back(domainNames[domainOf(holder)]);
    return scope;
}

void Explorer::applyAll(
    World& world, std::size_t node, const std::vector<TokenReservation>& reservations, bool takesOver) const
{
    auto& receiver = world.nodes[node];
    for (const auto& reservation : reservations) {
        const bool isNew = receiver.ledger.apply(reservation, now);
        if (isNew && takesOver && !receiver.isSettled)
            receiver.owed.push_back(
                { this->scenario.rules.key(reservation) + "@" + std::string(nodeNames[node]), reservation });
    }
}

// Every instance notices at once who can be reached. A holder that is replaced by one that it reaches hands over.
void Explorer::updateMembership(World& world) const
{
    struct Handover {
        std::size_t to;
        std::vector<TokenReservation> reservations;
    };
    std::vector<Handover> handovers;
    for (std::size_t index = 0; index < nodeCount; ++index) {
        auto& node = world.nodes[index];
        if (!node.isAlive)
            continue;
        node.isSettled = node.isSettled && this->reachesStore(world, index);
        const auto holder = this->holderAt(world, index, domainOf(index));
        const bool isHolder = holder == index;
        if (node.isHolder && !isHolder && node.isComplete && holder)
            handovers.push_back({ *holder, node.ledger.knownReservations(program) });
        if (node.isHolder != isHolder)
            node.isComplete = false;
        node.isHolder = isHolder;
    }
    for (const auto& handover : handovers) {
        this->applyAll(world, handover.to, handover.reservations, true);
        world.nodes[handover.to].isComplete = true;
    }
}

void Explorer::start(World& world, std::size_t node) const
{
    auto& started = world.nodes[node];
    const int incarnation = started.incarnation + 1;
    started = Node {};
    started.incarnation = incarnation;
    started.ledger = TokenLedger({ fmt::format("{}/{}", nodeNames[node], incarnation) });
    started.isSettled = this->reachesStore(world, node);
}

void Explorer::end(World& world, std::size_t node) const
{
    const int incarnation = world.nodes[node].incarnation;
    world.nodes[node] = Node {};
    world.nodes[node].isAlive = false;
    world.nodes[node].incarnation = incarnation;
    for (auto& turn : world.turns) {
        const bool isWaiting = turn.stage == TurnStage::Prepared || turn.stage == TurnStage::Appended;
        if (isWaiting && turn.holder == node)
            turn.stage = TurnStage::Refused;
    }
}

// The store keeps the last record of a key.
void Explorer::append(World& world, const LogRecord& record) const
{
    std::erase_if(world.log, [&](const LogRecord& entry) { return entry.key == record.key; });
    world.log.push_back(record);
}

void Explorer::readLog(World& world, std::size_t node) const
{
    std::vector<TokenReservation> reservations;
    std::ranges::transform(world.log, std::back_inserter(reservations), &LogRecord::reservation);
    this->applyAll(world, node, reservations, false);
    world.nodes[node].isRead = true;
}

TokenRequest Explorer::requestOf(std::size_t turn) const
{
    return { { turn + 1 }, { turnTokens.value * this->scenario.budgetedTurns }, turnTokens, turnEnd };
}

void Explorer::admit(World& world, std::size_t turn) const
{
    auto& node = world.nodes[world.turns[turn].holder];
    const bool isAdmitted = node.ledger.admit(program, this->requestOf(turn), now) == TokenAdmission::Admitted;
    world.turns[turn].stage = isAdmitted ? TurnStage::Admitted : TurnStage::Refused;
    world.turns[turn].reservation = {};
}

void Explorer::begin(World& world, std::size_t turn, std::size_t holder) const
{
    auto& node = world.nodes[holder];
    auto& begun = world.turns[turn];
    begun.holder = holder;
    begun.stage = TurnStage::Refused;
    const auto admission = node.ledger.admit(program, this->requestOf(turn), now);
    if (admission == TokenAdmission::Admitted)
        begun.stage = TurnStage::Admitted;
    if (admission != TokenAdmission::Reserve)
        return;
    ReservationKnowledge knowledge { .storeSettled = node.isSettled,
        .processNew = !node.isOld,
        .partitionComplete = node.isComplete,
        .partitionRead = node.isRead };
    const auto& nextStep = this->scenario.rules.nextStep;
    for (auto step = nextStep(knowledge); step != ReservationStep::Reserve; step = nextStep(knowledge)) {
        if (step == ReservationStep::AskHolders && this->askHolders(world, holder)) {
            knowledge.holdersTold = true;
        } else if (step == ReservationStep::ReadPartition && this->reachesStore(world, holder)) {
            this->readLog(world, holder);
            knowledge.partitionRead = true;
        } else {
            return;
        }
    }
    begun.reservation = node.ledger.prepareReservation(program, turnTokens);
    begun.stage = TurnStage::Prepared;
}

void Explorer::copyToHolders(World& world, std::size_t node, const TokenReservation& reservation) const
{
    for (std::size_t domain = 0; domain < domainCount; ++domain) {
        const auto holder = domain == domainOf(node) ? std::nullopt : this->holderAt(world, node, domain);
        if (holder) {
            this->applyAll(world, *holder, { reservation }, false);
            if (this->scenario.rules.holdersTellWhenNoticed)
                this->applyAll(world, node, world.nodes[*holder].ledger.knownReservations(program), false);
        } else if (domain != domainOf(node))
            world.nodes[node].pendingCopies.set(domain);
    }
}

void Explorer::confirmThroughStore(World& world, std::size_t turn) const
{
    const auto& begun = world.turns[turn];
    auto& node = world.nodes[begun.holder];
    this->readLog(world, begun.holder);
    this->copyToHolders(world, begun.holder, begun.reservation);
    if (this->scenario.rules.fixedHolders) {
        const auto holders = this->holdersElsewhere(world, begun.holder);
        const bool isConfirmed = (node.isHolder && node.isComplete)
            || std::ranges::any_of(holders, [&](std::size_t holder) { return world.nodes[holder].isComplete; });
        if (!isConfirmed) {
            node.ledger.markUncertain(program);
            world.turns[turn].stage = TurnStage::Refused;
            world.turns[turn].reservation = {};
            return;
        }
    }
    node.ledger.confirm(begun.reservation);
    this->admit(world, turn);
}

void Explorer::confirmByHolders(World& world, std::size_t turn) const
{
    auto& begun = world.turns[turn];
    auto& node = world.nodes[begun.holder];
    const auto holders = this->holdersElsewhere(world, begun.holder);
    const auto scope = this->scopeOf(begun.holder, holders);
    const bool isAsked = node.isComplete && this->scenario.rules.missingHolders(scope).empty();
    HolderAnswers answers;
    for (const auto holder : holders) {
        if (!isAsked)
            break;
        auto& asked = world.nodes[holder];
        ++answers.answered;
        answers.complete += asked.isComplete ? 1 : 0;
        asked.ledger.apply(begun.reservation, now);
        asked.owed.push_back(
            { this->scenario.rules.key(begun.reservation) + "@" + std::string(nodeNames[holder]), begun.reservation });
        this->applyAll(world, begun.holder, asked.ledger.knownReservations(program), false);
    }
    if (!isAsked || !this->scenario.rules.missingAnswers(scope, answers).empty()) {
        node.ledger.markUncertain(program);
        begun.stage = TurnStage::Refused;
        begun.reservation = {};
        return;
    }
    node.owed.push_back({ this->scenario.rules.key(begun.reservation), begun.reservation });
    node.ledger.confirm(begun.reservation);
    this->admit(world, turn);
}

bool Explorer::askHolders(World& world, std::size_t node) const
{
    const auto holders = this->holdersElsewhere(world, node);
    return haveAllAnswered(this->scopeOf(node, holders), this->takePartition(world, node, holders));
}

bool Explorer::loadFromHolders(World& world, std::size_t node) const
{
    const auto holders = this->holdersElsewhere(world, node);
    const auto scope = this->scopeOf(node, holders);
    return this->scenario.rules.missingHolders(scope).empty()
        && this->scenario.rules.missingAnswers(scope, this->takePartition(world, node, holders)).empty();
}

HolderAnswers Explorer::takePartition(World& world, std::size_t node, const std::vector<std::size_t>& holders) const
{
    HolderAnswers answers;
    for (const auto holder : holders) {
        ++answers.answered;
        answers.complete += world.nodes[holder].isComplete ? 1 : 0;
        this->applyAll(world, node, world.nodes[holder].ledger.knownReservations(program), true);
    }
    return answers;
}

World Explorer::firstWorld() const
{
    World world;
    world.turns.resize(static_cast<std::size_t>(this->scenario.turns));
    world.left = this->scenario.faults;
    for (std::size_t node = 0; node < nodeCount; ++node)
        this->start(world, node);
    this->updateMembership(world);
    for (std::size_t node = 0; node < nodeCount; ++node) {
        world.nodes[node].isComplete = world.nodes[node].isHolder;
        world.nodes[node].isRead = world.nodes[node].isHolder;
        world.nodes[node].isOld = true;
    }
    return world;
}

void Explorer::add(World next, std::string event)
{
    if (this->outcome.violation)
        return;
    if (!this->known.insert(sha256(fingerprint(next))).second)
        return;
    this->outcome.mostAdmitted = std::max(this->outcome.mostAdmitted, next.admitted());
    const bool isViolated = next.admitted() > this->scenario.budgetedTurns;
    this->visited.push_back({ this->current, std::move(event) });
    this->unexplored.push_back(std::move(next));
    if (!isViolated)
        return;
    std::vector<std::string> events;
    for (auto state = this->visited.size() - 1; state != 0; state = this->visited[state].parent)
        events.push_back(this->visited[state].event);
    std::ranges::reverse(events);
    this->outcome.violation = std::move(events);
}

void Explorer::addTurnEvents(const World& world)
{
    const auto isBusy = [&](std::size_t holder) {
        return std::ranges::any_of(world.turns, [&](const Turn& turn) {
            return turn.holder == holder && (turn.stage == TurnStage::Prepared || turn.stage == TurnStage::Appended);
        });
    };
    // The turns are alike, so they begin in one order.
    const auto next = std::ranges::find(world.turns, TurnStage::NotBegun, &Turn::stage);
    if (next != world.turns.end()) {
        const auto turn = static_cast<std::size_t>(next - world.turns.begin());
        // The failure domains are alike, so of those without a turn only the first one is tried.
        std::size_t usedDomains = 0;
        for (auto begun = world.turns.begin(); begun != next; ++begun)
            usedDomains = std::max(usedDomains, domainOf(begun->holder) + 1);
        NodeSet holders;
        for (std::size_t entry = 0; entry < nodeCount; ++entry) {
            const bool isTried = this->scenario.entries[entry] && domainOf(entry) <= usedDomains;
            auto holder = isTried ? this->holderAt(world, entry, domainOf(entry)) : std::nullopt;
            // Without its holder, another instance of the domain takes the turn.
            if (isTried && !holder && world.nodes[entry].isAlive)
                holder = entry;
            if (holder && !isBusy(*holder))
                holders.set(*holder);
        }
        for (std::size_t holder = 0; holder < nodeCount; ++holder) {
            if (!holders[holder])
                continue;
            auto begun = world;
            this->begin(begun, turn, holder);
            this->add(std::move(begun), fmt::format("turn {} begins at {}", turn + 1, nodeNames[holder]));
        }
    }
    for (std::size_t turn = 0; turn < world.turns.size(); ++turn) {
        const auto& begun = world.turns[turn];
        const auto name = nodeNames[begun.holder];
        if (begun.stage == TurnStage::Appended && this->reachesStore(world, begun.holder)) {
            auto confirmed = world;
            this->confirmThroughStore(confirmed, turn);
            this->add(std::move(confirmed), fmt::format("{} reads its record of turn {}", name, turn + 1));
        }
        if (begun.stage == TurnStage::Appended && !this->reachesStore(world, begun.holder)) {
            auto refused = world;
            refused.nodes[begun.holder].ledger.markUncertain(program);
            refused.turns[turn].stage = TurnStage::Refused;
            refused.turns[turn].reservation = {};
            this->add(std::move(refused), fmt::format("{} cannot read its record of turn {}", name, turn + 1));
        }
        if (begun.stage != TurnStage::Prepared)
            continue;
        const LogRecord record { this->scenario.rules.key(begun.reservation), begun.reservation };
        if (!this->reachesStore(world, begun.holder)) {
            auto asked = world;
            this->confirmByHolders(asked, turn);
            this->add(std::move(asked), fmt::format("{} asks the holders about turn {}", name, turn + 1));
            continue;
        }
        auto appended = world;
        this->append(appended, record);
        appended.turns[turn].stage = TurnStage::Appended;
        this->add(std::move(appended), fmt::format("the store has the record of turn {}", turn + 1));
        if (world.left.repeatedAppends > 0) {
            auto repeated = world;
            --repeated.left.repeatedAppends;
            this->append(repeated, record);
            repeated.lateAppends.push_back(record);
            this->confirmByHolders(repeated, turn);
            this->add(std::move(repeated),
                fmt::format("the answer to the append of turn {} is lost, {} asks the holders", turn + 1, name));
        }
        if (world.left.lateAppends > 0) {
            auto late = world;
            --late.left.lateAppends;
            late.lateAppends.push_back(record);
            this->confirmByHolders(late, turn);
            this->add(
                std::move(late), fmt::format("the append of turn {} is late, {} asks the holders", turn + 1, name));
        }
    }
}

void Explorer::addNodeEvents(const World& world)
{
    for (std::size_t node = 0; node < nodeCount; ++node) {
        const auto& state = world.nodes[node];
        if (!state.isAlive)
            continue;
        const auto name = nodeNames[node];
        if (!state.owed.empty() && this->reachesStore(world, node)) {
            auto stored = world;
            for (const auto& record : state.owed)
                this->append(stored, record);
            stored.nodes[node].owed.clear();
            this->add(std::move(stored), fmt::format("{} stores what it owes", name));
        }
        if (state.isHolder && !state.isComplete) {
            auto loaded = world;
            if (state.isSettled && this->reachesStore(world, node)) {
                this->readLog(loaded, node);
                loaded.nodes[node].isComplete
                    = state.isOld || !this->scenario.rules.asksWhenNew || this->askHolders(loaded, node);
            } else {
                loaded.nodes[node].isComplete = this->loadFromHolders(loaded, node);
            }
            this->add(std::move(loaded), fmt::format("{} loads the partition", name));
        }
        for (std::size_t domain = 0; domain < domainCount; ++domain) {
            const auto holder = state.pendingCopies[domain] ? this->holderAt(world, node, domain) : std::nullopt;
            if (!holder)
                continue;
            auto copied = world;
            copied.nodes[node].pendingCopies.reset(domain);
            this->applyAll(copied, *holder, state.ledger.knownReservations(program), false);
            this->add(std::move(copied), fmt::format("{} sends its reservations to {}", name, nodeNames[*holder]));
        }
    }
    // The time after which an instance takes the store as settled is long enough for all others to store what they owe.
    const auto owes
        = [&](std::size_t node) { return this->reachesStore(world, node) && !world.nodes[node].owed.empty(); };
    const auto isUnsettled = [&](std::size_t node) {
        const auto& state = world.nodes[node];
        return this->reachesStore(world, node) && !(state.isSettled && state.isOld);
    };
    const auto all = std::views::iota(std::size_t { 0 }, nodeCount);
    if (std::ranges::any_of(all, isUnsettled) && std::ranges::none_of(all, owes)) {
        auto settled = world;
        for (const auto node : all) {
            if (this->reachesStore(settled, node))
                settled.nodes[node].isSettled = settled.nodes[node].isOld = true;
        }
        this->add(std::move(settled), "time passes in which all store what they owe");
    }
    for (std::size_t late = 0; world.isStoreUp && late < world.lateAppends.size(); ++late) {
        auto applied = world;
        this->append(applied, world.lateAppends[late]);
        applied.lateAppends.erase(applied.lateAppends.begin() + static_cast<std::ptrdiff_t>(late));
        this->add(std::move(applied), "a late append takes effect");
    }
}

void Explorer::addFaults(const World& world)
{
    const auto change = [&](const std::string& event, const std::function<void(World&)>& apply) {
        auto changed = world;
        apply(changed);
        this->updateMembership(changed);
        this->add(std::move(changed), event);
    };
    if (world.cut.any())
        change("the cut ends", [](World& next) { next.cut.reset(); });
    for (unsigned long set = 1; world.left.cuts > 0 && set + 1 < (1UL << nodeCount); ++set) {
        const NodeSet cut(set);
        std::vector<std::string_view> names;
        for (std::size_t node = 0; node < nodeCount; ++node) {
            if (cut[node])
                names.push_back(nodeNames[node]);
        }
        change(fmt::format("{} are cut off", fmt::join(names, ", ")), [&](World& next) {
            --next.left.cuts;
            next.cut = cut;
        });
    }
    if (!world.isStoreUp)
        change("the store returns", [](World& next) { next.isStoreUp = true; });
    else if (world.left.storeOutages > 0)
        change("the store answers nobody", [](World& next) {
            --next.left.storeOutages;
            next.isStoreUp = false;
        });
    for (std::size_t node = 0; node < nodeCount; ++node) {
        if (!world.nodes[node].isAlive && !world.allKilled)
            change(fmt::format("{} is started again", nodeNames[node]), [&](World& next) { this->start(next, node); });
        else if (world.left.kills > 0 && world.nodes[node].isAlive)
            change(fmt::format("{} is killed", nodeNames[node]), [&](World& next) {
                --next.left.kills;
                this->end(next, node);
            });
    }
    if (world.allKilled)
        change("all are started again", [&](World& next) {
            next.allKilled = false;
            for (std::size_t node = 0; node < nodeCount; ++node)
                this->start(next, node);
        });
    else if (world.left.killsOfAll > 0)
        change("all are killed", [&](World& next) {
            --next.left.killsOfAll;
            next.allKilled = true;
            for (std::size_t node = 0; node < nodeCount; ++node)
                this->end(next, node);
        });
}

Exploration Explorer::run()
{
    this->add(this->firstWorld(), {});
    for (; !this->unexplored.empty() && !this->outcome.violation; ++this->current) {
        const auto world = std::move(this->unexplored.front());
        this->unexplored.pop_front();
        this->addTurnEvents(world);
        this->addNodeEvents(world);
        this->addFaults(world);
    }
    this->outcome.states = this->visited.size();
    return this->outcome;
}

} // namespace

Exploration explore(const Scenario& scenario) { return Explorer(scenario).run(); }

} // namespace peridotramp::model
