#include "node_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

std::vector<GrantDomain> grantDomains(const Node& node, const Configuration& configuration)
{
    std::vector<GrantDomain> domains;
    for (std::uint64_t index = 0; index < node.init.domains.size(); ++index) {
        const auto found = std::ranges::find(configuration.domains(), node.init.domains[index], &DomainEntry::name);
        const auto state = found == configuration.domains().end() ? DomainEntry::State::In : found->state;
        if (state != DomainEntry::State::Removed)
            domains.push_back({ DomainId { index }, state == DomainEntry::State::Out });
    }
    return domains;
}

WorkspaceGrant grantOf(const WorkspaceEntry& workspace)
{
    return { { workspace.requestRate.value, static_cast<double>(workspace.requestBurst.value) },
        { workspace.tokenRate.value, static_cast<double>(workspace.tokenBurst.value) } };
}

Policy policyOf(const PolicyEntry& entry)
{
    if (entry.preset == PolicyEntry::Preset::Baseline)
        return baselinePolicy();
    return policyFromWeights({ entry.fairness, entry.locality, entry.programOrder });
}

DispatchGroup& findOrAddGroup(
    PartitionState& state, const DispatchGroupKey& key, CallTarget target, const Configuration& configuration)
{
    const auto found = state.groups.find(key);
    if (found != state.groups.end())
        return found->second;
    FairQueue::Init init;
    init.policy = policyOf(configuration.policyOf(key.team));
    auto& group = state.groups[key];
    group.name = key.name;
    group.team = key.team;
    group.target = target;
    group.queue = FairQueue(std::move(init));
    return group;
}

EndpointDescription describeEndpoint(const EndpointEntry& entry, DomainId domain, const DispatchGroupKey& key)
{
    EndpointDescription description;
    description.endpoint = entry.id;
    description.domain = domain;
    // The shift clears the highest bit, so that the id is always valid.
    description.group = EndpointGroupId { hashBytes(key.name, key.team.value) >> 1 };
    description.kind = entry.kind == EndpointEntry::Kind::Engine ? EndpointKind::Engine : EndpointKind::Service;
    std::ranges::transform(entry.models, std::back_inserter(description.models),
        [](const std::string& model) { return idFromName<ModelId>(model); });
    description.slots = SlotCount { entry.slots };
    description.inService = entry.state == EndpointEntry::State::In;
    description.fencing = entry.fencing == EndpointEntry::Fencing::Obeyed ? Fencing::Obeyed : Fencing::Ignored;
    return description;
}

// An engine belongs only to the group of its first model, so that exactly one partition owns its window.
std::vector<DispatchGroupKey> groupKeysOf(const Document& document, const EndpointEntry& entry)
{
    if (entry.kind == EndpointEntry::Kind::Engine)
        return entry.models.empty() ? std::vector<DispatchGroupKey> {}
                                    : std::vector<DispatchGroupKey> { { document.team.id, entry.models.front() } };
    return { { document.team.id, entry.name } };
}

void configureEndpoint(Node& node, PartitionState& state, const Configuration& configuration, const Document& document,
    const EndpointEntry& entry, TimePoint now)
{
    const auto domain = node.domainByName(entry.domain);
    if (!domain)
        return;
    for (const auto& key : groupKeysOf(document, entry)) {
        if (node.groupPartition(key, *domain) != state.id)
            continue;
        const auto target = entry.kind == EndpointEntry::Kind::Engine ? CallTarget::Model : CallTarget::Service;
        auto& group = findOrAddGroup(state, key, target, configuration);
        if (std::ranges::find(group.endpoints, entry.id) == group.endpoints.end())
            group.endpoints.push_back(entry.id);
        state.pool.configure(now, describeEndpoint(entry, *domain, key));
    }
}

void removeMissingEndpoints(PartitionState& state, const Configuration& configuration, TimePoint now)
{
    for (auto& [key, group] : state.groups) {
        std::erase_if(group.endpoints, [&](EndpointId endpoint) {
            if (configuration.findEndpoint(endpoint))
                return false;
            state.pool.remove(now, endpoint);
            state.kv.forget(endpoint);
            return true;
        });
    }
}

void withdrawMissingWorkspaces(PartitionState& state, const Configuration& configuration, TimePoint now)
{
    std::erase_if(state.workspaces, [&](WorkspaceId workspace) {
        if (configuration.findWorkspace(workspace))
            return false;
        state.grants.withdraw(now, workspace, configuration.version());
        return true;
    });
}

void configureDocument(
    Node& node, PartitionState& state, const Configuration& configuration, const Document& document, TimePoint now)
{
    const auto domain = domainOf(state.id);
    for (const auto& endpoint : document.endpoints)
        configureEndpoint(node, state, configuration, document, endpoint, now);
    for (const auto& workspace : document.workspaces) {
        for (auto& [key, group] : state.groups)
            group.queue.setWeight(workspace.id, workspace.weight);
        if (node.bucketPartition(workspace.id, domain) != state.id)
            continue;
        state.grants.configure(now, workspace.id, grantOf(workspace), configuration.version());
        state.workspaces.insert(workspace.id);
    }
}

} // namespace

void configurePartition(Node& node, PartitionState& state, const Configuration& configuration, TimePoint now)
{
    if (state.configurationVersion == configuration.version())
        return;
    state.grants.configureDomains(now, grantDomains(node, configuration), configuration.version());
    for (const auto& versioned : configuration.documents())
        configureDocument(node, state, configuration, versioned->document, now);
    withdrawMissingWorkspaces(state, configuration, now);
    removeMissingEndpoints(state, configuration, now);
    for (std::uint64_t index = 0; index < node.init.domains.size(); ++index) {
        const DomainId domain { index };
        state.pool.setDomain(now, domain, node.isDomainIn(configuration, domain) ? DomainState::In : DomainState::Out);
    }
    state.configurationVersion = configuration.version();
}

void renewTables(PartitionState& state, TimePoint now)
{
    const auto leaseEnd = state.lease->actsUntil(now);
    if (!leaseEnd)
        return;
    const auto epoch = state.lease->epoch();
    const auto domain = domainOf(state.id);
    for (const auto workspace : state.workspaces) {
        for (const auto kind : { GrantKind::Requests, GrantKind::Tokens }) {
            const BucketKey bucket { workspace, domain, kind };
            state.grants.open(now, bucket, epoch, { now, *leaseEnd });
            state.grants.renewLease(bucket, epoch, *leaseEnd);
        }
    }
    for (const auto endpoint : state.pool.endpoints()) {
        state.pool.beginOwnership(now, endpoint, epoch, *leaseEnd);
        state.pool.renew(endpoint, epoch, *leaseEnd);
        state.kv.beginOwnership(endpoint, epoch);
    }
}

} // namespace peridotramp
