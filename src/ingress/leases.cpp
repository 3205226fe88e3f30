#include "request_p.h"

#include <algorithm>
#include <fmt/format.h>

namespace peridotramp {

namespace {

// Time between two looks for room in an allowance, which is divided anew with each status.
constexpr Milliseconds allowancePause { 40 };
// Part of the latency target for which a request waits before it is refused: a refusal that comes early can be
// repeated elsewhere in time.
constexpr double refusalPart = 0.22;
constexpr Milliseconds retryAfterAllowance { 200 };
// Without a coordinator, which takes up to half a second to be found after a restart, a try before that is in vain.
constexpr Milliseconds retryAfterCoordinatorLoss { 500 };
// A program that may not begin yet tries again when some of those under way have ended.
constexpr Milliseconds retryAfterBeginning { 600 };
// Time for a failure domain to lend room; a hop there and back takes a few milliseconds.
constexpr Milliseconds lendLimit { 25 };
// Time for the coordinator to lease room, which it may have to borrow first.
constexpr Milliseconds leaseLimit { 80 };

} // namespace

asio::awaitable<AllowanceLease> Ingress::Impl::grantLease(asio::any_io_executor executor, LeaseRequest request)
{
    auto lease = this->allowances.lease(request, RuntimeClock::now());
    if (lease.requests > 0)
        co_return lease;
    const auto lenders = this->allowances.lenders(request.workspace, request.stage, RuntimeClock::now());
    for (const auto domain : lenders) {
        const auto lender = this->fleet.coordinatorOf(domain);
        if (!lender)
            continue;
        const std::function<void(std::function<void(QuotaLoan)>)> start = [&](std::function<void(QuotaLoan)> hook) {
            this->fleet.call(lender->address, RoomRequest { request.workspace, request.stage }, lendLimit,
                [hook = std::move(hook)](const Result<Message>& answer, bool) {
                    const auto* reply = answer ? std::get_if<RoomReply>(&answer.value()) : nullptr;
                    hook(reply ? reply->room : QuotaLoan {});
                });
        };
        // Room whose answer comes too late is unused until the next division.
        const auto room = co_await resultOf<QuotaLoan>(executor, RuntimeClock::now() + lendLimit, start);
        if (!room || room->requests == 0)
            continue;
        this->metrics.count("allowance_borrowed", room->requests);
        this->allowances.borrow(request.workspace, *room);
        lease = this->allowances.lease(request, RuntimeClock::now());
        if (lease.requests > 0)
            break;
    }
    co_return lease;
}

asio::awaitable<std::optional<AllowanceLease>> Ingress::Impl::leaseRoom(
    asio::any_io_executor executor, WorkspaceId workspace, ProgramStage stage, TimePoint deadline)
{
    const auto now = RuntimeClock::now();
    LeaseRequest request { this->fleet.self().id(), workspace, stage, this->allowances.wanted(workspace, now) };
    if (this->fleet.isActiveCoordinator()) {
        const auto granted = co_await this->grantLease(executor, request);
        this->allowances.add(workspace, request.instance, granted, RuntimeClock::now());
        co_return std::optional<AllowanceLease>(granted);
    }
    const auto coordinator = this->fleet.coordinator();
    if (!coordinator)
        co_return std::nullopt;
    this->metrics.count("allowance_leases_asked");
    const std::function<void(std::function<void(AllowanceLease)>)> start
        = [&](std::function<void(AllowanceLease)> hook) {
              this->fleet.call(coordinator->member.address, request, leaseLimit,
                  [hook = std::move(hook)](const Result<Message>& answer, bool) {
                      const auto* reply = answer ? std::get_if<LeaseReply>(&answer.value()) : nullptr;
                      hook(reply ? reply->lease : AllowanceLease {});
                  });
          };
    // A lease whose answer comes too late is not used; the coordinator counts it as held until it ends.
    const auto lease = co_await resultOf<AllowanceLease>(executor, std::min(deadline, now + leaseLimit), start);
    if (lease)
        this->allowances.add(workspace, coordinator->id, *lease, RuntimeClock::now());
    co_return lease;
}

namespace {

std::string describe(const std::string& workspace, const std::optional<AllowanceLease>& lease)
{
    if (!lease || lease->limit == 0)
        return fmt::format("{}: no coordinator answers", workspace);
    return fmt::format(
        "{}: {} of {} used, {} of these not reported", workspace, lease->used, lease->limit, lease->unreported);
}

} // namespace

asio::awaitable<bool> RequestRun::admitByAllowance()
{
    if (this->workspace.empty())
        co_return true;
    auto& allowances = this->ingress->allowances;
    const auto id = idFromName<WorkspaceId>(this->workspace);
    if (allowances.admit(id, this->stage, RuntimeClock::now()))
        co_return true;
    const auto giveUpAt
        = this->startedAt + std::chrono::duration_cast<Duration>(this->route.latencyTarget * refusalPart);
    std::optional<AllowanceLease> lease;
    while (this->exchange.isActive()) {
        auto answer = co_await this->ingress->leaseRoom(this->executor, id, this->stage, giveUpAt);
        // An answer that does not come in the little time that is left tells nothing new.
        if (answer)
            lease = answer;
        if (allowances.admitWaiting(id, this->stage, RuntimeClock::now()))
            co_return true;
        if (RuntimeClock::now() + allowancePause >= giveUpAt)
            break;
        co_await pauseFor(this->executor, allowancePause);
    }
    const bool isCoordinated = lease && lease->limit > 0;
    const auto retryAfter = isCoordinated ? retryAfterAllowance : retryAfterCoordinatorLoss;
    this->refuse({ ErrorKind::RateExceeded, Outcome::NotRun, describe(this->workspace, lease),
        this->stage == ProgramStage::Begins ? retryAfterBeginning : retryAfter });
    co_return false;
}

} // namespace peridotramp
