#pragma once

#include "peridotramp/core.h"

namespace peridotramp {

/// One turn with its complete answer.
struct ConversationTurn {
    /// Id of the request that ran the turn.
    std::string id;
    /// Id of the turn that this one continues; empty at the start of a conversation.
    std::string previous;
    std::string workspace;
    std::string input;
    /// Data of the answer's events, each followed by a line feed.
    std::string output;
    /// Program that ran the turn. It determines the partition of the metadata store that contains the turn.
    ProgramId program {};

    bool operator==(const ConversationTurn&) const = default;
};

using SharedTurn = std::shared_ptr<const ConversationTurn>;

/// Turns of a conversation, oldest first. If one is not known, only the turns after it.
struct ConversationHistory {
    std::vector<SharedTurn> turns;
    /// Id of the newest turn that is not known; empty when the history is complete.
    std::string missingTurn;
};

/// A turn that was dropped from memory, with the partition of the metadata store that contains it.
struct ExpiredTurn {
    std::string id;
    StorePartition partition;
};

/// A turn, and whether the metadata store is known to have it.
struct HeldTurn {
    ConversationTurn turn;
    bool isStored = false;
};

/// A turn that the metadata store is not known to have.
struct UnstoredTurn {
    SharedTurn turn;
    /// Since when this instance has known that.
    TimePoint since {};
};

/// Turns that this instance has in memory.
class ConversationTable {
public:
    /// Adds a turn that is kept until `keepUntil`, or extends the retention of a known one. `storedIn` is the partition
    /// of the metadata store in which the turn has to be searched once it has been dropped from memory.
    void add(ConversationTurn turn, TimePoint keepUntil, std::optional<StorePartition> storedIn);
    /// Returns a turn and extends its retention; null when it is not known.
    SharedTurn find(std::string_view id, TimePoint keepUntil);
    /// Notes that the metadata store has a turn. Turns that are not in memory are ignored.
    void markStored(std::string_view id);
    /// Notes that whoever sent a turn did not know whether the metadata store has it; changes nothing once this
    /// instance knows that the store has it.
    void markUnstored(std::string_view id, TimePoint now);
    /// Notes that the metadata store refuses a turn, which therefore stays in memory only: it is not among the unstored
    /// ones any more.
    void markRefused(std::string_view id);
    /// Whether the metadata store is known to have a turn.
    bool isStored(std::string_view id) const;
    /// Returns the turns that the metadata store is not known to have.
    std::vector<UnstoredTurn> unstored() const;
    /// Drops turns whose retention has ended and returns those of them that the metadata store may still contain.
    std::vector<ExpiredTurn> expire(TimePoint now);
    std::size_t size() const { return this->turns.size(); }
    ByteCount bytes() const { return this->totalBytes; }

private:
    struct Entry {
        SharedTurn turn;
        TimePoint keepUntil;
        std::optional<StorePartition> storedIn;
        bool isStored = false;
        bool isRefused = false;
    };

    std::map<std::string, Entry, std::less<>> turns;
    std::map<std::string, TimePoint, std::less<>> unstoredSince;
    ByteCount totalBytes;
};

/// Determines when the turns in one partition of the metadata store may be deleted.
///
/// A turn is needed until the retention of the last turn that continues it has ended. A conversation may go on at any
/// instance, so the records of the partition itself decide, and not what one instance has in memory.
class StoredTurnRetention {
public:
    /// Notes a stored turn, which keeps itself and the turns before it until `keepUntil`.
    void add(std::string id, std::string previous, TimePoint keepUntil);
    /// Notes that a turn has been deleted.
    void remove(std::string_view id);
    /// Forgets all turns, because the partition has to be read from its start.
    void clear() { this->turns.clear(); }
    /// Returns the turns that were needed until `time` at most.
    std::vector<std::string> neededUntil(TimePoint time) const;
    std::size_t size() const { return this->turns.size(); }

private:
    struct Entry {
        std::string previous;
        TimePoint keepUntil;
    };

    std::map<std::string, Entry, std::less<>> turns;
};

using TurnLookup = std::function<SharedTurn(std::string_view id)>;

/// Returns the history that ends with the turn `id`.
ConversationHistory collectHistory(std::string_view id, const TurnLookup& find);

/// Returns the complete input of a turn: inputs and outputs of its history, then its own input.
std::string assembleInput(const std::vector<SharedTurn>& history, std::string_view input);

} // namespace peridotramp
