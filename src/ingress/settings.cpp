#include "peridotramp/ingress.h"

#include <algorithm>

namespace peridotramp {

namespace {

const IniSection& sectionOf(const std::vector<IniSection>& sections, std::string_view name)
{
    static const IniSection empty;
    const auto found = std::ranges::find(sections, name, &IniSection::name);
    return found == sections.end() ? empty : *found;
}

} // namespace

IngressInit readIngressSettings(const std::string& text, std::vector<Problem>& problems)
{
    IngressInit init;
    const auto parsed = parseIni(text);
    if (!parsed) {
        problems.push_back({ "", "", "", parsed.error().message() });
        return init;
    }
    const auto& sections = *parsed;

    SectionReader instance(sectionOf(sections, "instance"), problems);
    init.name = instance.text("name", "");
    init.domain = instance.text("domain", "");
    if (init.name.empty())
        instance.reject("name", "", "give the instance a name that no other one has");
    init.capacity = instance.number("capacity", 1, 0.001, 10'000);
    init.firstStart = instance.flag("first_start", false);
    init.threads = static_cast<std::size_t>(instance.integer("threads", 2, 1, 64));
    init.maxConnections = static_cast<std::size_t>(instance.integer("max_connections", 4000, 10, 100'000));
    constexpr std::int64_t megabyte = std::int64_t { 1024 } * 1024;
    init.machineMemory
        = { instance.integer("memory_mb", init.machineMemory.value / megabyte, 16, 1'000'000) * megabyte };
    init.descriptors = static_cast<std::size_t>(instance.integer("descriptors", 4096, 64, 10'000'000));
    instance.rejectUnknownKeys();

    SectionReader listen(sectionOf(sections, "listen"), problems);
    init.callerAddress = listen.address("callers", std::nullopt);
    init.adminAddress = listen.address("admin", std::nullopt);
    init.peerAddress = listen.address("peers", std::nullopt);
    listen.rejectUnknownKeys();

    SectionReader store(sectionOf(sections, "store"), problems);
    init.storeAddress = store.address("address", std::nullopt);
    init.storePartitions = store.integer("partitions", 1, 1, 4096);
    init.maxStoreRecordBytes = { store.integer("record_bytes", 262'144, 1024, std::int64_t { 64 } * 1024 * 1024) };
    init.maxStoreCallBytes = { store.integer("call_bytes", 2'097'152, 1024, std::int64_t { 64 } * 1024 * 1024) };
    store.rejectUnknownKeys();

    SectionReader endpoints(sectionOf(sections, "endpoints"), problems);
    constexpr std::int64_t maxBytes = std::int64_t { 1024 } * 1024 * 1024;
    init.maxAnswerBytes = { endpoints.integer("answer_bytes", init.maxAnswerBytes.value, 1024, maxBytes) };
    init.maxBufferedAnswerBytes
        = { endpoints.integer("held_answer_bytes", init.maxBufferedAnswerBytes.value, 1024, maxBytes) };
    init.maxEventBytes = { endpoints.integer("event_bytes", init.maxEventBytes.value, 1024, maxBytes) };
    endpoints.rejectUnknownKeys();

    SectionReader bounds(sectionOf(sections, "bounds"), problems);
    init.gracePeriod = Milliseconds(static_cast<std::int64_t>(bounds.number("grace_s", 8, 1, 3600) * 1000));
    init.allowanceWindow
        = Milliseconds(static_cast<std::int64_t>(bounds.number("allowance_window_s", 5, 0.1, 3600) * 1000));
    init.allowanceOverrun = bounds.number("allowance_overrun", 0, 0, 1);
    init.allowanceSlack = bounds.number("allowance_slack", 0, 0, 1'000'000);
    bounds.rejectUnknownKeys();

    for (const auto& [domain, region] : sectionOf(sections, "domains").entries)
        init.regions[domain] = region;
    return init;
}

} // namespace peridotramp
