#pragma once

#include "peridotramp/configuration.h"
#include "peridotramp/ownership.h"
#include "peridotramp/runtime.h"

namespace peridotramp {

/// One record of a stream of the log.
struct LogRecord {
    Offset offset;
    std::string data;
};

/// Records of a stream from one read.
struct LogRead {
    /// First offset that the log retains.
    Offset first { 0 };
    /// Offset at which the stream ended when it was read.
    Offset next { 0 };
    std::vector<LogRecord> records;

    /// Returns whether the read reached the end of the stream.
    bool reachedTail() const;
};

/// Client of the platform's log service.
class LogClient {
public:
    struct Init {
        Address log;
        Milliseconds timeout { 2000 };
        /// Name of this process, which the log may show to operators.
        std::string client;
    };
    using AppendHook = std::function<void(Result<Offset>)>;
    using ReadHook = std::function<void(Result<LogRead>)>;

    LogClient(Runtime& runtime, Init init);
    LogClient(const LogClient&) = delete;
    LogClient& operator=(const LogClient&) = delete;
    ~LogClient();

    /// Appends a record. A retry must use the same id. Errors: `LogUnavailable`, with outcome `NotRun` only when
    /// the request was not written or the log refused it.
    void append(const std::string& stream, AppendId id, std::string data, AppendHook hook);
    /// Reads at most `limit` records from `from`. Errors: `LogUnavailable`.
    void read(const std::string& stream, Offset from, std::size_t limit, ReadHook hook);

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

/// An entry of the platform's list of instances.
struct ListedInstance {
    std::string name;
    Address address;
    bool leaving = false;
};

/// Reads the platform's list of instances. The list may be out of date, so use it only as a hint.
void listInstances(
    HttpClient& client, const Address& list, std::function<void(Result<std::vector<ListedInstance>>)> hook);

/// Name of the stream that carries the teams' documents.
constexpr std::string_view configurationStream = "configuration";
/// Returns the name of the stream of a partition.
std::string streamOf(PartitionId partition);

/// Encodes a record of the configuration stream.
std::string encodeConfiguration(const ConfigurationPayload& payload);
/// Decodes a record of the configuration stream. Errors: `MalformedFrame`.
Result<ConfigurationPayload> decodeConfiguration(std::string_view bytes);
/// Converts a read of the configuration stream that began at `from`; records that cannot be decoded are skipped.
ConfigurationRead toConfigurationRead(Offset from, const LogRead& read);

/// Maximum size of an encoded group.
constexpr std::size_t maxRecordBytes = std::size_t { 4 } * 1024 * 1024;

/// Encodes a group of records of a partition's stream.
std::string encodeGroup(const RecordGroup& group);
/// Decodes a group of records. Errors: `MalformedFrame`.
Result<RecordGroup> decodeGroup(std::string_view bytes);

} // namespace peridotramp
