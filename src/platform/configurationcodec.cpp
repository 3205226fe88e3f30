#include "peridotramp/codec.h"
#include "peridotramp/platform.h"

#include <fmt/format.h>

namespace peridotramp {

std::string streamOf(PartitionId partition) { return fmt::format("partition-{}", partition.value); }

std::string encodeConfiguration(const ConfigurationPayload& payload) { return encodeBinary(payload); }

Result<ConfigurationPayload> decodeConfiguration(std::string_view bytes)
{
    return decodeBinary<ConfigurationPayload>(bytes);
}

ConfigurationRead toConfigurationRead(Offset from, const LogRead& read)
{
    ConfigurationRead result { from, read.first, read.next, {}, std::nullopt };
    if (!read.reachedTail())
        result.next = Offset { read.records.back().offset.value + 1 };
    else
        result.age = Duration::zero();
    for (const auto& record : read.records) {
        auto payload = decodeConfiguration(record.data);
        if (payload)
            result.records.push_back({ record.offset, std::move(payload.value()) });
        else
            log(LogLevel::Warning, "configuration record cannot be decoded", { { "offset", record.offset } });
    }
    return result;
}

} // namespace peridotramp
