#pragma once

#include "bucket_p.h"

namespace peridotramp {

struct GrantTable::State {
    struct Workspace {
        std::optional<WorkspaceGrant> grant {};
        Offset version {};
    };

    /// Fraction of each workspace's grant that belongs to a failure domain.
    struct Share {
        double fraction = 0;
        bool outOfService = false;
        bool isListed = false;
        /// A greater share that applies from `raiseAt`, when the change is in force everywhere.
        double nextFraction = 0;
        TimePoint raiseAt = TimePoint::max();
    };

    // table.cpp
    /// Applies the share increases that are due, then returns the bucket filled up to `now`; null if it is not open.
    Bucket* currentBucket(TimePoint now, const BucketKey& key);
    void raiseShares(TimePoint now);
    void applyBase(TimePoint now, Bucket& bucket);
    void applyDomain(TimePoint now, DomainId domain);
    GrantLimit limitOf(const BucketKey& key) const;
    std::uint64_t nextId();

    // permits.cpp
    /// Returns why the bucket cannot serve a request at all now, whatever its level.
    std::optional<Error> refusalReason(TimePoint now, const Bucket* bucket, const TakeRequest& request) const;
    Permit issuePermit(TimePoint now, Bucket& bucket, std::int64_t amount);
    void dropOldPermits(TimePoint now, Bucket& bucket);
    TakeResult enqueue(TimePoint now, Bucket& bucket, const TakeRequest& request);
    /// Returns when to try again to take an amount, including that of requests ahead in the queue, or nothing when it
    /// will not be available by `waitUntil`.
    std::optional<TimePoint> retryTime(TimePoint now, const Bucket& bucket, double amount, TimePoint waitUntil) const;
    Error refuse(TimePoint now, Bucket& bucket, double amountAhead, std::int64_t amount);
    bool mayBorrow(TimePoint now, const Bucket& bucket) const;

    // loans.cpp
    struct Need {
        double rate = 0;
        double burst = 0;
    };
    Need needOf(TimePoint now, const Bucket& bucket) const;
    void planLoans(TimePoint now, Bucket& bucket, std::vector<LoanRequest>& requests);
    /// Returns the estimate of what the lender can lend to this bucket, including its current loan.
    Need capacityOf(TimePoint now, const Bucket& bucket, DomainId lender) const;
    LoanRequest requestLoan(TimePoint now, Bucket& bucket, DomainId lender, const Need& part);
    /// Lowers the earlier terms of the loan to the request's amounts and adds the returned level to the bucket.
    static void reclaim(Bucket& bucket, LentLoan& loan, const LoanRequest& request);
    bool isRequestDue(TimePoint now, const Borrowing& loan, const Need& part) const;
    Need spareOf(TimePoint now, const Bucket& bucket, const LenderKey& except) const;

    Init init {};
    Stats stats {};
    std::uint64_t idCount = 0;
    std::map<WorkspaceId, Workspace> workspaces {};
    std::map<DomainId, Share> shares {};
    Offset domainsVersion {};
    TimePoint nextRaise = TimePoint::max();
    std::map<BucketKey, Bucket> buckets {};
};

} // namespace peridotramp
