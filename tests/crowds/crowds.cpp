#include "../processes/fixture.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

// Callers that do not keep to the limits, against one process. What is checked does not depend on the speed of the
// machine: the process lives, its memory and its descriptors stay under a bound, and an ordinary request is answered.

using namespace processes;

namespace {

// The smallest machine that the system runs on: its memory and the descriptors that a process may have there.
constexpr std::int64_t machineMemoryKilobytes = std::int64_t { 88 } * 1024;
constexpr std::size_t machineDescriptors = 4096;

constexpr std::size_t crowdSize = 3500;
constexpr std::size_t uploaders = 60;
// Below the default limit of 16 KiB for a head, and below that of 4 MiB for a body.
constexpr std::size_t headBytes = 16'000;
constexpr std::size_t bodyBytes = 4'190'000;
// Longest time without progress of a crowd after which it counts as sent.
constexpr Milliseconds crowdPause { 1500 };
constexpr Seconds crowdTimeout { 30 };

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::uint16_t freePort()
{
    const auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(0);
    socklen_t size = sizeof(address);
    REQUIRE(::bind(socket, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    ::close(socket);
    return ntohs(address.sin_port);
}

// Connections that each send the same bytes, as fast as the process takes them, and then stay open.
class Crowd {
public:
    Crowd(const Address& address, std::size_t count, std::string bytes)
        : bytes(std::move(bytes))
        , members(count)
    {
        const auto peer = loopback(address.port);
        for (auto& member : this->members) {
            member.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            static_cast<void>(::connect(member.socket, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)));
        }
    }
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;
    ~Crowd()
    {
        for (const auto& member : this->members)
            ::close(member.socket);
    }

    // Sends until every connection has sent everything or was closed, or nothing more is taken.
    void send()
    {
        const auto end = std::chrono::steady_clock::now() + crowdTimeout;
        std::vector<pollfd> waiting;
        do {
            waiting.clear();
            for (const auto& member : this->members) {
                if (!member.closed && member.sent < this->bytes.size())
                    waiting.push_back({ member.socket, POLLOUT, 0 });
            }
            if (waiting.empty() || ::poll(waiting.data(), waiting.size(), static_cast<int>(crowdPause.count())) <= 0)
                return;
            for (auto& member : this->members)
                this->sendSome(member);
        } while (std::chrono::steady_clock::now() < end);
    }

private:
    struct Member {
        int socket = -1;
        std::size_t sent = 0;
        bool closed = false;
    };

    void sendSome(Member& member) const
    {
        if (member.closed || member.sent == this->bytes.size())
            return;
        const auto size
            = ::send(member.socket, this->bytes.data() + member.sent, this->bytes.size() - member.sent, MSG_NOSIGNAL);
        if (size > 0)
            member.sent += static_cast<std::size_t>(size);
        else if (errno != EAGAIN && errno != ENOTCONN)
            member.closed = true;
    }

    std::string bytes;
    std::vector<Member> members;
};

// One process without a store, which refuses ordinary requests because it has no desired state.
class Instance {
public:
    Instance()
        : process(this->folder, "peridot-ingress",
              { "--settings",
                  this->folder.write("ingress.ini",
                      fmt::format("[instance]\nname=n1\ndomain=a\n[listen]\ncallers={}\nadmin={}\npeers=127.0.0.1:{}\n"
                                  "[store]\naddress=127.0.0.1:{}\n[domains]\na=north\n",
                          this->callers.toString(), this->admin.toString(), freePort(), freePort())) })
    {
        REQUIRE(waitUntil([&] { return this->client.get(this->admin, "/v1/ready").response.status == 503; }));
    }

    // Sends a crowd to `address` and checks the process while the connections are open.
    void requireStands(const Address& address, std::size_t count, const std::string& bytes)
    {
        Crowd crowd(address, count, bytes);
        crowd.send();
        this->awaitPeak();
        INFO("peak memory " << this->peakMemoryKilobytes() << " KB, descriptors " << this->descriptors());
        CHECK(this->process.isRunning());
        CHECK(this->peakMemoryKilobytes() < machineMemoryKilobytes);
        CHECK(this->descriptors() < machineDescriptors);
        CHECK(this->client.get(this->callers, "/p/x").response.status == 503);
        CHECK(this->client.get(this->admin, "/v1/ready").response.status == 503);
    }

    Address callers { "127.0.0.1", freePort() };
    Address admin { "127.0.0.1", freePort() };

private:
    // Waits until the process has read what the crowd sent, which the kernel takes before: its peak grows no longer.
    void awaitPeak() const
    {
        const auto end = std::chrono::steady_clock::now() + crowdTimeout;
        std::int64_t peak = 0;
        while (std::chrono::steady_clock::now() < end && this->peakMemoryKilobytes() > peak) {
            peak = this->peakMemoryKilobytes();
            std::this_thread::sleep_for(crowdPause);
        }
    }

    std::int64_t peakMemoryKilobytes() const
    {
        std::ifstream status(fmt::format("/proc/{}/status", this->process.id()));
        std::string key;
        std::int64_t value = 0;
        while (status >> key) {
            if (key == "VmHWM:" && status >> value)
                return value;
        }
        return 0;
    }

    std::size_t descriptors() const
    {
        const std::filesystem::directory_iterator open(fmt::format("/proc/{}/fd", this->process.id()));
        return static_cast<std::size_t>(std::distance(begin(open), end(open)));
    }

    TemporaryFolder folder;
    Process process;
    BlockingHttpClient client;
};

std::string repeated(std::string_view text, std::size_t bytes)
{
    std::string result;
    while (result.size() + text.size() <= bytes)
        result += text;
    return result;
}

const std::string requestLine = "POST /p/x HTTP/1.1\r\nHost: h\r\n";
const std::string shortFields = requestLine + repeated("a: b\r\n", headBytes);
const std::string longHead = requestLine + repeated("a: " + std::string(1000, 'b') + "\r\n", 200'000);
const std::string emptyLines = repeated("\r\n", 200'000);
const std::string manyFields = shortFields + "\r\n";
const std::string unfinishedBody = requestLine + "Content-Length: 4194304\r\n\r\n" + std::string(bodyBytes, 'x');

} // namespace

// Guards against a process that runs out of memory because a parsed field takes many times its bytes.
TEST_CASE("heads of short fields that do not end leave the process within its memory")
{
    Instance instance;
    instance.requireStands(instance.callers, crowdSize, shortFields);
}

// Guards against a process that goes on reading a head after its limit.
TEST_CASE("heads over the limit leave the process within its memory")
{
    Instance instance;
    instance.requireStands(instance.callers, crowdSize, longHead);
}

// Guards against a process that goes on reading empty lines before a request.
TEST_CASE("empty lines without end leave the process within its memory")
{
    Instance instance;
    instance.requireStands(instance.callers, crowdSize, emptyLines);
}

// Guards against a process that runs out of memory because each body is within the limit, but not their sum.
TEST_CASE("bodies that do not end leave the process within its memory")
{
    Instance instance;
    instance.requireStands(instance.callers, uploaders, unfinishedBody);
}

// Guards against a process that is busy for minutes with complete requests of many fields, and answers nobody else.
TEST_CASE("requests of many short fields leave ordinary callers answered")
{
    Instance instance;
    instance.requireStands(instance.callers, crowdSize, manyFields);
}

// Guards against using up the memory at the address for probes, which would also take the instance out of service.
TEST_CASE("heads and bodies that do not end leave the probes of the process answered")
{
    Instance instance;
    SECTION("heads of short fields") { instance.requireStands(instance.admin, crowdSize, shortFields); }
    SECTION("bodies") { instance.requireStands(instance.admin, uploaders, unfinishedBody); }
}
