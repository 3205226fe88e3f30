#include "intake_p.h"

#include <algorithm>

namespace peridotramp {

namespace {

void runAll(const std::vector<std::function<void()>>& functions)
{
    std::ranges::for_each(functions, [](const std::function<void()>& function) { function(); });
}

} // namespace

void Intake::setBytes(Entry& entry, std::size_t bytes)
{
    const auto before = std::exchange(entry.bytes, bytes);
    this->total = this->total - before + bytes;
    if (entry.evicted)
        this->evictedTotal = this->evictedTotal - before + bytes;
}

void Intake::evict(Key key, Evictions& evictions)
{
    auto& entry = this->entries.at(key);
    entry.evicted = true;
    this->evictable.erase(key);
    this->evictedTotal += entry.bytes;
    evictions.push_back(std::exchange(entry.evict, nullptr));
}

void Intake::evictExcess(Evictions& evictions)
{
    while (this->total - this->evictedTotal > this->maxBytes && !this->evictable.empty())
        this->evict(*this->evictable.begin(), evictions);
}

Intake::Key Intake::add(std::size_t bytes, std::function<void()> evict)
{
    Key key = 0;
    Evictions evictions;
    {
        const std::scoped_lock lock(this->mutex);
        key = ++this->lastKey;
        auto& entry = this->entries[key];
        entry.evict = std::move(evict);
        this->setBytes(entry, bytes);
        this->evictable.insert(key);
        this->evictExcess(evictions);
    }
    runAll(evictions);
    return key;
}

bool Intake::reserve(Key key, std::size_t bytes)
{
    bool reserved = false;
    Evictions evictions;
    {
        const std::scoped_lock lock(this->mutex);
        const auto found = this->entries.find(key);
        if (found == this->entries.end() || found->second.evicted)
            return false;
        const auto before = found->second.bytes;
        this->setBytes(found->second, bytes);
        this->evictExcess(evictions);
        if (this->total > 2 * this->maxBytes && this->evictable.contains(key))
            this->evict(key, evictions);
        reserved = !found->second.evicted;
        if (!reserved)
            this->setBytes(found->second, before);
    }
    runAll(evictions);
    return reserved;
}

void Intake::shrink(Key key, std::size_t bytes)
{
    const std::scoped_lock lock(this->mutex);
    if (const auto found = this->entries.find(key); found != this->entries.end())
        this->setBytes(found->second, bytes);
}

bool Intake::pin(Key key)
{
    const std::scoped_lock lock(this->mutex);
    return this->evictable.erase(key) > 0;
}

void Intake::remove(Key key)
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->entries.find(key);
    if (found == this->entries.end())
        return;
    this->setBytes(found->second, 0);
    this->entries.erase(found);
    this->evictable.erase(key);
}

bool Intake::evictOldest()
{
    Evictions evictions;
    {
        const std::scoped_lock lock(this->mutex);
        if (this->evictable.empty())
            return false;
        this->evict(*this->evictable.begin(), evictions);
    }
    runAll(evictions);
    return true;
}

std::size_t Intake::bytes() const
{
    const std::scoped_lock lock(this->mutex);
    return this->total;
}

} // namespace peridotramp
