#include "peridotramp/confirmation.h"

#include <algorithm>
#include <fmt/format.h>

namespace peridotramp {

ReservationStep nextReservationStep(const ReservationKnowledge& knowledge)
{
    // Reservations that other instances have confirmed while the store was unavailable may not be in the log yet. Only
    // an instance that knows the whole partition can tell what is left of the budget.
    if (!knowledge.partitionComplete && !knowledge.storeSettled)
        return ReservationStep::Refuse;
    // An earlier process of this instance may have confirmed reservations without the store, and a process that has
    // just started cannot tell whether the store was available before.
    if (!knowledge.partitionComplete && knowledge.processNew && !knowledge.holdersTold)
        return ReservationStep::AskHolders;
    // A reservation that cannot be read back is useless here, but would use up the budget at all other instances.
    return knowledge.partitionRead || knowledge.partitionComplete ? ReservationStep::Reserve
                                                                  : ReservationStep::ReadPartition;
}

std::string missingHolders(const HolderScope& scope)
{
    if (scope.domains.empty())
        return "there is no other failure domain";
    const auto missing = std::ranges::find_if(scope.domains, [&](const std::string& domain) {
        return std::ranges::find(scope.domainsWithHolder, domain) == scope.domainsWithHolder.end();
    });
    return missing == scope.domains.end() ? std::string() : "no reachable instance in " + *missing;
}

std::string missingAnswers(const HolderScope& scope, const HolderAnswers& answers)
{
    auto missing = missingHolders(scope);
    if (missing.empty() && answers.answered < scope.domainsWithHolder.size())
        missing = "a holder in another failure domain does not answer";
    if (missing.empty() && answers.complete < scope.domainsWithHolder.size())
        missing = "a holder in another failure domain does not know the whole partition";
    return missing;
}

bool haveAllAnswered(const HolderScope& scope, const HolderAnswers& answers)
{
    return scope.domains.empty() || (missingHolders(scope).empty() && answers.answered >= scope.domains.size());
}

std::string reservationKey(const TokenReservation& reservation)
{
    return fmt::format("{:x}/{}/{}", reservation.program.value, reservation.owner, reservation.revision);
}

} // namespace peridotramp
