#include "teamdocuments_p.h"

#include <algorithm>
#include <deque>
#include <ranges>

namespace peridotramp {

namespace {

std::size_t sizeOf(const ConfigurationRecord& record)
{
    return std::visit([](const auto& payload) { return payload.text.size() + payload.team.size(); }, record.payload);
}

// Counted for each read, so that reads without records are bounded, too.
constexpr std::size_t readOverhead = 256;

std::size_t sizeOf(const ConfigurationRead& read)
{
    std::size_t size = readOverhead;
    for (const auto& record : read.records)
        size += sizeOf(record);
    return size;
}

/// A read that cannot be applied before an earlier one.
struct WaitingRead {
    TimePoint at;
    ConfigurationRead read;
};

} // namespace

struct ConfigurationState::Impl {
    explicit Impl(Limits limits)
        : limits(limits)
    {
    }

    void enqueue(TimePoint now, ConfigurationRead read);
    void applyWaiting(std::vector<ChangeResult>& results);
    void applyRead(const WaitingRead& waiting, std::vector<ChangeResult>& results);
    void applyAfterGap(std::vector<ChangeResult>& results);
    void applyRecord(const ConfigurationRecord& record, std::vector<ChangeResult>& results);
    void confirm(const WaitingRead& waiting);
    void importSnapshot(TimePoint now, const ConfigurationSnapshot& snapshot);
    void addToHistory(const ConfigurationRecord& record);
    void clearHistory();
    void keepResult(const ChangeResult& result);
    void rebuild();
    /// Returns the end of the waiting reads that follow `begin` without a gap.
    Offset contiguousEnd(Offset begin) const;
    bool isWaitingFull() const;
    bool hasGap() const { return this->gapEnd && *this->gapEnd > this->applied; }
    ConfigurationSnapshot makeSnapshot(TimePoint now) const;

    Limits limits;
    TeamDocuments teamDocuments;
    /// Offset up to which records have been applied.
    Offset applied { 0 };
    /// End of the records that expired from the log before this node read them.
    std::optional<Offset> gapEnd;
    /// Whether the state follows a gap and the end of the log has not been reached since.
    bool isRecovering = false;
    Offset recoveryStart;
    bool hasReachedTail = false;
    std::optional<TimePoint> confirmedAt;
    std::map<Offset, WaitingRead> waiting;
    std::deque<ConfigurationRecord> history;
    std::size_t historyBytes = 0;
    Offset historyFrom { 0 };
    std::map<ChangeId, ChangeResult> results;
    std::deque<ChangeId> resultOrder;
    ConfigurationPointer merged;
};

void ConfigurationState::Impl::enqueue(TimePoint now, ConfigurationRead read)
{
    if (read.first > this->applied) {
        read.from = std::max(read.from, read.first);
        this->gapEnd = std::max(this->gapEnd.value_or(read.first), read.first);
    }
    std::ranges::stable_sort(read.records, {}, &ConfigurationRecord::offset);
    const auto from = read.from;
    const auto known = this->waiting.find(from);
    if (known != this->waiting.end() && known->second.read.next > read.next)
        return;
    this->waiting.insert_or_assign(from, WaitingRead { now, std::move(read) });
}

Offset ConfigurationState::Impl::contiguousEnd(Offset begin) const
{
    auto end = begin;
    for (const auto& [from, waiting] : this->waiting) {
        if (from > end)
            break;
        end = std::max(end, waiting.read.next);
    }
    return end;
}

bool ConfigurationState::Impl::isWaitingFull() const
{
    std::size_t size = 0;
    for (const auto& [from, waiting] : this->waiting)
        size += sizeOf(waiting.read);
    return size > static_cast<std::size_t>(this->limits.maxWaitingSize.value);
}

void ConfigurationState::Impl::applyWaiting(std::vector<ChangeResult>& results)
{
    while (!this->waiting.empty() && this->waiting.begin()->first <= this->applied) {
        const auto next = this->waiting.extract(this->waiting.begin());
        this->applyRead(next.mapped(), results);
    }
    if (this->hasGap())
        this->applyAfterGap(results);
    // Dropped reads are repeated later, because reads start at the offset that was reached.
    while (this->isWaitingFull())
        this->waiting.erase(std::prev(this->waiting.end()));
}

void ConfigurationState::Impl::applyRead(const WaitingRead& waiting, std::vector<ChangeResult>& results)
{
    const auto& read = waiting.read;
    for (const auto& record : read.records) {
        if (record.offset < this->applied || record.offset >= read.next)
            continue;
        this->applyRecord(record, results);
        this->applied = Offset { record.offset.value + 1 };
    }
    this->applied = std::max(this->applied, read.next);
    this->confirm(waiting);
}

/// Applies the reads after a gap once they reach the end of the log, or if too many of them are waiting.
void ConfigurationState::Impl::applyAfterGap(std::vector<ChangeResult>& results)
{
    const auto end = this->contiguousEnd(*this->gapEnd);
    // All republished documents have been read only if the end of the log was read when the gap was already known.
    const auto reachesTail = [&](const auto& entry) {
        const auto& read = entry.second.read;
        return read.next == end && read.age && read.first >= *this->gapEnd;
    };
    const bool isAtTail = std::ranges::any_of(this->waiting, reachesTail);
    if (end == *this->gapEnd && !isAtTail)
        return;
    if (!isAtTail && !this->isWaitingFull())
        return;
    // Reads may overlap.
    std::map<Offset, ConfigurationRecord> byOffset;
    for (const auto& [from, waiting] : this->waiting) {
        for (const auto& record : waiting.read.records) {
            if (record.offset >= *this->gapEnd && record.offset < end)
                byOffset.emplace(record.offset, record);
        }
    }
    std::vector<ConfigurationRecord> records;
    records.reserve(byOffset.size());
    std::ranges::copy(byOffset | std::views::values, std::back_inserter(records));
    this->teamDocuments.beginRecovery(*this->gapEnd, records);
    this->isRecovering = true;
    this->recoveryStart = *this->gapEnd;
    this->applied = *this->gapEnd;
    this->gapEnd.reset();
    this->clearHistory();
    this->applyWaiting(results);
}

void ConfigurationState::Impl::applyRecord(const ConfigurationRecord& record, std::vector<ChangeResult>& results)
{
    // The record was appended after the time of the last confirmation. During recovery from a gap, its age is unknown.
    const auto recordedAt = this->isRecovering ? std::nullopt : this->confirmedAt;
    if (auto result = this->teamDocuments.apply(record, recordedAt)) {
        this->keepResult(*result);
        results.push_back(std::move(*result));
    }
    this->addToHistory(record);
}

void ConfigurationState::Impl::confirm(const WaitingRead& waiting)
{
    if (!waiting.read.age || waiting.read.next != this->applied)
        return;
    if (this->isRecovering && waiting.read.first < this->recoveryStart)
        return;
    if (this->isRecovering)
        this->teamDocuments.endRecovery();
    this->isRecovering = false;
    this->hasReachedTail = true;
    this->confirmedAt = std::max(this->confirmedAt, std::optional(waiting.at - *waiting.read.age));
}

void ConfigurationState::Impl::importSnapshot(TimePoint now, const ConfigurationSnapshot& snapshot)
{
    const bool isInexact = !this->hasReachedTail || this->isRecovering;
    if (snapshot.next < this->applied || (snapshot.next == this->applied && !isInexact))
        return;
    this->teamDocuments.importSnapshot(now, snapshot);
    this->applied = snapshot.next;
    this->isRecovering = false;
    this->hasReachedTail = true;
    if (snapshot.age)
        this->confirmedAt = std::max(this->confirmedAt, std::optional(now - *snapshot.age));
    this->clearHistory();
}

void ConfigurationState::Impl::addToHistory(const ConfigurationRecord& record)
{
    this->history.push_back(record);
    this->historyBytes += sizeOf(record);
    while (this->historyBytes > static_cast<std::size_t>(this->limits.maxHistorySize.value)) {
        const auto& oldest = this->history.front();
        this->historyBytes -= sizeOf(oldest);
        this->historyFrom = Offset { oldest.offset.value + 1 };
        this->history.pop_front();
    }
}

void ConfigurationState::Impl::clearHistory()
{
    this->history.clear();
    this->historyBytes = 0;
    this->historyFrom = this->applied;
}

void ConfigurationState::Impl::keepResult(const ChangeResult& result)
{
    if (!this->results.emplace(result.changeId, result).second)
        return;
    this->resultOrder.push_back(result.changeId);
    if (this->resultOrder.size() <= this->limits.maxResults)
        return;
    this->results.erase(this->resultOrder.front());
    this->resultOrder.pop_front();
}

void ConfigurationState::Impl::rebuild()
{
    if (!this->hasReachedTail || this->isRecovering)
        return;
    auto documents = this->teamDocuments.documents();
    const bool isUnchanged = this->merged && this->merged->version() == this->teamDocuments.newest()
        && std::ranges::is_permutation(documents, this->merged->documents());
    if (documents.empty() || isUnchanged)
        return;
    this->merged = std::make_shared<const Configuration>(std::move(documents), this->teamDocuments.newest());
}

ConfigurationSnapshot ConfigurationState::Impl::makeSnapshot(TimePoint now) const
{
    ConfigurationSnapshot snapshot { this->applied, {}, {} };
    for (const auto& [name, team] : this->teamDocuments.teams()) {
        SnapshotDocument document { name };
        document.refused = team.refused;
        if (team.recordedAt)
            document.recordAge = now - *team.recordedAt;
        if (team.document) {
            document.version = team.document->version;
            document.changeId = team.document->changeId;
            document.text = team.document->text;
        }
        snapshot.documents.push_back(std::move(document));
    }
    return snapshot;
}

ConfigurationState::ConfigurationState()
    : ConfigurationState(Limits {})
{
}

ConfigurationState::ConfigurationState(Limits limits)
    : impl(std::make_unique<Impl>(limits))
{
}

ConfigurationState::~ConfigurationState() = default;

std::vector<ChangeResult> ConfigurationState::apply(TimePoint now, ConfigurationRead read)
{
    std::vector<ChangeResult> results;
    this->impl->enqueue(now, std::move(read));
    this->impl->applyWaiting(results);
    this->impl->rebuild();
    return results;
}

std::vector<ChangeResult> ConfigurationState::import(TimePoint now, ConfigurationTransfer transfer)
{
    if (auto* read = std::get_if<ConfigurationRead>(&transfer))
        return this->apply(now, std::move(*read));
    std::vector<ChangeResult> results;
    this->impl->importSnapshot(now, std::get<ConfigurationSnapshot>(transfer));
    this->impl->applyWaiting(results);
    this->impl->rebuild();
    return results;
}

ConfigurationTransfer ConfigurationState::exportSince(TimePoint now, Offset next) const
{
    const auto& state = *this->impl;
    ConfigurationRead read { next, Offset { 0 }, next, {}, {} };
    // A node that has not reached the end of the log could export an outdated state.
    if (!state.hasReachedTail || state.isRecovering || (next.isValid() && next > state.applied))
        return read;
    read.age = this->age(now);
    read.next = state.applied;
    if (next.isValid() && next >= state.historyFrom) {
        const auto isNew = [&](const auto& record) { return record.offset >= next; };
        std::ranges::copy_if(state.history, std::back_inserter(read.records), isNew);
        return read;
    }
    auto snapshot = state.makeSnapshot(now);
    snapshot.age = read.age;
    return snapshot;
}

Result<ConfigurationPointer> ConfigurationState::snapshot() const
{
    if (this->impl->merged)
        return this->impl->merged;
    return Error { ErrorKind::NotReady, Outcome::NotRun,
        this->impl->hasReachedTail ? "no document is in force; apply one with 'peridotctl apply'"
                                   : "no configuration has been received from the log or a peer yet" };
}

Version ConfigurationState::version() const { return this->impl->merged ? this->impl->merged->version() : Version {}; }

Version ConfigurationState::versionOf(std::string_view team) const
{
    const auto& teams = this->impl->teamDocuments.teams();
    const auto found = teams.find(team);
    return found == teams.end() ? Version {} : found->second.version();
}

Offset ConfigurationState::next() const
{
    return this->impl->hasGap() ? this->impl->contiguousEnd(*this->impl->gapEnd) : this->impl->applied;
}

Offset ConfigurationState::applied() const { return this->impl->isRecovering ? Offset {} : this->impl->applied; }

std::optional<Duration> ConfigurationState::age(TimePoint now) const
{
    if (!this->impl->confirmedAt)
        return std::nullopt;
    return now - *this->impl->confirmedAt;
}

std::optional<ChangeResult> ConfigurationState::resultOf(ChangeId change) const
{
    const auto found = this->impl->results.find(change);
    if (found == this->impl->results.end())
        return std::nullopt;
    return found->second;
}

bool isRepublicationDue(std::optional<Duration> recordAge, Duration retention)
{
    return !recordAge || *recordAge >= retention / 2;
}

std::vector<RepublishedDocument> ConfigurationState::dueRepublications(
    TimePoint now, Duration retention, std::string_view domain) const
{
    std::vector<RepublishedDocument> due;
    if (!this->impl->hasReachedTail || this->impl->isRecovering)
        return due;
    for (const auto& [name, team] : this->impl->teamDocuments.teams()) {
        if (!team.document || homeDomainOf(team.document->document) != domain)
            continue;
        const auto age = team.recordedAt ? std::optional<Duration>(now - *team.recordedAt) : std::nullopt;
        if (isRepublicationDue(age, retention))
            due.push_back({ name, team.document->version, team.document->text });
    }
    return due;
}

} // namespace peridotramp
