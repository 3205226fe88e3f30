#pragma once

#include "peridotramp/core.h"

namespace peridotramp {

/// What a bucket counts.
enum class GrantKind : std::uint8_t { Requests, Tokens, Count };

/// Names one bucket: a workspace's grant of one kind in one failure domain.
struct BucketKey {
    WorkspaceId workspace {};
    DomainId domain {};
    GrantKind kind = GrantKind::Requests;

    auto operator<=>(const BucketKey&) const = default;
};

/// Returns the hash that chooses the shard and the partition of a bucket.
std::uint64_t hashOf(const BucketKey& key);

/// Amount of requests or tokens, after the bucket's kind.
using GrantAmount = Quantity<struct GrantAmountTag>;
using LoanId = Id<struct LoanTag>;
using PermitId = Id<struct PermitTag>;
/// Position in the queue of a bucket.
using TicketId = Id<struct TicketTag>;
/// Who takes permits, for fairness in the queue: a program or its owner.
using GrantSource = Id<struct GrantSourceTag>;

/// Rate and burst of one kind that the configuration states for a whole workspace.
struct GrantLimit {
    /// Amount per second; at least 0.
    double rate = 0;
    /// Greatest amount at one moment; at least 0.
    double burst = 0;

    bool operator==(const GrantLimit&) const = default;
};

struct WorkspaceGrant {
    GrantLimit requests {};
    GrantLimit tokens {};

    bool operator==(const WorkspaceGrant&) const = default;
};

/// A configured failure domain. A removed one is simply not listed.
struct GrantDomain {
    DomainId domain {};
    /// Out of service: its buckets lend all that they have.
    bool out = false;

    bool operator==(const GrantDomain&) const = default;
};

/// Time in which the owner of a bucket may act, by its own clock. The owner of section 4 of the design sets it.
struct GrantLease {
    TimePoint from {};
    TimePoint until {};
};

/// Right to use an amount once. It counts as used from the moment it is given.
struct Permit {
    BucketKey bucket {};
    PermitId id {};
    /// Epoch of the owner that gave it.
    Epoch epoch {};
    GrantAmount amount {};
};

struct GrantWait {
    TicketId ticket {};
    /// When to call `resume`.
    TimePoint until {};
};

/// A permit, a place in the queue, or an error with outcome not run.
using TakeResult = Result<std::variant<Permit, GrantWait>>;

struct TakeRequest {
    BucketKey bucket {};
    GrantAmount amount { 1 };
    GrantSource source {};
    /// No permit is given after it.
    TimePoint deadline = TimePoint::max();
};

/// Asks the owner of the bucket of another failure domain for a part of its share. Repeats of a term are harmless.
///
/// From the time of the request on, the borrower uses at most these amounts of earlier terms, so a request for less, or
/// for nothing, returns the rest at once.
struct LoanRequest {
    /// The lender's bucket.
    BucketKey bucket {};
    DomainId borrower {};
    LoanId loan {};
    /// Counts the requests of one loan; each new term replaces the earlier ones.
    std::uint64_t term = 0;
    double rate = 0;
    double burst = 0;
    /// Level that no longer fits into the borrower's bucket and goes back.
    double level = 0;
};

struct LoanReply {
    /// The borrower's bucket.
    BucketKey bucket {};
    DomainId lender {};
    LoanId loan {};
    std::uint64_t term = 0;
    /// Granted rate, burst and level; zero when nothing could be spared.
    double rate = 0;
    double burst = 0;
    double level = 0;
    /// What the lender could still lend; a hint for the next request.
    double spareRate = 0;
    double spareBurst = 0;
};

/// One term of a loan with the time that it still runs. Clocks of two nodes cannot be compared, so times are relative.
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

/// What the owner of a bucket passes to its successor at a planned stop.
struct BucketHandover {
    BucketKey bucket {};
    /// Epoch of the owner that hands over.
    Epoch epoch {};
    double level = 0;
    std::vector<HandoverLoan> lent {};
    std::vector<HandoverLoan> borrowed {};
};

/// Buckets of workspaces that one process owns, with their queues and loans. Time is passed in.
///
/// The permits that all owners give in any window of time stay at or below burst + rate * window: the rates and bursts
/// of all buckets of a workspace and kind never add up to more than the workspace's, whatever happens to messages.
class GrantTable {
public:
    struct Limits {
        /// Time that a borrower holds a loan, from its request; D of the design, below the lease time L.
        Duration loan = Seconds(3);
        /// Time that a lender waits beyond it; covers clocks that run at different speeds.
        Duration loanMargin = Milliseconds(500);
        /// Time after which a borrower renews a loan that it still needs.
        Duration renewAfter = Seconds(1);
        /// Time after which an unanswered loan request is sent anew.
        Duration loanRetry = Milliseconds(500);
        /// Time between two requests to a lender that had nothing to spare.
        Duration lenderPause = Milliseconds(500);
        /// Longest wait in the queue.
        Duration queueWait = Milliseconds(500);
        std::size_t queueLength = 64;
        /// Waiting requests of one source.
        std::size_t queuePerSource = 16;
        /// Time constant of the observed demand.
        Duration demandWindow = Seconds(1);
        /// Part of its base share that a failure domain in service keeps, whatever its demand.
        double keptShare = 0.1;
        /// Factor by which a lender keeps, and a borrower asks, more than the observed demand.
        double demandHeadroom = 1.25;
        /// Delay before a failure domain raises its share of a workspace after the list of failure domains changed: the
        /// time for a configuration to be in force everywhere, plus a loan and its margin.
        Duration shareRaiseDelay = Seconds(10);
        /// Time after which an uncorrected permit can no longer give back what was not used.
        Duration permitLife = std::chrono::minutes(10);
        std::size_t openPermits = 65536;
    };

    struct Init {
        /// Makes loan and permit ids unique: must differ for each start of each process and for each table.
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
        /// Replies that came too late, twice or for a loan that is not known.
        std::uint64_t repliesIgnored = 0;
        std::uint64_t corrections = 0;
        std::uint64_t correctionsIgnored = 0;
    };

    /// State of a bucket for dumps, metrics and tests.
    struct View {
        double level = 0;
        /// Rate and burst with loans taken into account.
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
    /// Withdraws a workspace; its buckets refuse from now on.
    void withdraw(TimePoint now, WorkspaceId workspace, Offset version);
    /// Sets the configured failure domains. A version at or below the one in force is ignored.
    void configureDomains(TimePoint now, std::vector<GrantDomain> domains, Offset version);

    /// Opens an empty bucket as a new owner. It fills and acts from `lease.from`. Replaces an open bucket of an older
    /// epoch; an older or equal epoch changes nothing.
    void open(TimePoint now, const BucketKey& key, Epoch epoch, GrantLease lease);
    /// Opens a bucket with the state of the previous owner. Falls back to an empty bucket when `state` was not written
    /// under `previous`, the epoch directly before. `notBefore` is a time of the own clock that surely precedes the
    /// making of `state`; without it, borrowed loans are dropped.
    void openFrom(TimePoint now, const BucketKey& key, Epoch epoch, GrantLease lease, const BucketHandover& state,
        Epoch previous, std::optional<TimePoint> notBefore);
    /// Extends the time in which the owner may act. Does nothing when the bucket is not open under `epoch`.
    void renewLease(const BucketKey& key, Epoch epoch, TimePoint until);
    /// Closes the bucket for a planned stop and returns what the successor needs; empty without a valid lease.
    std::optional<BucketHandover> handOver(TimePoint now, const BucketKey& key);
    /// Forgets the bucket.
    void close(const BucketKey& key);

    /// Takes a permit, or queues the request briefly. Errors, all not run: `RateExceeded`, `RequestTooLarge` (more than
    /// the workspace's burst), `NotOwner`, `NotReady` (the lease has not begun), `LeaseLapsed`, `Forbidden` (unknown
    /// workspace), `DomainOutOfService` (failure domain removed) and `DeadlineExceeded`.
    TakeResult take(TimePoint now, const TakeRequest& request);
    /// Asks again for a queued request.
    TakeResult resume(TimePoint now, const BucketKey& key, TicketId ticket);
    /// Gives up a place in the queue.
    void cancel(const BucketKey& key, TicketId ticket);
    /// Replaces the estimate of a permit by the amount used. More than estimated is taken from the bucket, into debt if
    /// need be; what was not used returns as far as the bucket would hold it had it never been taken. Each permit is
    /// corrected once; a permit of another owner only adds to the debt.
    void correct(TimePoint now, const Permit& permit, GrantAmount used);

    /// Returns the loan requests to send; call it every 100 ms and after each take that had to wait.
    std::vector<LoanRequest> tick(TimePoint now);
    /// Answers a loan request as the lender. Nothing is lent that would outlast the own lease.
    LoanReply lend(TimePoint now, const LoanRequest& request);
    /// Takes over a granted loan as the borrower.
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
