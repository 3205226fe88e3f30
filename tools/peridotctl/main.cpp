#include "session_p.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <iostream>

using namespace peridotctl;

namespace {

constexpr auto exitCodeText = R"(Exit codes:
  0  done
  1  diff found differences
  2  wrong usage or settings
  3  the document is not valid
  4  another change came first; show, merge and apply again
  5  the log or a node does not answer, or a node is not ready; nothing was changed
  6  the outcome of a change is unknown; check with 'peridotctl show'
  7  the change is in force, but not all nodes reported it in time
  8  any other failure
With --json, every answer is one JSON value on a line of its own.)";

/// Values of the command line options.
struct Arguments {
    std::string settings = "peridotctl.ini";
    bool isJson = false;
    std::string file;
    std::string otherFile;
    std::string base;
    std::string team;
    std::string name;
    std::string workspace;
    std::string digest;
    bool asText = false;
    bool isRemoved = false;
    std::optional<double> requestRate;
    std::optional<std::int64_t> requestBurst;
    std::optional<double> tokenRate;
    std::optional<std::int64_t> tokenBurst;
};

using Command = std::function<ExitCode(Session&)>;

/// Builds the command line; the chosen subcommand sets `command`.
class CommandLine {
public:
    CommandLine()
    {
        this->app.footer(exitCodeText);
        this->app.require_subcommand(1);
        this->app.fallthrough();
        this->app
            .add_option("--settings", this->arguments.settings, "INI file with the log's and the nodes' addresses")
            ->capture_default_str();
        this->app.add_flag("--json", this->arguments.isJson, "Print JSON in place of tables");
        this->addDocumentCommands();
        this->addViewCommands();
        this->addServiceCommands("drain", "Take an instance, an endpoint or a failure domain out of service", true);
        this->addServiceCommands("return", "Return an instance, an endpoint or a failure domain to service", false);
        this->addKeyCommands();
        this->addRateCommand();
    }

    int run(int argc, char** argv)
    {
        try {
            this->app.parse(argc, argv);
        } catch (const CLI::ParseError& error) {
            return this->app.exit(error) == 0 ? 0 : static_cast<int>(ExitCode::Usage);
        }
        Session session(this->arguments.isJson);
        if (this->needsSettings) {
            if (const auto opened = session.open(this->arguments.settings); !opened)
                return static_cast<int>(session.fail(opened.error()));
        }
        return static_cast<int>(this->command(session));
    }

private:
    void onCall(CLI::App* subcommand, Command action)
    {
        subcommand->callback([this, action = std::move(action)] { this->command = action; });
    }

    void addDocumentCommands()
    {
        auto& given = this->arguments;
        auto* validateCommand = this->app.add_subcommand("validate", "Report every problem of a document");
        validateCommand->add_option("FILE", given.file, "Document; - for standard input")->required();
        validateCommand->callback([this] {
            this->needsSettings = false;
            this->command = [this](Session& session) { return validate(session, this->arguments.file); };
        });

        auto* diffCommand = this->app.add_subcommand("diff", "List what a document changes");
        diffCommand->add_option("FILE", given.file, "Document that is compared with the one in force")->required();
        diffCommand->add_option("NEWER", given.otherFile, "Document that FILE is compared with instead");
        diffCommand->callback([this] {
            this->needsSettings = this->arguments.otherFile.empty();
            this->command
                = [this](Session& session) { return diff(session, this->arguments.file, this->arguments.otherFile); };
        });

        auto* applyCommand = this->app.add_subcommand("apply", "Put a document into force and wait for the nodes");
        applyCommand->add_option("FILE", given.file, "Document; - for standard input")->required();
        applyCommand->add_option("--base", given.base, "Version that the document replaces, or none for a new team")
            ->required();
        this->onCall(applyCommand, [&given](Session& session) { return apply(session, given.file, given.base); });
    }

    void addViewCommands()
    {
        auto& given = this->arguments;
        auto* showCommand = this->app.add_subcommand("show", "Show the configuration or the document of a team");
        showCommand->add_option("TEAM", given.team, "Team; a summary of all teams when omitted");
        showCommand->add_flag("--text", given.asText, "Print the document's text, for editing");
        this->onCall(showCommand, [&given](Session& session) { return show(session, given.team, given.asText); });

        auto* statusCommand = this->app.add_subcommand("status", "Show readiness and version of each node");
        this->onCall(statusCommand, [](Session& session) { return status(session); });

        auto* dumpCommand = this->app.add_subcommand("dump", "Show the state of one process");
        dumpCommand->add_option("ADDRESS", given.name, "Admin address of the process")->required();
        this->onCall(dumpCommand, [&given](Session& session) { return dump(session, given.name); });
    }

    void addServiceCommands(const std::string& verb, const std::string& help, bool isDraining)
    {
        auto& given = this->arguments;
        auto* parent = this->app.add_subcommand(verb, help);
        parent->require_subcommand(1);

        auto* instance = parent->add_subcommand("instance", "An entry instance, by its admin address");
        instance->add_option("ADDRESS", given.name, "Admin address")->required();
        this->onCall(instance,
            [&given, isDraining](Session& session) { return drainInstance(session, given.name, isDraining); });

        auto* endpoint = parent->add_subcommand("endpoint", "An endpoint, by its name");
        endpoint->add_option("NAME", given.name, "Endpoint")->required();
        const auto endpointState = isDraining ? EndpointEntry::State::Leaving : EndpointEntry::State::In;
        this->onCall(endpoint,
            [&given, endpointState](Session& session) { return setEndpoint(session, given.name, endpointState); });

        auto* domain = parent->add_subcommand("domain", "A failure domain, in the documents of all teams that list it");
        domain->add_option("NAME", given.name, "Failure domain")->required();
        domain->add_option("--team", given.team, "Change only the document of this team");
        if (isDraining)
            domain->add_flag("--removed", given.isRemoved, "Declare it removed for good, which frees its grants");
        this->onCall(domain, [&given, isDraining](Session& session) {
            const auto drained = given.isRemoved ? DomainEntry::State::Removed : DomainEntry::State::Out;
            return setDomain(session, given.name, given.team, isDraining ? drained : DomainEntry::State::In);
        });
    }

    void addKeyCommands()
    {
        auto& given = this->arguments;
        auto* parent = this->app.add_subcommand("key", "Grant or withdraw a key");
        parent->require_subcommand(1);

        auto* grantCommand = parent->add_subcommand(
            "grant", "Grant a key; a new one is generated and printed once unless --sha256 is given");
        grantCommand->add_option("TEAM", given.team, "Team")->required();
        grantCommand->add_option("NAME", given.name, "Name of the key")->required();
        grantCommand->add_option("WORKSPACE", given.workspace, "Workspace that it gives access to")->required();
        grantCommand->add_option("--sha256", given.digest, "Digest of an existing key");
        this->onCall(grantCommand, [&given](Session& session) {
            return grant(session, given.team, given.name, given.workspace, given.digest);
        });

        auto* withdrawCommand = parent->add_subcommand("withdraw", "Withdraw a key");
        withdrawCommand->add_option("TEAM", given.team, "Team")->required();
        withdrawCommand->add_option("NAME", given.name, "Name of the key")->required();
        this->onCall(withdrawCommand, [&given](Session& session) { return withdraw(session, given.team, given.name); });
    }

    void addRateCommand()
    {
        auto& given = this->arguments;
        auto* rateCommand = this->app.add_subcommand("rate", "Set rates and bursts of a workspace");
        rateCommand->add_option("TEAM", given.team, "Team")->required();
        rateCommand->add_option("WORKSPACE", given.workspace, "Workspace")->required();
        rateCommand->add_option("--request-rate", given.requestRate, "Requests per second");
        rateCommand->add_option("--request-burst", given.requestBurst, "Largest burst of requests");
        rateCommand->add_option("--token-rate", given.tokenRate, "Tokens per second");
        rateCommand->add_option("--token-burst", given.tokenBurst, "Largest burst of tokens");
        this->onCall(rateCommand, [&given](Session& session) {
            RateEdit edit;
            if (given.requestRate)
                edit.requestRate = RequestRate { *given.requestRate };
            if (given.requestBurst)
                edit.requestBurst = RequestCount { *given.requestBurst };
            if (given.tokenRate)
                edit.tokenRate = TokenRate { *given.tokenRate };
            if (given.tokenBurst)
                edit.tokenBurst = TokenCount { *given.tokenBurst };
            return setWorkspaceRate(session, given.team, given.workspace, edit);
        });
    }

    CLI::App app { "Operator command line of peridotramp", "peridotctl" };
    Arguments arguments;
    Command command;
    bool needsSettings = true;
};

} // namespace

int main(int argc, char** argv)
{
    try {
        configureLog(LogLevel::Warning, "peridotctl");
        return CommandLine().run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << fmt::format("peridotctl: internal: {}\n", error.what());
        return static_cast<int>(ExitCode::Failed);
    }
}
