#pragma once

#include "peridotramp/confirmation.h"

#include <bitset>
#include <optional>

namespace peridotramp::model {

// A model of the instances of three failure domains, two each, the store and one program. It explores all orders of
// events with the product's ledger and rules, and looks for an order in which more tokens are admitted than the budget
// has. Membership changes take effect at once; everything else can happen at any time after it has become possible.

constexpr std::size_t domainCount = 3;
constexpr std::size_t nodesPerDomain = 2;
constexpr std::size_t nodeCount = domainCount * nodesPerDomain;

using NodeSet = std::bitset<nodeCount>;

/// The rules under test. Those of the product by default; a mutant replaces some.
struct Rules {
    std::function<ReservationStep(const ReservationKnowledge&)> nextStep = nextReservationStep;
    std::function<std::string(const HolderScope&)> missingHolders = peridotramp::missingHolders;
    std::function<std::string(const HolderScope&, const HolderAnswers&)> missingAnswers = peridotramp::missingAnswers;
    std::function<std::string(const TokenReservation&)> key = reservationKey;
    /// Whether a new process that loads a partition from the store asks the other holders, too.
    bool asksWhenNew = true;
    /// Whether the holders that are told of a stored reservation answer with those that they know.
    bool holdersTellWhenNoticed = true;
    /// Candidate, not in the product: each domain has one holder that stays when it is not reached. All of them confirm
    /// without the store; with it, one of them has to, which may be the instance itself.
    bool fixedHolders = false;
};

/// Faults that may happen, each at most so many times.
struct Faults {
    /// Some instances are cut off from all others and from the store, until the cut ends.
    int cuts = 0;
    /// The store answers nobody, until it returns.
    int storeOutages = 0;
    /// One instance ends, and is started again at any time after it.
    int kills = 0;
    /// All instances end, and are started again together.
    int killsOfAll = 0;
    /// An append takes effect, its answer is lost, and the same append takes effect once more later.
    int repeatedAppends = 0;
    /// An append takes effect later, unanswered.
    int lateAppends = 0;
};

struct Scenario {
    Rules rules {};
    Faults faults {};
    /// Turns that callers begin, and those that the budget has tokens for.
    int turns = 2;
    int budgetedTurns = 1;
    /// Instances at which turns begin.
    NodeSet entries = NodeSet().set();
};

struct Exploration {
    std::size_t states = 0;
    /// Events of the first order in which the budget was exceeded; empty if there is none.
    std::optional<std::vector<std::string>> violation {};
    /// The largest number of admitted turns.
    int mostAdmitted = 0;
};

/// Explores all states of a scenario, or until the budget is exceeded, breadth first, so that the reported order of
/// events is one of the shortest.
Exploration explore(const Scenario& scenario);

} // namespace peridotramp::model
