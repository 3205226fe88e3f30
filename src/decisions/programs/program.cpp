#include "programs_p.h"

#include <algorithm>
#include <numeric>

namespace peridotramp {

namespace {

constexpr int serialBits = 48;
constexpr std::uint64_t serialMask = (1ULL << serialBits) - 1;
/// A reservation that exceeds the need by more than this many chunks is reduced. Lower values cause more appends when
/// the worst cases of successive calls differ.
constexpr std::int64_t maxFreeChunks = 4;

std::string_view bytesOf(const std::uint64_t& value)
{
    return { reinterpret_cast<const char*>(&value), sizeof(value) };
}

std::string_view bytesOf(const Digest& digest)
{
    return { reinterpret_cast<const char*>(digest.bytes.data()), digest.bytes.size() };
}

Spending scaled(Spending spending, std::int64_t factor)
{
    return { { spending.tokens.value * factor }, { spending.calls.value * factor } };
}

} // namespace

PartitionId partitionOf(ProgramId program) { return PartitionId { program.value >> serialBits }; }

ProgramId makeProgramId(PartitionId partition, std::uint64_t serial)
{
    return ProgramId { (partition.value << serialBits) | (serial & serialMask) };
}

// Integers are hashed in host byte order; all nodes of a fleet are little-endian.
Digest turnDigest(
    const Digest& previous, ProgramId program, TurnNumber turn, std::string_view input, std::string_view output)
{
    const auto number = static_cast<std::uint64_t>(turn.value);
    return digestOf({ bytesOf(previous), bytesOf(program.value), bytesOf(number), input, output });
}

Error notRun(const NotRunProof&, ErrorKind kind, std::string detail, Milliseconds retryAfter)
{
    return { kind, Outcome::NotRun, std::move(detail), retryAfter };
}

std::optional<NotRunProof> WriteGuard::proof() const
{
    return this->written ? std::nullopt : std::optional(NotRunProof {});
}

Spending Program::allocated() const
{
    return this->spent + this->childBudgets + (this->running ? this->running->worstCase : Spending {});
}

Spending Program::usableReservation() const
{
    return std::accumulate(this->reservations.begin(), this->reservations.end(), this->budget(), componentMin);
}

const Turn* Program::findTurn(CallId call) const
{
    const auto found = std::ranges::find(this->turns.rbegin(), this->turns.rend(), call, &Turn::call);
    return found == this->turns.rend() ? nullptr : &*found;
}

Claim* Program::findClaim(CallId call)
{
    const auto found = std::ranges::find(this->claims, call, &Claim::call);
    return found == this->claims.end() ? nullptr : &*found;
}

void Program::removeClaim(CallId call)
{
    std::erase_if(this->claims, [call](const Claim& claim) { return claim.call == call; });
}

/// Returns whether a call without a recorded outcome may have run. The log contains all claims, but no record of the
/// idempotent calls that an earlier owner started.
bool Program::mayHaveRun(CallId call, bool idempotent) const
{
    const bool ran = std::ranges::find(this->attempted, call) != this->attempted.end();
    return ran || (idempotent && this->inherited);
}

void Program::commit(Turn turn, const Digest& digest)
{
    this->removeClaim(turn.call);
    std::erase(this->attempted, turn.call);
    this->turns.push_back(std::move(turn));
    this->digests.push_back(digest);
}

BudgetReserved Program::reserve(Spending extra, Spending chunk)
{
    const auto wanted = componentMin(this->budget(), this->allocated() + extra + chunk);
    this->reservations.push_back(componentMax(wanted, this->usableReservation()));
    return { this->id(), this->reservations.back() };
}

std::optional<BudgetReserved> Program::adjustReservation(Spending chunk)
{
    if (!this->beginConfirmed || this->reservations.size() > 1)
        return std::nullopt;
    const auto free = this->usableReservation() - this->allocated();
    const auto wanted = componentMin(this->budget(), this->allocated() + chunk);
    const bool tooLarge
        = free.tokens > scaled(chunk, maxFreeChunks).tokens || free.calls > scaled(chunk, maxFreeChunks).calls;
    const bool nearlyUsed = free.tokens.value < chunk.tokens.value / 2 || free.calls.value < chunk.calls.value / 2;
    if (!tooLarge && !nearlyUsed)
        return std::nullopt;
    if (wanted == this->usableReservation() || (nearlyUsed && wanted.fitsIn(this->usableReservation())))
        return std::nullopt;
    this->reservations.push_back(wanted);
    return BudgetReserved { this->id(), wanted };
}

ProgramCheckpoint Program::checkpoint(UnixTime written) const
{
    ProgramCheckpoint record { this->begun, this->turns, this->digest(), this->claims, this->ended, written };
    record.begun.reserved = this->reservations.back();
    return record;
}

} // namespace peridotramp
