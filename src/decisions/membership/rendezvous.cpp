#include "peridotramp/membership.h"

#include <algorithm>
#include <cstring>

namespace peridotramp {

namespace {

std::uint64_t weight(std::uint64_t key, NodeId node)
{
    std::array<char, sizeof(node.value)> bytes {};
    std::memcpy(bytes.data(), &node.value, bytes.size());
    return hashBytes({ bytes.data(), bytes.size() }, key);
}

} // namespace

NodeId rendezvous(std::uint64_t key, std::span<const NodeId> candidates)
{
    // Ties are broken by node id, so that the result is the same on every node.
    const auto rank = [key](NodeId node) { return std::pair(weight(key, node), node.value); };
    const auto best = std::ranges::max_element(candidates, {}, rank);
    return best == candidates.end() ? NodeId {} : *best;
}

std::vector<NodeId> rendezvousOrder(std::uint64_t key, std::span<const NodeId> candidates)
{
    std::vector<std::pair<std::uint64_t, NodeId>> ranked;
    ranked.reserve(candidates.size());
    std::ranges::transform(
        candidates, std::back_inserter(ranked), [key](NodeId node) { return std::pair(weight(key, node), node); });
    std::ranges::sort(ranked, std::greater {});
    std::vector<NodeId> order;
    order.reserve(ranked.size());
    std::ranges::transform(ranked, std::back_inserter(order), [](const auto& entry) { return entry.second; });
    return order;
}

} // namespace peridotramp
