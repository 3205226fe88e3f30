#pragma once

#include "peridotramp/tokens.h"

// Decides when a reservation of a program's tokens counts as confirmed, and who has to know it. Used by the ingress;
// the model in `tests/confirmation` explores the orders of events with the same functions.

namespace peridotramp {

/// What an instance knows when it is asked to reserve tokens of a program.
struct ReservationKnowledge {
    /// Whether the store contains what instances have confirmed to each other without it, as far as this one can tell.
    bool storeSettled = false;
    /// Whether this process has run for so short a time that the store may have been unavailable just before its start.
    bool processNew = false;
    /// Whether the holders of the other failure domains have told this process their reservations of the partition.
    bool holdersTold = false;
    /// Whether this instance holds the program's partition and knows all its reservations.
    bool partitionComplete = false;
    /// Whether this instance has read the partition's reservations from the store.
    bool partitionRead = false;
};

enum class ReservationStep : std::uint8_t {
    /// Reservations that other instances have confirmed without the store may be missing, so nothing may be reserved.
    Refuse,
    /// The holders of the other failure domains have to tell their reservations of the partition first.
    AskHolders,
    /// The reservations of the partition have to be read from the store first.
    ReadPartition,
    Reserve,
    Count
};

/// Returns what comes before a reservation may be prepared.
ReservationStep nextReservationStep(const ReservationKnowledge& knowledge);

/// The holders of a partition in the other failure domains, as one instance can reach them.
struct HolderScope {
    /// All other failure domains of the deployment.
    std::vector<std::string> domains;
    /// Those of them with a holder that can be reached.
    std::vector<std::string> domainsWithHolder;
};

/// Answers of the holders of the other failure domains.
struct HolderAnswers {
    std::size_t answered = 0;
    /// Answers of holders that know all reservations of the partition.
    std::size_t complete = 0;
};

/// Returns why the holders of the other failure domains cannot know a reservation or a partition completely, whatever
/// they answer; empty if they can.
std::string missingHolders(const HolderScope& scope);

/// Returns what is missing for the holders of the other failure domains to have confirmed a reservation, or to have
/// told all reservations of a partition; empty if nothing is.
std::string missingAnswers(const HolderScope& scope, const HolderAnswers& answers);

/// Returns whether a holder of each other failure domain has answered, whatever it knows.
bool haveAllAnswered(const HolderScope& scope, const HolderAnswers& answers);

/// Returns the key of the record of a reservation. It holds the revision, so that a repeated or late append replaces no
/// newer record.
std::string reservationKey(const TokenReservation& reservation);

} // namespace peridotramp
