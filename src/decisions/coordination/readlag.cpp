#include "peridotramp/coordination.h"

namespace peridotramp {

bool isAhead(Offset offset, Offset applied) { return offset.isValid() && (!applied.isValid() || offset > applied); }

void ReadLag::recordApplied(Offset end)
{
    if (!isAhead(end, this->end))
        return;
    this->end = end;
    this->behindSince.reset();
}

bool ReadLag::recordReported(Offset end, TimePoint now)
{
    if (!isAhead(end, this->end))
        return false;
    if (!this->behindSince)
        this->behindSince = now;
    return now - *this->behindSince >= this->tolerance;
}

} // namespace peridotramp
