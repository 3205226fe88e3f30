#include "terms_p.h"

#include <algorithm>

namespace peridotramp {

void ActiveTerms::add(const Term& term)
{
    std::erase_if(this->terms, [&term](const Term& old) { return old.rate <= term.rate && old.burst <= term.burst; });
    this->terms.push_back(term);
}

void ActiveTerms::capAmounts(double rate, double burst)
{
    for (auto& term : this->terms) {
        term.rate = std::min(term.rate, rate);
        term.burst = std::min(term.burst, burst);
    }
    std::erase_if(this->terms, [](const Term& term) { return term.rate <= 0 && term.burst <= 0; });
}

void ActiveTerms::expire(TimePoint now)
{
    std::erase_if(this->terms, [now](const Term& term) { return term.end <= now; });
}

double ActiveTerms::rate() const
{
    return this->terms.empty() ? 0 : std::ranges::max(this->terms, {}, &Term::rate).rate;
}

double ActiveTerms::burst() const
{
    return this->terms.empty() ? 0 : std::ranges::max(this->terms, {}, &Term::burst).burst;
}

TimePoint ActiveTerms::nextEnd() const
{
    return this->terms.empty() ? TimePoint::max() : std::ranges::min(this->terms, {}, &Term::end).end;
}

std::vector<LoanTerm> ActiveTerms::remaining(TimePoint now) const
{
    std::vector<LoanTerm> list;
    list.reserve(this->terms.size());
    for (const auto& term : this->terms)
        list.push_back({ term.term, term.rate, term.burst, term.end - now });
    return list;
}

} // namespace peridotramp
