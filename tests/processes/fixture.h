#pragma once

#include "peridotramp/runtime.h"

#include <boost/json.hpp>
#include <filesystem>
#include <sys/types.h>

/// Starts the real binaries and talks to them. Every wait has a limit.
namespace processes {

using namespace peridotramp;
namespace json = boost::json;

/// Longest wait for one condition.
constexpr Seconds waitLimit { 15 };

/// Calls `condition` until it returns true; returns false when `limit` has passed.
bool waitUntil(const std::function<bool()>& condition, Duration limit = waitLimit);

/// Folder that is removed with its contents.
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

/// One process. Destruction ends it with SIGKILL when it still runs.
class Process {
public:
    /// Starts a binary of the build; throws `std::system_error` when it cannot be started. Standard output and standard
    /// error go to files in `folder`.
    Process(const TemporaryFolder& folder, const std::string& binary, std::vector<std::string> arguments,
        const std::vector<std::string>& environment = {});
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;
    ~Process();

    pid_t id() const { return this->pid; }
    /// Sends a signal if the process has not been waited for.
    void signal(int number) const;
    /// Waits for the end; returns the exit status, 128 plus the signal that ended it, or empty at the limit.
    std::optional<int> waitForEnd(Duration limit = waitLimit);
    bool isRunning();
    std::string standardOutput() const;
    std::string standardError() const;

private:
    pid_t pid = -1;
    std::optional<int> status {};
    std::string outputPath;
    std::string errorPath;
};

/// A process with a port file and the address that it is bound to.
class Server {
public:
    /// Adds `--port-file` to the arguments and waits for the file; throws `std::runtime_error`, with what the process
    /// wrote to standard error, when the file does not appear.
    Server(const TemporaryFolder& folder, const std::string& binary, std::vector<std::string> arguments = {});

    const Address& address() const { return this->bound; }
    /// Returns an address that the binary writes to a companion of the port file, for example `admin`.
    Address companion(const std::string& name) const;
    Process& process() { return *this->running; }

private:
    std::unique_ptr<Process> running {};
    Address bound {};
    std::string portFile {};
};

/// HTTP client of the test process.
class Fetcher {
public:
    struct Answer {
        HttpResult result {};
        HttpResponse response {};

        /// Returns the body as a JSON object; empty when it is none.
        json::object object() const;
    };

    Fetcher();

    Answer get(const Address& address, const std::string& target);
    Answer post(const Address& address, const std::string& target, const std::string& body,
        std::vector<HttpHeader> headers = {}, Milliseconds timeout = Milliseconds(10'000));
    Runtime& loop() { return this->runtime; }

private:
    Answer fetch(const Address& address, HttpRequest request, Milliseconds timeout);

    Runtime runtime {};
    HttpClient client { this->runtime };
};

} // namespace processes
