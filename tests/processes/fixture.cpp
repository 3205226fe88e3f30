#include "fixture.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <future>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace processes {

namespace {

constexpr Milliseconds pollInterval { 5 };

std::string readFile(const std::string& path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

std::vector<char*> pointersTo(std::vector<std::string>& strings)
{
    std::vector<char*> pointers;
    std::ranges::transform(strings, std::back_inserter(pointers), [](std::string& text) { return text.data(); });
    pointers.push_back(nullptr);
    return pointers;
}

} // namespace

bool waitUntil(const std::function<bool()>& condition, Duration timeout)
{
    // The timeout is in real time even if a test has paused the runtime's clock: the processes use the real clock.
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

TemporaryFolder::TemporaryFolder()
{
    auto name = (std::filesystem::temp_directory_path() / "peridotramp-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
        throw std::system_error(errno, std::generic_category(), "mkdtemp");
    this->folder = name;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

std::string TemporaryFolder::path(const std::string& name) const { return (this->folder / name).string(); }

std::string TemporaryFolder::write(const std::string& name, const std::string& text) const
{
    std::ofstream(this->path(name)) << text;
    return this->path(name);
}

Process::Process(const TemporaryFolder& folder, const std::string& binary, std::vector<std::string> arguments,
    const std::vector<std::string>& environment)
{
    static std::atomic<int> counter = 0;
    const auto label = binary + "-" + std::to_string(++counter);
    this->outputPath = folder.path(label + ".out");
    this->errorPath = folder.path(label + ".err");
    arguments.insert(arguments.begin(), PERIDOTRAMP_BINARY_DIR "/" + binary);
    std::vector<std::string> variables = environment;
    for (auto** variable = environ; *variable != nullptr; ++variable)
        variables.emplace_back(*variable);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr auto flags = O_WRONLY | O_CREAT | O_TRUNC;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, this->outputPath.c_str(), flags, 0600);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, this->errorPath.c_str(), flags, 0600);
    auto argumentPointers = pointersTo(arguments);
    auto variablePointers = pointersTo(variables);
    const auto error = posix_spawn(
        &this->pid, arguments.front().c_str(), &actions, nullptr, argumentPointers.data(), variablePointers.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::system_error(error, std::generic_category(), arguments.front());
}

Process::~Process()
{
    if (!this->isRunning())
        return;
    this->sendSignal(SIGKILL);
    this->waitForExit();
}

void Process::sendSignal(int number) const
{
    if (!this->status)
        ::kill(this->pid, number);
}

bool Process::isRunning()
{
    if (this->status)
        return false;
    int waitStatus = 0;
    if (::waitpid(this->pid, &waitStatus, WNOHANG) != this->pid)
        return true;
    this->status = WIFEXITED(waitStatus) ? WEXITSTATUS(waitStatus) : 128 + WTERMSIG(waitStatus);
    return false;
}

std::optional<int> Process::waitForExit(Duration timeout)
{
    waitUntil([&] { return !this->isRunning(); }, timeout);
    return this->status;
}

std::string Process::standardOutput() const { return readFile(this->outputPath); }

std::string Process::standardError() const { return readFile(this->errorPath); }

Server::Server(const TemporaryFolder& folder, const std::string& binary, std::vector<std::string> arguments)
{
    static std::atomic<int> counter = 0;
    this->portFile = folder.path("port-" + std::to_string(++counter));
    arguments.insert(arguments.end(), { "--port-file", this->portFile });
    this->child = std::make_unique<Process>(folder, binary, std::move(arguments));
    waitUntil([&] { return std::filesystem::exists(this->portFile) || !this->child->isRunning(); });
    auto text = readFile(this->portFile);
    text.erase(std::remove(text.begin(), text.end(), '\n'), text.end());
    const auto address = Address::parse(text);
    if (!address)
        throw std::runtime_error(
            binary + " did not write its address to the port file: " + this->child->standardError());
    this->boundAddress = *address;
}

Address Server::listenerAddress(const std::string& name) const
{
    auto text = readFile(this->portFile + "." + name);
    text.erase(std::remove(text.begin(), text.end(), '\n'), text.end());
    return Address::parse(text).value_or(Address {});
}

json::object BlockingHttpClient::Answer::jsonBody() const
{
    boost::system::error_code error;
    auto value = json::parse(this->response.body, error);
    return !error && value.is_object() ? std::move(value.as_object()) : json::object {};
}

BlockingHttpClient::BlockingHttpClient() { this->runtime.start(); }

BlockingHttpClient::Answer BlockingHttpClient::get(const Address& address, const std::string& target)
{
    return this->fetch(address, { "GET", target }, Milliseconds(10'000));
}

BlockingHttpClient::Answer BlockingHttpClient::post(const Address& address, const std::string& target,
    const std::string& body, std::vector<HttpHeader> headers, Milliseconds timeout)
{
    return this->fetch(address, { "POST", target, std::move(headers), body }, timeout);
}

BlockingHttpClient::Answer BlockingHttpClient::fetch(const Address& address, HttpRequest request, Milliseconds timeout)
{
    std::promise<Answer> promise;
    this->client.send(address, std::move(request), { timeout },
        [&](HttpResult result, HttpResponse response) { promise.set_value({ result, std::move(response) }); });
    return promise.get_future().get();
}

} // namespace processes
