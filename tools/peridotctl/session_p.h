#pragma once

#include "peridotramp/operators.h"

#include <memory>

namespace peridotctl {

using namespace peridotramp; // NOLINT(google-build-using-namespace): private header of one binary

/// `[peridotctl]` of the settings.
struct Settings {
    Address log;
    /// Admin addresses of the nodes that must have a change in force.
    std::vector<Address> nodes;
    /// Timeout of one call to the log or to a node.
    Milliseconds timeout { 2000 };
    /// Longest wait until all nodes have a change in force.
    Milliseconds nodeTimeout { 10'000 };
};

/// Reads the settings; an `InvalidSettings` error lists every problem.
Result<Settings> readSettings(const std::string& path);
/// Reads a whole file; `-` stands for standard input.
Result<std::string> readFile(const std::string& path);

/// Returns blocking operations on the log at `address`.
OperatorLog connectLog(Runtime& runtime, const Address& address, Milliseconds timeout);

/// Settings, output format and connections that the commands use.
class Session {
public:
    explicit Session(bool isJson)
        : isJson(isJson)
    {
    }

    /// Reads the settings, starts the runtime and creates the clients of the log and the nodes. Commands that use
    /// neither do not call it.
    Status open(const std::string& settingsPath);

    /// Prints rows as a table or as JSON.
    void print(const std::vector<DescriptionRow>& rows) const;
    /// Prints `json` if the session prints JSON, otherwise `text`.
    void print(const std::string& text, const std::string& json) const;
    /// Prints an error and returns its exit code.
    ExitCode fail(const Error& error) const;

    bool printsJson() const { return this->isJson; }
    const Settings& currentSettings() const { return this->settings; }
    OperatorFleet fleet();
    const OperatorLog& log() const { return this->operatorLog; }
    AdminClient& admin() { return *this->client; }
    ApplyOptions applyOptions() const;

private:
    bool isJson;
    Settings settings;
    OperatorLog operatorLog;
    std::unique_ptr<Runtime> runtime;
    std::unique_ptr<AdminClient> client;
};

// Commands

ExitCode validate(const Session& session, const std::string& file);
/// Compares two files, or the document in force with one file when `after` is empty.
ExitCode diff(Session& session, const std::string& before, const std::string& after);
ExitCode apply(Session& session, const std::string& file, const std::string& base);
/// Describes the configuration, or the document of one team.
ExitCode show(Session& session, const std::string& team, bool asText);
ExitCode status(Session& session);
/// Prints the state of the instance with this admin address.
ExitCode dump(Session& session, const std::string& adminAddress);
ExitCode drainInstance(Session& session, const std::string& adminAddress, bool isDraining);
ExitCode setEndpoint(Session& session, const std::string& endpoint, EndpointEntry::State state);
/// Sets the state in the document of `team`, or of every team that lists the failure domain.
ExitCode setDomain(Session& session, const std::string& domain, const std::string& team, DomainEntry::State state);
/// Grants a key. Without a digest, makes a new key and prints it once.
ExitCode grant(Session& session, const std::string& team, const std::string& key, const std::string& workspace,
    const std::string& digest);
ExitCode withdraw(Session& session, const std::string& team, const std::string& key);
ExitCode setWorkspaceRate(
    Session& session, const std::string& team, const std::string& workspace, const RateEdit& rate);

} // namespace peridotctl
