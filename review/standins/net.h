// Sockets, HTTP/1.1 messages and child processes for the stand-ins of the review. Only loopback addresses are used.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline std::string lower(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

// Headers with names in lower case.
struct Message {
    std::string start;
    std::map<std::string, std::string> headers;
    std::string body;
    // Whether the body ended as its framing says.
    bool complete = false;

    std::string header(const std::string& name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string() : found->second;
    }
    int status() const { return this->start.starts_with("HTTP/1.1 ") ? std::atoi(this->start.c_str() + 9) : 0; }
    std::string method() const { return this->start.substr(0, this->start.find(' ')); }
    std::string target() const
    {
        const auto begin = this->start.find(' ') + 1;
        return this->start.substr(begin, this->start.find(' ', begin) - begin);
    }
    std::string path() const
    {
        const auto full = this->target();
        return full.substr(0, full.find('?'));
    }
    std::string query(const std::string& name) const
    {
        const auto full = this->target();
        auto begin = full.find('?');
        while (begin != std::string::npos) {
            const auto end = full.find('&', begin + 1);
            const auto item = full.substr(begin + 1, end == std::string::npos ? end : end - begin - 1);
            if (item.starts_with(name + "="))
                return item.substr(name.size() + 1);
            begin = end;
        }
        return {};
    }
};

inline sockaddr_in loopback(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1 || !ip.starts_with("127."))
        throw std::runtime_error("not a loopback address: " + ip);
    return address;
}

// A connected socket with a buffer of received bytes.
class Channel {
public:
    explicit Channel(int socket)
        : socket(socket)
    {
        const int on = 1;
        setsockopt(this->socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    Channel(const Channel&) = delete;
    Channel& operator=(const Channel&) = delete;
    ~Channel() { close(this->socket); }

    static std::unique_ptr<Channel> connect(const std::string& ip, int port)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopback(ip, port);
        if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            close(socket);
            return nullptr;
        }
        return std::make_unique<Channel>(socket);
    }

    bool send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const auto sent = ::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    // Whether the peer has closed the channel.
    bool isClosed() const
    {
        pollfd entry { this->socket, POLLIN, 0 };
        if (poll(&entry, 1, 0) <= 0)
            return false;
        char byte = 0;
        return recv(this->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
    }

    // Reads a request or a response; nothing when the channel ends or the time is up before its head is complete.
    std::optional<Message> read(Clock::time_point until)
    {
        Message message;
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill(until))
                return std::nullopt;
        }
        const auto head = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 4);
        std::size_t at = head.find("\r\n");
        message.start = head.substr(0, at);
        while (at != std::string::npos) {
            const auto begin = at + 2;
            at = head.find("\r\n", begin);
            const auto line = head.substr(begin, at == std::string::npos ? at : at - begin);
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
        }
        if (lower(message.header("transfer-encoding")) == "chunked")
            message.complete = this->readChunks(message.body, until);
        else
            message.complete = this->readLength(message, until);
        return message;
    }

private:
    bool fill(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<Millis>(until - Clock::now()).count();
        pollfd entry { this->socket, POLLIN, 0 };
        if (left <= 0 || poll(&entry, 1, static_cast<int>(std::min<std::int64_t>(left, 1'000'000))) <= 0)
            return false;
        std::array<char, 65536> block {};
        const auto size = recv(this->socket, block.data(), block.size(), 0);
        if (size <= 0)
            return false;
        this->buffer.append(block.data(), static_cast<std::size_t>(size));
        return true;
    }

    bool readLength(Message& message, Clock::time_point until)
    {
        const auto size = static_cast<std::size_t>(std::atoll(message.header("content-length").c_str()));
        while (this->buffer.size() < size) {
            if (!this->fill(until))
                break;
        }
        message.body = this->buffer.substr(0, size);
        this->buffer.erase(0, std::min(size, this->buffer.size()));
        return message.body.size() == size;
    }

    bool readChunks(std::string& body, Clock::time_point until)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = this->buffer.find("\r\n")) == std::string::npos) {
                if (!this->fill(until))
                    return false;
            }
            const auto size = std::strtoull(this->buffer.c_str(), nullptr, 16);
            while (this->buffer.size() < end + 2 + size + 2) {
                if (!this->fill(until))
                    return false;
            }
            body += this->buffer.substr(end + 2, size);
            this->buffer.erase(0, end + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }

    int socket;
    std::string buffer;
};

// Accepts channels on a loopback address and serves each of them in a thread of its own until the process exits.
class Listener {
public:
    using Handler = std::function<void(Channel&)>;

    Listener(const std::string& ip, int port, Handler handler)
        : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        setsockopt(this->socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = loopback(ip, port);
        socklen_t size = sizeof address;
        if (bind(this->socket, reinterpret_cast<const sockaddr*>(&address), size) != 0
            || listen(this->socket, 512) != 0)
            throw std::runtime_error("cannot listen on " + ip);
        getsockname(this->socket, reinterpret_cast<sockaddr*>(&address), &size);
        this->port = ntohs(address.sin_port);
        std::thread([socket = this->socket, handler = std::move(handler)] {
            while (true) {
                const int accepted = accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    return;
                std::thread([accepted, handler] {
                    Channel channel(accepted);
                    handler(channel);
                }).detach();
            }
        }).detach();
    }

    int port = 0;

private:
    int socket;
};

// Returns a port that is free on a loopback address for TCP and UDP.
inline int freePort(const std::string& ip)
{
    for (int attempt = 0; attempt < 50; ++attempt) {
        const int tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        auto address = loopback(ip, 0);
        socklen_t size = sizeof address;
        bool isFree = bind(tcp, reinterpret_cast<const sockaddr*>(&address), size) == 0
            && getsockname(tcp, reinterpret_cast<sockaddr*>(&address), &size) == 0;
        isFree = isFree && bind(udp, reinterpret_cast<const sockaddr*>(&address), size) == 0;
        close(tcp);
        close(udp);
        if (isFree)
            return ntohs(address.sin_port);
    }
    throw std::runtime_error("no free port on " + ip);
}

inline std::string reply(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n"
        + headers + "\r\n" + body;
}

} // namespace review
