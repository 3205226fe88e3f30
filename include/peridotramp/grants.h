#pragma once

#include "peridotramp/core.h"

// Used by the scheduler, whose partition owners issue the permits. The ingress on the platform, which has no partition
// owners, limits workspaces with `allowances.h` instead.

namespace peridotramp {

/// Unit that a bucket counts.
enum class GrantKind : std::uint8_t { Requests, Tokens, Count };

/// Identifies a token bucket: the share of a workspace's grant of one kind in one failure domain.
struct BucketKey {
    WorkspaceId workspace {};
    DomainId domain {};
    GrantKind kind = GrantKind::Requests;

    auto operator<=>(const BucketKey&) const = default;
};

/// Returns the hash that chooses the shard and the partition of a bucket.
std::uint64_t hashOf(const BucketKey& key);

/// Number of requests or tokens, depending on the bucket's kind.
using GrantAmount = Quantity<struct GrantAmountTag>;
using LoanId = Id<struct LoanTag>;
using PermitId = Id<struct PermitTag>;
/// Position in the queue of a bucket.
using TicketId = Id<struct TicketTag>;
/// Source of requests, for fairness in the queue: a program or its owner.
using GrantSource = Id<struct GrantSourceTag>;

/// Configured rate and burst of one kind for a workspace over all failure domains.
struct GrantLimit {
    /// Amount per second; at least 0.
    double rate = 0;
    /// Capacity of the bucket; at least 0.
    double burst = 0;

    bool operator==(const GrantLimit&) const = default;
};

struct WorkspaceGrant {
    GrantLimit requests {};
    GrantLimit tokens {};

    bool operator==(const WorkspaceGrant&) const = default;
};

/// A configured failure domain. Removed ones are not listed.
struct GrantDomain {
    DomainId domain {};
    /// Whether it is out of service; its buckets then lend all that they have.
    bool outOfService = false;

    bool operator==(const GrantDomain&) const = default;
};

/// Time in which the owner of a bucket may act, by its own clock. Derived from the owner's lease of the partition.
struct GrantLease {
    TimePoint from {};
    TimePoint until {};
};

/// Permission to use an amount once. It counts as used from the time it is issued.
struct Permit {
    BucketKey bucket {};
    PermitId id {};
    /// Epoch of the owner that issued it.
    Epoch epoch {};
    GrantAmount amount {};
};

/// Position of a queued request.
struct GrantWait {
    TicketId ticket {};
    /// When to call `resume`.
    TimePoint resumeAt {};
};

/// A permit, a position in the queue, or an error with `Outcome::NotRun`.
using TakeResult = Result<std::variant<Permit, GrantWait>>;

struct TakeRequest {
    BucketKey bucket {};
    GrantAmount amount { 1 };
    GrantSource source {};
    /// No permit is issued after it.
    TimePoint deadline = TimePoint::max();
};

/// Asks the owner of another failure domain's bucket for a part of its share. Idempotent per term.
///
/// Once the request is sent, the borrower uses at most these amounts of earlier terms. A request for less, or for
/// nothing, therefore returns the rest at once.
struct LoanRequest {
    /// The lender's bucket.
    BucketKey bucket {};
    DomainId borrower {};
    LoanId loan {};
    /// Sequence number of the request within the loan; each new term replaces the earlier ones.
    std::uint64_t term = 0;
    double rate = 0;
    double burst = 0;
    /// Level that no longer fits into the borrower's bucket and is returned.
    double level = 0;
};

struct LoanReply {
    /// The borrower's bucket.
    BucketKey bucket {};
    DomainId lender {};
    LoanId loan {};
    std::uint64_t term = 0;
    /// Granted rate, burst and level; zero when the lender had nothing to lend.
    double rate = 0;
    double burst = 0;
    double level = 0;
    /// What the lender could still lend; a hint for the next request.
    double spareRate = 0;
    double spareBurst = 0;
};

/// One term of a loan with its remaining time, which is relative because the clocks of two nodes cannot be compared.
struct LoanTerm {
    std::uint64_t term = 0;
    double rate = 0;
    double burst = 0;
    Duration remaining {};
};

struct HandoverLoan {
    /// The other failure domain.
    DomainId peer {};
    LoanId loan {};
    std::uint64_t lastTerm = 0;
    std::vector<LoanTerm> terms {};
};

/// State that the owner of a bucket passes to its successor at a planned stop.
struct BucketHandover {
    BucketKey bucket {};
    /// Epoch of the owner that hands over.
    Epoch epoch {};
    double level = 0;
    std::vector<HandoverLoan> lent {};
    std::vector<HandoverLoan> borrowed {};
};

/// Token buckets of workspaces that one process owns, with their queues and loans. Time is passed in.
///
/// The permits that all owners issue in any window of time stay at or below burst + rate * window: the rates and bursts
/// of all buckets of a workspace and kind never add up to more than the workspace's, even if messages are lost, delayed
/// or repeated.
class GrantTable {
public:
    struct Limits {
        /// Time from its request after which a loan ends at the borrower; must be below the duration of an owner's
        /// lease.
        Duration loanDuration = Seconds(3);
        /// Time by which a loan ends later at the lender; covers clocks that run at different speeds.
        Duration loanMargin = Milliseconds(500);
        /// Time after which a borrower renews a loan that it still needs.
        Duration loanRenewalInterval = Seconds(1);
        /// Time after which an unanswered loan request is sent again.
        Duration loanRetryDelay = Milliseconds(500);
        /// Time between two requests to a lender that had nothing to lend.
        Duration emptyLenderDelay = Milliseconds(500);
        /// Longest wait in the queue.
        Duration maxQueueWait = Milliseconds(500);
        std::size_t maxQueueLength = 64;
        /// Maximum number of waiting requests of one source.
        std::size_t maxQueuedPerSource = 16;
        /// Time constant of the moving average of the demand.
        Duration demandWindow = Seconds(1);
        /// Fraction of its base share that a failure domain in service never lends.
        double minKeptFraction = 0.1;
        /// Factor on the observed demand that determines how much a lender keeps and a borrower requests.
        double demandHeadroom = 1.25;
        /// Delay before a failure domain raises its share of a workspace after the list of failure domains changed: the
        /// time until a configuration is in force everywhere, plus a loan and its margin.
        Duration shareRaiseDelay = Seconds(10);
        /// Time after which a permit can no longer be corrected to return an unused amount.
        Duration permitLifetime = std::chrono::minutes(10);
        std::size_t maxOpenPermits = 65536;
    };

    struct Init {
        /// Makes loan and permit ids unique; must differ between tables and between starts of a process.
        std::uint64_t idSeed = 1;
        Limits limits {};
    };

    struct Stats {
        std::uint64_t granted = 0;
        std::uint64_t queued = 0;
        std::uint64_t refused = 0;
        std::uint64_t loanRequests = 0;
        std::uint64_t loansGranted = 0;
        std::uint64_t loansRefused = 0;
        std::uint64_t loansAccepted = 0;
        /// Replies that were late, repeated or for an unknown loan.
        std::uint64_t repliesIgnored = 0;
        std::uint64_t corrections = 0;
        std::uint64_t correctionsIgnored = 0;
    };

    /// State of a bucket for dumps, metrics and tests.
    struct View {
        double level = 0;
        /// Rate and burst including loans.
        double rate = 0;
        double burst = 0;
        double lentRate = 0;
        double lentBurst = 0;
        double borrowedRate = 0;
        double borrowedBurst = 0;
        /// Observed demand per second.
        double demand = 0;
        std::size_t waiting = 0;
    };

    GrantTable();
    explicit GrantTable(const Init& init);
    GrantTable(GrantTable&&) noexcept;
    GrantTable& operator=(GrantTable&&) noexcept;
    ~GrantTable();

    /// Sets the seed and the limits of a default-constructed table that holds no bucket yet.
    void initialise(const Init& init);

    /// Sets the rates of a workspace. A version at or below the one in force for the workspace is ignored.
    void configure(TimePoint now, WorkspaceId workspace, const WorkspaceGrant& grant, Offset version);
    /// Removes a workspace; its buckets refuse all requests from then on.
    void withdraw(TimePoint now, WorkspaceId workspace, Offset version);
    /// Sets the configured failure domains. A version at or below the one in force is ignored.
    void configureDomains(TimePoint now, std::vector<GrantDomain> domains, Offset version);

    /// Opens an empty bucket as a new owner. It fills and issues permits from `lease.from` on. Replaces an open bucket
    /// of an older epoch; has no effect if the open bucket's epoch is the same or newer.
    void open(TimePoint now, const BucketKey& key, Epoch epoch, GrantLease lease);
    /// Opens a bucket with the state of the previous owner. Falls back to an empty bucket when `state` was not written
    /// in epoch `previous`, the one directly before. `notBefore` is a time by the local clock that is certainly before
    /// `state` was written; without it, borrowed loans are dropped.
    void openFrom(TimePoint now, const BucketKey& key, Epoch epoch, GrantLease lease, const BucketHandover& state,
        Epoch previous, std::optional<TimePoint> notBefore);
    /// Extends the time in which the owner may act. Does nothing when the bucket is not open under `epoch`.
    void renewLease(const BucketKey& key, Epoch epoch, TimePoint until);
    /// Closes the bucket for a planned stop and returns its state for the successor; empty without a valid lease.
    std::optional<BucketHandover> handOver(TimePoint now, const BucketKey& key);
    /// Drops the bucket.
    void close(const BucketKey& key);

    /// Takes a permit, or queues the request briefly. Errors, all with `Outcome::NotRun`: `RateExceeded`,
    /// `RequestTooLarge` (more than the workspace's burst), `NotOwner`, `NotReady` (the lease has not started),
    /// `LeaseLapsed`, `Forbidden` (unknown workspace), `DomainOutOfService` (failure domain removed) and
    /// `DeadlineExceeded`.
    TakeResult take(TimePoint now, const TakeRequest& request);
    /// Tries again to take a permit for a queued request.
    TakeResult resume(TimePoint now, const BucketKey& key, TicketId ticket);
    /// Removes a request from the queue.
    void cancel(const BucketKey& key, TicketId ticket);
    /// Replaces the estimated amount of a permit by the amount used. An excess is taken from the bucket, whose level
    /// may become negative. An unused part is returned up to what the bucket would contain if it had never been taken.
    /// Each permit is corrected at most once; a correction for a permit of another owner only lowers the level.
    void correct(TimePoint now, const Permit& permit, GrantAmount used);

    /// Returns the loan requests to send; call it every 100 ms and after each take that had to wait.
    std::vector<LoanRequest> tick(TimePoint now);
    /// Answers a loan request as the lender. Grants no loan that would end after this owner's lease.
    LoanReply lend(TimePoint now, const LoanRequest& request);
    /// Adds a granted loan as the borrower.
    void acceptLoan(TimePoint now, const LoanReply& reply);

    std::optional<View> view(TimePoint now, const BucketKey& key);
    /// Returns the keys of all open buckets.
    std::vector<BucketKey> buckets() const;
    const Stats& stats() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace peridotramp
