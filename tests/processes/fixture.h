#pragma once

#include "peridotramp/runtime.h"

#include <boost/json.hpp>
#include <filesystem>
#include <sys/types.h>

/// Helpers for tests that run the built binaries as processes. Every wait has a timeout.
namespace processes {

using namespace peridotramp;
namespace json = boost::json;

/// Default timeout of a wait.
constexpr Seconds waitTimeout { 15 };

/// Polls `condition` until it returns true; returns false if `timeout` expires first.
bool waitUntil(const std::function<bool()>& condition, Duration timeout = waitTimeout);

/// Temporary folder that the destructor removes with its contents.
class TemporaryFolder {
public:
    TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    ~TemporaryFolder();

    /// Writes a file and returns its path.
    std::string write(const std::string& name, const std::string& text) const;
    std::string path(const std::string& name) const;

private:
    std::filesystem::path folder;
};

/// Child process. The destructor kills it with SIGKILL if it is still running.
class Process {
public:
    /// Starts a binary of the build; throws `std::system_error` if that fails. Standard output and standard error are
    /// redirected to files in `folder`.
    Process(const TemporaryFolder& folder, const std::string& binary, std::vector<std::string> arguments,
        const std::vector<std::string>& environment = {});
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;
    ~Process();

    pid_t id() const { return this->pid; }
    /// Sends a signal, unless the exit status of the process has been collected.
    void sendSignal(int number) const;
    /// Waits until the process exits; returns its exit status, 128 plus the number of the signal that killed it, or
    /// empty on timeout.
    std::optional<int> waitForExit(Duration timeout = waitTimeout);
    bool isRunning();
    std::string standardOutput() const;
    std::string standardError() const;

private:
    pid_t pid = -1;
    std::optional<int> status {};
    std::string outputPath;
    std::string errorPath;
};

/// Server process that writes its listen address to a port file.
class Server {
public:
    /// Adds `--port-file` to the arguments and waits for the file. If the file does not appear, throws
    /// `std::runtime_error` with the standard error of the process.
    Server(const TemporaryFolder& folder, const std::string& binary, std::vector<std::string> arguments = {});

    const Address& address() const { return this->boundAddress; }
    /// Returns the address in the file PORT_FILE.`name`, for example that of the `admin` listener.
    Address listenerAddress(const std::string& name) const;
    Process& process() { return *this->child; }

private:
    std::unique_ptr<Process> child {};
    Address boundAddress {};
    std::string portFile {};
};

/// Blocking HTTP client.
class BlockingHttpClient {
public:
    struct Answer {
        HttpResult result {};
        HttpResponse response {};

        /// Returns the body as a JSON object; empty if it is not one.
        json::object jsonBody() const;
    };

    BlockingHttpClient();

    Answer get(const Address& address, const std::string& target);
    Answer post(const Address& address, const std::string& target, const std::string& body,
        std::vector<HttpHeader> headers = {}, Milliseconds timeout = Milliseconds(10'000));
    Runtime& eventLoop() { return this->runtime; }

private:
    Answer fetch(const Address& address, HttpRequest request, Milliseconds timeout);

    Runtime runtime {};
    HttpClient client { this->runtime };
};

} // namespace processes
