#include "request_p.h"

#include <algorithm>
#include <fmt/format.h>

namespace peridotramp {

namespace {

// Interval between two attempts of a waiting request to be admitted. Allowances are redistributed with each status
// report.
constexpr Milliseconds admissionRetryInterval { 40 };
// Fraction of the latency target for which a request waits before it is refused. After an early refusal the caller has
// time to retry elsewhere.
constexpr double maxWaitFraction = 0.22;
constexpr Milliseconds retryAfterAllowance { 200 };
// While there is no coordinator. Finding one takes up to half a second after a restart, so an earlier retry would fail.
constexpr Milliseconds retryAfterCoordinatorLoss { 500 };
// For a request that begins a program: by then some of the programs in progress have ended.
constexpr Milliseconds retryAfterProgramRefusal { 600 };
// Timeout of a request for quota to another failure domain; the round trip takes a few milliseconds.
constexpr Milliseconds lendTimeout { 25 };
// Timeout of a lease request to the coordinator, which may have to borrow quota first.
constexpr Milliseconds leaseTimeout { 80 };

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
            this->fleet.call(lender->address, QuotaLoanRequest { request.workspace, request.stage }, lendTimeout,
                [hook = std::move(hook)](const Result<Message>& answer, bool) {
                    const auto* reply = answer ? std::get_if<QuotaLoanReply>(&answer.value()) : nullptr;
                    hook(reply ? reply->loan : QuotaLoan {});
                });
        };
        // Quota whose answer arrives too late stays unused until the next redistribution.
        const auto quota = co_await awaitResult<QuotaLoan>(executor, RuntimeClock::now() + lendTimeout, start);
        if (!quota || quota->requests == 0)
            continue;
        this->metrics.count("allowance_borrowed", quota->requests);
        this->allowances.borrow(request.workspace, *quota);
        lease = this->allowances.lease(request, RuntimeClock::now());
        if (lease.requests > 0)
            break;
    }
    co_return lease;
}

asio::awaitable<std::optional<AllowanceLease>> Ingress::Impl::requestLease(
    asio::any_io_executor executor, WorkspaceId workspace, ProgramStage stage, TimePoint deadline)
{
    const auto now = RuntimeClock::now();
    LeaseRequest request { this->fleet.self().id(), workspace, stage, this->allowances.leaseSize(workspace, now) };
    if (this->fleet.isActiveCoordinator()) {
        const auto granted = co_await this->grantLease(executor, request);
        this->allowances.addLease(workspace, request.instance, granted, RuntimeClock::now());
        co_return std::optional<AllowanceLease>(granted);
    }
    const auto coordinator = this->fleet.coordinator();
    if (!coordinator)
        co_return std::nullopt;
    this->metrics.count("allowance_leases_asked");
    const std::function<void(std::function<void(AllowanceLease)>)> start
        = [&](std::function<void(AllowanceLease)> hook) {
              this->fleet.call(coordinator->member.address, request, leaseTimeout,
                  [hook = std::move(hook)](const Result<Message>& answer, bool) {
                      const auto* reply = answer ? std::get_if<LeaseReply>(&answer.value()) : nullptr;
                      hook(reply ? reply->lease : AllowanceLease {});
                  });
          };
    // A lease whose answer arrives too late is not used; the coordinator counts it as leased until it expires.
    const auto lease = co_await awaitResult<AllowanceLease>(executor, std::min(deadline, now + leaseTimeout), start);
    if (lease)
        this->allowances.addLease(workspace, coordinator->id, *lease, RuntimeClock::now());
    co_return lease;
}

namespace {

std::string describe(const std::string& workspace, const std::optional<AllowanceLease>& lease)
{
    if (!lease || lease->limit == 0)
        return fmt::format("{}: no coordinator answers", workspace);
    return fmt::format("{}: {} of {} requests used, {} of these not reported", workspace, lease->used, lease->limit,
        lease->unreported);
}

} // namespace

asio::awaitable<bool> RequestHandler::admitByAllowance()
{
    if (this->workspace.empty())
        co_return true;
    auto& allowances = this->ingress->allowances;
    const auto id = idFromName<WorkspaceId>(this->workspace);
    if (allowances.admit(id, this->stage, RuntimeClock::now()))
        co_return true;
    const auto giveUpAt
        = this->startedAt + std::chrono::duration_cast<Duration>(this->route.latencyTarget * maxWaitFraction);
    std::optional<AllowanceLease> lease;
    while (this->exchange.isActive()) {
        auto answer = co_await this->ingress->requestLease(this->executor, id, this->stage, giveUpAt);
        // Keeps the earlier answer when there is none, which may only mean that little time was left.
        if (answer)
            lease = answer;
        if (allowances.retryAdmission(id, this->stage, RuntimeClock::now()))
            co_return true;
        if (RuntimeClock::now() + admissionRetryInterval >= giveUpAt)
            break;
        co_await sleepFor(this->executor, admissionRetryInterval);
    }
    const bool isCoordinated = lease && lease->limit > 0;
    const auto retryAfter = isCoordinated ? retryAfterAllowance : retryAfterCoordinatorLoss;
    this->refuse({ ErrorKind::RateExceeded, Outcome::NotRun, describe(this->workspace, lease),
        this->stage == ProgramStage::Begins ? retryAfterProgramRefusal : retryAfter });
    co_return false;
}

} // namespace peridotramp
