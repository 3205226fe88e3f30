#pragma once

#include "peridotramp/grants.h"

namespace peridotramp {

/// Active terms of one loan. Lender and borrower both use the maximum of all active terms: a reply may be lost or late,
/// so neither knows which term is in force at the other side.
class ActiveTerms {
public:
    struct Term {
        std::uint64_t term = 0;
        double rate = 0;
        double burst = 0;
        TimePoint end {};
    };

    /// Adds a term, which must not end before those added earlier.
    void add(const Term& term);
    /// Lowers all terms to at most these amounts.
    void capAmounts(double rate, double burst);
    /// Drops the terms that have ended.
    void expire(TimePoint now);
    double rate() const;
    double burst() const;
    bool empty() const { return this->terms.empty(); }
    /// Returns the earliest end, or `TimePoint::max()` if no term is active.
    TimePoint nextEnd() const;
    /// Returns the active terms with their remaining times.
    std::vector<LoanTerm> remaining(TimePoint now) const;

private:
    std::vector<Term> terms;
};

} // namespace peridotramp
