#include "terms_p.h"

#include <algorithm>

namespace peridotramp {

void TermStack::add(const Term& term)
{
    std::erase_if(this->terms, [&term](const Term& old) { return old.rate <= term.rate && old.burst <= term.burst; });
    this->terms.push_back(term);
}

void TermStack::limit(double rate, double burst)
{
    for (auto& term : this->terms) {
        term.rate = std::min(term.rate, rate);
        term.burst = std::min(term.burst, burst);
    }
    std::erase_if(this->terms, [](const Term& term) { return term.rate <= 0 && term.burst <= 0; });
}

void TermStack::expire(TimePoint now)
{
    std::erase_if(this->terms, [now](const Term& term) { return term.end <= now; });
}

double TermStack::rate() const { return this->terms.empty() ? 0 : std::ranges::max(this->terms, {}, &Term::rate).rate; }

double TermStack::burst() const
{
    return this->terms.empty() ? 0 : std::ranges::max(this->terms, {}, &Term::burst).burst;
}

TimePoint TermStack::nextEnd() const
{
    return this->terms.empty() ? TimePoint::max() : std::ranges::min(this->terms, {}, &Term::end).end;
}

std::vector<LoanTerm> TermStack::remaining(TimePoint now) const
{
    std::vector<LoanTerm> all;
    all.reserve(this->terms.size());
    for (const auto& term : this->terms)
        all.push_back({ term.term, term.rate, term.burst, term.end - now });
    return all;
}

} // namespace peridotramp
