#pragma once

#include "peridotramp/configuration.h"
#include "peridotramp/core.h"
#include "peridotramp/runtime.h"

namespace peridotramp {

// Admin address of a process

/// Status of a process, as it reports it at `/ready`.
struct ProcessStatus {
    std::string process;
    std::string domain;
    bool isReady = false;
    /// Whether an operator has taken the instance out of service.
    bool isDraining = false;
    /// Version of the configuration in force in the process; invalid when it has none.
    Version version;
    /// Time since that configuration was known to be the newest; empty when unknown.
    std::optional<Duration> age;
    /// Why the process is not ready, and the remedy.
    std::string detail;

    bool operator==(const ProcessStatus&) const = default;
};

std::string toJson(const ProcessStatus& status);
/// Parses the JSON form of a status. Errors: `MalformedFrame`.
Result<ProcessStatus> parseStatus(const std::string& text);

/// Returns `{"SECTION":{"KEY":"VALUE",...},...}` in the order of the rows.
std::string toJson(std::span<const DescriptionRow> rows);

/// Handlers for the routes of a process's admin address. Called on threads of the runtime.
struct AdminHooks {
    std::function<ProcessStatus()> status;
    /// Text for `/metrics`.
    std::function<std::string()> metrics;
    /// Rows for `/dump`.
    std::function<std::vector<DescriptionRow>()> dump;
    /// Takes the instance out of service or returns it. Empty when the process cannot be drained.
    std::function<Status(bool)> setDraining {};
    /// Handles additional routes; returns whether it has handled the request. Empty when there are none.
    std::function<bool(const HttpRequest&, const HttpExchange&)> serveOther {};
};

/// Serves `GET /live`, `/ready` (200 or 503), `/metrics`, `/dump` (`?format=json`) and `POST /drain`, `/return`.
class AdminServer {
public:
    /// Throws `std::system_error` when the address cannot be bound.
    AdminServer(Runtime& runtime, const Address& listen, AdminHooks hooks);

    Address address() const { return this->server.address(); }

private:
    HttpServer server;
};

/// Client for the admin addresses of processes. Calls block until the response or the timeout, so they must not be made
/// on the runtime's threads.
class AdminClient {
public:
    AdminClient(Runtime& runtime, Milliseconds timeout);

    Result<ProcessStatus> status(const Address& admin);
    Result<std::string> dump(const Address& admin, bool asJson);
    Result<ProcessStatus> setDraining(const Address& admin, bool isDraining);

private:
    Result<HttpResponse> send(const Address& admin, HttpRequest request);

    HttpClient client;
    Milliseconds timeout;
};

// Changes by operators

/// Access to the stream `configuration` of the log. The hooks block.
struct OperatorLog {
    /// Appends a change. The outcome of an error is `NotRun` only when nothing can have been appended.
    std::function<Result<Offset>(AppendId, const ConfigurationChange&)> append;
    /// Reads from an offset; the read's age is set when it reached the end of the log.
    std::function<Result<ConfigurationRead>(Offset from)> read;
};

/// Nodes on which a change has to come into force. The hook blocks.
struct OperatorFleet {
    std::vector<Address> nodes;
    std::function<Result<ProcessStatus>(const Address&)> status;
};

/// A new text for a team's document and the version that it replaces.
struct DocumentEdit {
    std::string team;
    Version base;
    std::string text;
};

struct ApplyOptions {
    int appendAttempts = 5;
    Duration retryDelay = Milliseconds(500);
    /// Maximum time to find an appended change in the log.
    Duration readBackTimeout = Seconds(10);
    /// Maximum time until all nodes report the version. Changes must be in force everywhere within 6 s.
    Duration nodeTimeout = Seconds(10);
    Duration pollPeriod = Milliseconds(200);
    /// Waits between attempts. Tests advance the clock instead.
    std::function<void(Duration)> wait;
};

/// Newest status of a node, or the error of the last query.
struct NodeReport {
    Address admin;
    Result<ProcessStatus> status;

    bool hasVersion(Version version) const;
};

/// Version that a change created, and the status of the nodes.
struct ApplyReport {
    Version version;
    std::vector<NodeReport> nodes;

    std::size_t nodesInForce() const;
    bool isInForceEverywhere() const { return this->nodesInForce() == this->nodes.size(); }
};

/// Reads the stream to its end. Errors: `LogUnavailable`.
Result<std::shared_ptr<ConfigurationState>> loadConfiguration(const OperatorLog& log);

/// Appends an edit, determines whether it came into force, and waits until all nodes report it or time out.
///
/// Errors: `InvalidDocument` and `VersionConflict` (nothing has changed), `LogUnavailable` (nothing was appended),
/// `OutcomeUnknown` (it may have been appended, but could not be found).
Result<ApplyReport> applyEdit(
    const OperatorLog& log, const OperatorFleet& fleet, const DocumentEdit& edit, const ApplyOptions& options);

/// Queries the status of each node once.
std::vector<NodeReport> queryNodes(const OperatorFleet& fleet);
/// Returns one row for each node: readiness, version, age and failure domain, or the error.
std::vector<DescriptionRow> describe(std::span<const NodeReport> nodes);

/// Exit codes of `peridotctl`.
enum class ExitCode : int {
    Done = 0,
    /// `diff` found differences.
    Different = 1,
    Usage = 2,
    InvalidDocument = 3,
    VersionConflict = 4,
    Unavailable = 5,
    OutcomeUnknown = 6,
    /// The change is in force, but not all nodes reported it in time.
    NotEverywhere = 7,
    Failed = 8,
};

ExitCode exitCodeOf(ErrorKind kind);

} // namespace peridotramp
