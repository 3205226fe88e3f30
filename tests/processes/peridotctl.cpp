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

const std::string binaries = PERIDOTRAMP_BINARY_DIR;
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
        const auto program = binaries + "/standin-log";
        const auto portFile = (folder.path / "port").string();
        this->process = fork();
        if (this->process == 0) {
            execl(
                program.c_str(), program.c_str(), "--listen", "127.0.0.1:0", "--port-file", portFile.c_str(), nullptr);
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
        kill(this->process, SIGKILL);
        waitpid(this->process, nullptr, 0);
    }
    LogProcess(const LogProcess&) = delete;
    LogProcess& operator=(const LogProcess&) = delete;

    pid_t process = 0;
    std::string address;
};

struct Answer {
    int code = -1;
    std::string text;

    boost::json::object json() const { return boost::json::parse(this->text).as_object(); }
};

Answer control(const std::string& settings, const std::string& arguments)
{
    const auto command = fmt::format("{}/peridotctl --settings {} {} 2>&1", binaries, settings, arguments);
    auto* pipe = popen(command.c_str(), "r");
    REQUIRE(pipe != nullptr);
    Answer answer;
    std::array<char, 4096> buffer {};
    while (const auto size = fread(buffer.data(), 1, buffer.size(), pipe))
        answer.text.append(buffer.data(), size);
    const auto state = pclose(pipe);
    answer.code = WIFEXITED(state) ? WEXITSTATUS(state) : -1;
    return answer;
}

/// Makes the log store the next `count` appends and close their connections without a response.
void loseAnswers(Runtime& runtime, const LogProcess& log, int count)
{
    HttpClient client(runtime);
    std::promise<unsigned> status;
    client.send(*Address::parse(log.address),
        { .method = "POST", .target = "/faults", .body = fmt::format("{{\"lose_answers\":{}}}", count) }, {},
        [&](const HttpResult&, const HttpResponse& response) { status.set_value(response.status); });
    REQUIRE(status.get_future().get() == 200);
}

/// Admin hooks of a node that always reports the given version, whatever the log contains.
AdminHooks nodeWith(std::uint64_t version)
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
    const AdminServer node(runtime, { "127.0.0.1", 0 }, nodeWith(1000));
    const AdminServer stuck(runtime, { "127.0.0.1", 0 }, nodeWith(0));
    const auto settingsWith = [&](const std::string& name, const std::string& nodes) {
        return folder.write(
            name, fmt::format("[peridotctl]\nlog = {}\nnodes = {}\nnode_timeout_ms = 300\n", log.address, nodes));
    };
    const auto all = settingsWith("all.ini", node.address().toString());
    const auto both = settingsWith("both.ini", node.address().toString() + ", " + stuck.address().toString());
    const auto file = folder.write("a.ini", document);
    const auto invalid = folder.write("invalid.ini", "[team]\nname = a\n");

    REQUIRE(control(all, "validate " + file).code == 0);
    REQUIRE(control(all, "validate " + invalid).code == 3);
    REQUIRE(control(all, "show").code == 5);
    const auto applied = control(all, "apply " + file + " --base none");
    REQUIRE(applied.text == "team a: version 0 is in force on 1 of 1 nodes\n");
    REQUIRE(applied.code == 0);
    REQUIRE(control(all, "apply " + file + " --base none").code == 4);
    REQUIRE(control(all, "apply " + invalid + " --base 0").code == 3);
    REQUIRE(control(all, "diff " + file).code == 0);

    const auto granted = control(all, "key grant a k w");
    REQUIRE(granted.code == 0);
    const auto secret = granted.text.substr(granted.text.rfind("  pk") + 2, 66);
    REQUIRE(control(all, "show a").text.find(sha256(secret).toHex()) != std::string::npos);
    // The second node never reports the new version.
    const auto partial = control(both, "--json key withdraw a k");
    REQUIRE(partial.code == 7);
    REQUIRE(partial.json().at("nodes_in_force") == 1);
    REQUIRE(partial.json().at("behind").as_object().contains(stuck.address().toString()));
    loseAnswers(runtime, log, 1);
    REQUIRE(control(all, "drain endpoint e").text == "team a: version 3 is in force on 1 of 1 nodes\n");
    REQUIRE(control(all, "drain domain north").code == 0);
    REQUIRE(control(all, "show a --text").text.find("[domain north]\nstate = out") != std::string::npos);
    REQUIRE(control(all, "return domain north").code == 0);
    REQUIRE(control(all, "rate a w --request-rate 2.5").code == 0);
    const auto changes = control(all, "diff " + file);
    REQUIRE(changes.code == 1);
    REQUIRE(changes.text.find("[workspace w] request_rate: 2.5 -> 1\n") != std::string::npos);
    REQUIRE(changes.text.find("[endpoint e] state: leaving -> in\n") != std::string::npos);

    REQUIRE(control(both, "status").code == 0);
    REQUIRE(control(all, "dump " + node.address().toString()).text == "state  key  value\n");
    REQUIRE(control(all, "drain instance " + node.address().toString()).code == 2);
    REQUIRE(control(all, "drain instance 127.0.0.1:1").code == 5);
    runtime.stop();
}

TEST_CASE("peridotctl has different exit statuses for usage or settings errors and for an unavailable log")
{
    const Folder folder;
    const auto settings = folder.write("s.ini", "[peridotctl]\nlog = 127.0.0.1:1\n");
    REQUIRE(control(settings, "show").code == 5);
    REQUIRE(control(settings, "apply").code == 2);
    REQUIRE(control(folder.write("wrong.ini", "[peridotctl]\nlog = here\n"), "show").code == 2);
    REQUIRE(control((folder.path / "none.ini").string(), "show").code == 2);
    for (const auto* command :
        { "validate", "diff", "apply", "show", "status", "dump", "drain instance", "drain endpoint", "drain domain",
            "return instance", "return endpoint", "return domain", "key grant", "key withdraw", "rate" }) {
        const auto help = control(settings, std::string(command) + " --help");
        REQUIRE(help.code == 0);
        REQUIRE(help.text.find("Usage: ") != std::string::npos);
    }
}
