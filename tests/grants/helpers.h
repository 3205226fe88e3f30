#pragma once

#include "../../tools/fuzz-grants/checker_p.h"

#include <catch2/catch.hpp>
#include <numeric>

namespace peridotramp {

constexpr TimePoint start { Seconds(1000) };
constexpr GrantLease longLease { TimePoint {}, TimePoint::max() };
constexpr Seconds leaseTime { 5 };

inline BucketKey keyOf(std::uint64_t domain, GrantKind kind = GrantKind::Requests, std::uint64_t workspace = 1)
{
    return { WorkspaceId { workspace }, DomainId { domain }, kind };
}

inline std::vector<GrantDomain> domainList(std::size_t count)
{
    std::vector<GrantDomain> list;
    for (std::uint64_t index = 0; index < count; ++index)
        list.push_back({ DomainId { index } });
    return list;
}

/// Makes a table for one workspace with this limit for both kinds, in `domains` failure domains.
inline GrantTable makeTable(GrantLimit limit, std::size_t domains = 2, TimePoint now = start, std::uint64_t idSeed = 1)
{
    GrantTable table({ idSeed, {} });
    table.configureDomains(now, domainList(domains), Offset { 1 });
    table.configure(now, WorkspaceId { 1 }, { limit, limit }, Offset { 1 });
    return table;
}

inline std::optional<Permit> permitOf(const TakeResult& result)
{
    const auto* permit = result ? std::get_if<Permit>(&*result) : nullptr;
    return permit ? std::optional(*permit) : std::nullopt;
}

inline std::optional<GrantWait> waitOf(const TakeResult& result)
{
    const auto* wait = result ? std::get_if<GrantWait>(&*result) : nullptr;
    return wait ? std::optional(*wait) : std::nullopt;
}

/// Takes permits for an amount of 1 until one is not issued at once, and returns how many were issued.
inline std::int64_t takeAll(GrantTable& table, TimePoint now, const BucketKey& key)
{
    std::int64_t issued = 0;
    for (;; ++issued) {
        const auto result = table.take(now, { key });
        if (const auto wait = waitOf(result))
            table.cancel(key, wait->ticket);
        if (!permitOf(result))
            return issued;
    }
}

/// Runs a function once for each sequence of choices that it can make.
class ChoiceEnumerator {
public:
    std::size_t choose(std::size_t options)
    {
        if (this->depth == this->path.size())
            this->path.push_back({ 0, options });
        return this->path[this->depth++].first;
    }

    template <typename Function> static std::size_t forEach(const Function& function)
    {
        ChoiceEnumerator choices;
        std::size_t runs = 0;
        do {
            choices.depth = 0;
            function(choices);
            ++runs;
        } while (choices.advance());
        return runs;
    }

private:
    bool advance()
    {
        while (!this->path.empty() && ++this->path.back().first == this->path.back().second)
            this->path.pop_back();
        return !this->path.empty();
    }

    std::vector<std::pair<std::size_t, std::size_t>> path;
    std::size_t depth = 0;
};

} // namespace peridotramp
