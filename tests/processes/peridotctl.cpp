#include "peridotramp/operators.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <future>
#include <sys/wait.h>
#include <unistd.h>

using namespace peridotramp;

namespace {

const std::string binaryFolder = PERIDOTRAMP_BINARY_DIR;
constexpr int portFileAttempts = 500;

std::string readText(const std::filesystem::path& path)
{
    std::ifstream file(path);
    return { std::istreambuf_iterator<char>(file), {} };
}

/// Temporary folder of one test.
struct Folder {
    Folder()
        : path(std::filesystem::temp_directory_path() / fmt::format("peridotctl-{}", getpid()))
    {
        std::filesystem::create_directory(this->path);
    }
    ~Folder() { std::filesystem::remove_all(this->path); }
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;

    std::string write(const std::string& name, const std::string& text) const
    {
        std::ofstream(this->path / name) << text;
        return (this->path / name).string();
    }

    std::filesystem::path path;
};

/// Process of the stand-in for the log service.
struct LogProcess {
    explicit LogProcess(const Folder& folder)
    {
        const auto binary = binaryFolder + "/standin-log";
        const auto portFile = (folder.path / "port").string();
        this->processId = fork();
        if (this->processId == 0) {
            execl(binary.c_str(), binary.c_str(), "--listen", "127.0.0.1:0", "--port-file", portFile.c_str(), nullptr);
            _exit(1);
        }
        for (int attempt = 0; attempt < portFileAttempts && !Address::parse(this->address); ++attempt) {
            usleep(10'000);
            this->address = readText(portFile);
            this->address.erase(this->address.find_last_not_of(" \n") + 1);
        }
    }
    ~LogProcess()
    {
        kill(this->processId, SIGKILL);
        waitpid(this->processId, nullptr, 0);
    }
    LogProcess(const LogProcess&) = delete;
    LogProcess& operator=(const LogProcess&) = delete;

    pid_t processId = 0;
    std::string address;
};

struct CommandResult {
    int exitStatus = -1;
    std::string output;

    boost::json::object json() const { return boost::json::parse(this->output).as_object(); }
};

CommandResult runPeridotctl(const std::string& settings, const std::string& arguments)
{
    const auto command = fmt::format("{}/peridotctl --settings {} {} 2>&1", binaryFolder, settings, arguments);
    auto* pipe = popen(command.c_str(), "r");
    REQUIRE(pipe != nullptr);
    CommandResult result;
    std::array<char, 4096> buffer {};
    while (const auto size = fread(buffer.data(), 1, buffer.size(), pipe))
        result.output.append(buffer.data(), size);
    const auto waitStatus = pclose(pipe);
    result.exitStatus = WIFEXITED(waitStatus) ? WEXITSTATUS(waitStatus) : -1;
    return result;
}

/// Makes the log store the next `count` appends and close their connections without a response.
void dropResponses(Runtime& runtime, const LogProcess& log, int count)
{
    HttpClient client(runtime);
    std::promise<unsigned> status;
    client.send(*Address::parse(log.address),
        { .method = "POST", .target = "/faults", .body = fmt::format("{{\"lose_answers\":{}}}", count) }, {},
        [&](const HttpResult&, const HttpResponse& response) { status.set_value(response.status); });
    REQUIRE(status.get_future().get() == 200);
}

/// Admin hooks of a node that always reports the given version, whatever the log contains.
AdminHooks hooksWithVersion(std::uint64_t version)
{
    AdminHooks hooks;
    hooks.status = [version] {
        return ProcessStatus { "scheduler", "north", true, false, Version { version }, Duration::zero(), "" };
    };
    hooks.metrics = [] { return std::string(); };
    hooks.dump = [] { return std::vector<DescriptionRow> { { "state", "key", "value" } }; };
    return hooks;
}

constexpr auto document = "[team]\nname = a\ndomains = north, south\n[workspace w]\nrequest_rate = 1\ntoken_rate = 1\n"
                          "[endpoint e]\ndomain = north\naddress = 127.0.0.1:7001\nmodels = m\n";

} // namespace

TEST_CASE("peridotctl changes documents, fails on version conflicts and reports how many nodes apply a change")
{
    const Folder folder;
    const LogProcess log(folder);
    Runtime runtime(Runtime::Init { 2 });
    runtime.start();
    const AdminServer node(runtime, { "127.0.0.1", 0 }, hooksWithVersion(1000));
    const AdminServer outdatedNode(runtime, { "127.0.0.1", 0 }, hooksWithVersion(0));
    const auto settingsWith = [&](const std::string& name, const std::string& nodes) {
        return folder.write(
            name, fmt::format("[peridotctl]\nlog = {}\nnodes = {}\nnode_timeout_ms = 300\n", log.address, nodes));
    };
    const auto oneNode = settingsWith("all.ini", node.address().toString());
    const auto twoNodes
        = settingsWith("both.ini", node.address().toString() + ", " + outdatedNode.address().toString());
    const auto file = folder.write("a.ini", document);
    const auto invalid = folder.write("invalid.ini", "[team]\nname = a\n");

    REQUIRE(runPeridotctl(oneNode, "validate " + file).exitStatus == 0);
    REQUIRE(runPeridotctl(oneNode, "validate " + invalid).exitStatus == 3);
    REQUIRE(runPeridotctl(oneNode, "show").exitStatus == 5);
    const auto applied = runPeridotctl(oneNode, "apply " + file + " --base none");
    REQUIRE(applied.output == "team a: version 0 is in force on 1 of 1 nodes\n");
    REQUIRE(applied.exitStatus == 0);
    REQUIRE(runPeridotctl(oneNode, "apply " + file + " --base none").exitStatus == 4);
    REQUIRE(runPeridotctl(oneNode, "apply " + invalid + " --base 0").exitStatus == 3);
    REQUIRE(runPeridotctl(oneNode, "diff " + file).exitStatus == 0);

    const auto granted = runPeridotctl(oneNode, "key grant a k w");
    REQUIRE(granted.exitStatus == 0);
    const auto secret = granted.output.substr(granted.output.rfind("  pk") + 2, 66);
    REQUIRE(runPeridotctl(oneNode, "show a").output.find(sha256(secret).toHex()) != std::string::npos);
    // The second node never reports the new version.
    const auto partial = runPeridotctl(twoNodes, "--json key withdraw a k");
    REQUIRE(partial.exitStatus == 7);
    REQUIRE(partial.json().at("nodes_in_force") == 1);
    REQUIRE(partial.json().at("behind").as_object().contains(outdatedNode.address().toString()));
    dropResponses(runtime, log, 1);
    REQUIRE(runPeridotctl(oneNode, "drain endpoint e").output == "team a: version 3 is in force on 1 of 1 nodes\n");
    REQUIRE(runPeridotctl(oneNode, "drain domain north").exitStatus == 0);
    REQUIRE(runPeridotctl(oneNode, "show a --text").output.find("[domain north]\nstate = out") != std::string::npos);
    REQUIRE(runPeridotctl(oneNode, "return domain north").exitStatus == 0);
    REQUIRE(runPeridotctl(oneNode, "rate a w --request-rate 2.5").exitStatus == 0);
    const auto changes = runPeridotctl(oneNode, "diff " + file);
    REQUIRE(changes.exitStatus == 1);
    REQUIRE(changes.output.find("[workspace w] request_rate: 2.5 -> 1\n") != std::string::npos);
    REQUIRE(changes.output.find("[endpoint e] state: leaving -> in\n") != std::string::npos);

    REQUIRE(runPeridotctl(twoNodes, "status").exitStatus == 0);
    REQUIRE(runPeridotctl(oneNode, "dump " + node.address().toString()).output == "state  key  value\n");
    REQUIRE(runPeridotctl(oneNode, "drain instance " + node.address().toString()).exitStatus == 2);
    REQUIRE(runPeridotctl(oneNode, "drain instance 127.0.0.1:1").exitStatus == 5);
    runtime.stop();
}

TEST_CASE("peridotctl has different exit statuses for usage or settings errors and for an unavailable log")
{
    const Folder folder;
    const auto settings = folder.write("s.ini", "[peridotctl]\nlog = 127.0.0.1:1\n");
    REQUIRE(runPeridotctl(settings, "show").exitStatus == 5);
    REQUIRE(runPeridotctl(settings, "apply").exitStatus == 2);
    REQUIRE(runPeridotctl(folder.write("wrong.ini", "[peridotctl]\nlog = here\n"), "show").exitStatus == 2);
    REQUIRE(runPeridotctl((folder.path / "none.ini").string(), "show").exitStatus == 2);
    for (const auto* command :
        { "validate", "diff", "apply", "show", "status", "dump", "drain instance", "drain endpoint", "drain domain",
            "return instance", "return endpoint", "return domain", "key grant", "key withdraw", "rate" }) {
        const auto help = runPeridotctl(settings, std::string(command) + " --help");
        REQUIRE(help.exitStatus == 0);
        REQUIRE(help.output.find("Usage: ") != std::string::npos);
    }
}
