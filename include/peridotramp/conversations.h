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

    bool operator==(const ConversationTurn&) const = default;
};

using SharedTurn = std::shared_ptr<const ConversationTurn>;

/// Turns of a conversation, oldest first. If one is not known, only the turns after it.
struct ConversationHistory {
    std::vector<SharedTurn> turns;
    /// Id of the newest turn that is not known; empty when the history is complete.
    std::string missingTurn;
};

/// A turn whose retention has ended, with the partition of the metadata store that contains it.
struct ExpiredTurn {
    std::string id;
    StorePartition partition;
};

/// Turns that this instance has in memory.
class ConversationTable {
public:
    /// Adds a turn that is kept until `keepUntil`, or extends the retention of a known one. `storedIn` is set when this
    /// instance has to delete the turn from that partition of the metadata store when it expires.
    void add(ConversationTurn turn, TimePoint keepUntil, std::optional<StorePartition> storedIn);
    /// Returns a turn and extends its retention; null when it is not known.
    SharedTurn find(std::string_view id, TimePoint keepUntil);
    /// Drops turns whose retention has ended and returns those that have to be deleted from the metadata store.
    std::vector<ExpiredTurn> expire(TimePoint now);
    std::size_t size() const { return this->turns.size(); }
    ByteCount bytes() const { return this->totalBytes; }

private:
    struct Entry {
        SharedTurn turn;
        TimePoint keepUntil;
        std::optional<StorePartition> storedIn;
    };

    std::map<std::string, Entry, std::less<>> turns;
    ByteCount totalBytes;
};

using TurnLookup = std::function<SharedTurn(std::string_view id)>;

/// Returns the history that ends with the turn `id`.
ConversationHistory collectHistory(std::string_view id, const TurnLookup& find);

/// Returns the complete input of a turn: inputs and outputs of its history, then its own input.
std::string assembleInput(const std::vector<SharedTurn>& history, std::string_view input);

} // namespace peridotramp
