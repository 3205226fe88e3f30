#pragma once

#include "peridotramp/grants.h"

namespace peridotramp {

/// Amounts that terms of one loan hold until their ends. Lender and borrower both count the greatest amount of all
/// terms that still run: a reply may be lost or late, so neither knows which of them the other side goes by.
class TermStack {
public:
    struct Term {
        std::uint64_t term = 0;
        double rate = 0;
        double burst = 0;
        TimePoint end {};
    };

    /// Adds a term that ends no earlier than those added before.
    void add(const Term& term);
    /// Lowers all terms to at most these amounts.
    void limit(double rate, double burst);
    /// Drops the terms that have ended.
    void expire(TimePoint now);
    double rate() const;
    double burst() const;
    bool empty() const { return this->terms.empty(); }
    /// Returns the earliest end, or the greatest time when no term runs.
    TimePoint nextEnd() const;
    /// Returns the terms with what remains of each.
    std::vector<LoanTerm> remaining(TimePoint now) const;

private:
    std::vector<Term> terms;
};

} // namespace peridotramp
