#include "endpointpool_p.h"

#include <algorithm>

namespace peridotramp {

ModelReconciler::ModelReconciler()
    : ModelReconciler(Init {})
{
}

ModelReconciler::ModelReconciler(Init init)
    : init(init)
{
}

void ModelReconciler::setWantedModels(EndpointId endpoint, Epoch epoch, std::vector<ModelId> models)
{
    std::ranges::sort(models);
    auto& entry = this->entries[endpoint];
    if (entry.epoch.isValid() && epoch < entry.epoch)
        return;
    if (entry.epoch == epoch && entry.wanted == models)
        return;
    entry
        = Entry { epoch, std::move(models), numberedId<OrderId>(IdSource::Orders, endpoint, epoch, this->sequence++) };
}

void ModelReconciler::applyReport(EndpointId endpoint, TimePoint measuredAt, std::vector<ModelId> models)
{
    const auto found = this->entries.find(endpoint);
    if (found == this->entries.end() || (found->second.reportedAt && measuredAt <= *found->second.reportedAt))
        return;
    auto& entry = found->second;
    entry.reportedAt = measuredAt;
    std::ranges::sort(models);
    const bool hadConverged = entry.converged;
    entry.converged = models == entry.wanted;
    const bool ranAfterSending = entry.firstSentAt && measuredAt > *entry.firstSentAt + this->init.repeatAfter;
    if (entry.converged || !(hadConverged || ranAfterSending))
        return;
    // Another order has replaced the effect of this one. The new id is for engines that drop repeated order ids.
    entry.order = numberedId<OrderId>(IdSource::Orders, endpoint, entry.epoch, this->sequence++);
    entry.sentAt.reset();
    entry.firstSentAt.reset();
    ++this->counters.corrected;
}

void ModelReconciler::forget(EndpointId endpoint) { this->entries.erase(endpoint); }

std::vector<Order> ModelReconciler::dueOrders(TimePoint now)
{
    std::vector<Order> orders;
    for (auto& [endpoint, entry] : this->entries) {
        const bool isDue = !entry.sentAt || now - *entry.sentAt >= this->init.repeatAfter;
        if (entry.converged || !isDue)
            continue;
        if (entry.sentAt)
            ++this->counters.repeated;
        else
            entry.firstSentAt = now;
        entry.sentAt = now;
        ++this->counters.sent;
        orders.push_back({ entry.order, endpoint, entry.epoch, ServeModels { entry.wanted } });
    }
    return orders;
}

bool ModelReconciler::hasConverged(EndpointId endpoint) const
{
    const auto found = this->entries.find(endpoint);
    return found != this->entries.end() && found->second.converged;
}

} // namespace peridotramp
