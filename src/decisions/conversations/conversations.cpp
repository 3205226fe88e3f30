#include "peridotramp/conversations.h"

#include <algorithm>

namespace peridotramp {

namespace {

ByteCount sizeOf(const ConversationTurn& turn)
{
    return { static_cast<std::int64_t>(turn.input.size() + turn.output.size() + turn.id.size()) };
}

} // namespace

void ConversationTable::add(ConversationTurn turn, TimePoint keepUntil, std::optional<StorePartition> storedIn)
{
    const auto found = this->turns.find(turn.id);
    if (found != this->turns.end()) {
        found->second.keepUntil = std::max(found->second.keepUntil, keepUntil);
        if (storedIn)
            found->second.storedIn = storedIn;
        return;
    }
    this->totalBytes += sizeOf(turn);
    auto id = turn.id;
    this->turns.emplace(
        std::move(id), Entry { std::make_shared<const ConversationTurn>(std::move(turn)), keepUntil, storedIn });
}

SharedTurn ConversationTable::find(std::string_view id, TimePoint keepUntil)
{
    const auto found = this->turns.find(id);
    if (found == this->turns.end())
        return nullptr;
    found->second.keepUntil = std::max(found->second.keepUntil, keepUntil);
    return found->second.turn;
}

ConversationHistory collectHistory(std::string_view id, const TurnLookup& find)
{
    ConversationHistory history;
    std::string next(id);
    while (!next.empty()) {
        auto turn = find(next);
        if (!turn) {
            history.missingTurn = next;
            break;
        }
        next = turn->previous;
        history.turns.push_back(std::move(turn));
    }
    std::ranges::reverse(history.turns);
    return history;
}

void ConversationTable::markStored(std::string_view id)
{
    if (const auto found = this->turns.find(id); found != this->turns.end())
        found->second.isStored = true;
    if (const auto found = this->unstoredSince.find(id); found != this->unstoredSince.end())
        this->unstoredSince.erase(found);
}

void ConversationTable::markUnstored(std::string_view id, TimePoint now)
{
    const auto found = this->turns.find(id);
    if (found != this->turns.end() && !found->second.isStored && !found->second.isRefused)
        this->unstoredSince.try_emplace(std::string(id), now);
}

void ConversationTable::markRefused(std::string_view id)
{
    if (const auto found = this->turns.find(id); found != this->turns.end())
        found->second.isRefused = true;
    if (const auto found = this->unstoredSince.find(id); found != this->unstoredSince.end())
        this->unstoredSince.erase(found);
}

bool ConversationTable::isStored(std::string_view id) const
{
    const auto found = this->turns.find(id);
    return found != this->turns.end() && found->second.isStored;
}

std::vector<UnstoredTurn> ConversationTable::unstored() const
{
    std::vector<UnstoredTurn> list;
    std::ranges::transform(this->unstoredSince, std::back_inserter(list),
        [&](const auto& entry) { return UnstoredTurn { this->turns.at(entry.first).turn, entry.second }; });
    return list;
}

std::vector<ExpiredTurn> ConversationTable::expire(TimePoint now)
{
    std::vector<ExpiredTurn> dropped;
    std::erase_if(this->turns, [&](const auto& entry) {
        if (entry.second.keepUntil > now)
            return false;
        this->totalBytes -= sizeOf(*entry.second.turn);
        this->unstoredSince.erase(entry.first);
        if (entry.second.storedIn)
            dropped.push_back({ entry.first, *entry.second.storedIn });
        return true;
    });
    return dropped;
}

std::string assembleInput(const std::vector<SharedTurn>& history, std::string_view input)
{
    std::string combined;
    std::ranges::for_each(history, [&](const SharedTurn& turn) {
        combined += turn->input;
        combined += turn->output;
    });
    combined += input;
    return combined;
}

} // namespace peridotramp
