#pragma once

#include "peridotramp/core.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace peridotramp {

/// Client connection under the control of a test: sends and reads raw bytes and records how the server closed it.
class RawConnection {
public:
    /// How the server closed the connection; `Open` while it has not.
    enum class End : std::uint8_t { Open, Closed, Reset, Count };

    /// `receiveBuffer` is the size of the kernel's receive buffer; 0 keeps the default.
    explicit RawConnection(const Address& address, int receiveBuffer = 0)
        : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        if (receiveBuffer > 0)
            ::setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        sockaddr_in peer {};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(address.port);
        ::inet_pton(AF_INET, address.host.c_str(), &peer.sin_addr);
        this->connected = ::connect(this->socket, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) == 0;
    }
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;
    ~RawConnection() { ::close(this->socket); }

    bool isConnected() const { return this->connected; }

    /// Sends all bytes; returns false when the server has closed the connection.
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

    /// Reads until the server closes the connection, no byte arrives for `limit`, or the received bytes contain
    /// `until`.
    const std::string& receive(Milliseconds limit, std::string_view until = {})
    {
        std::array<char, 65536> block {};
        while (this->ended == End::Open && (until.empty() || this->received.find(until) == std::string::npos)) {
            pollfd waiting { this->socket, POLLIN, 0 };
            if (::poll(&waiting, 1, static_cast<int>(limit.count())) <= 0)
                break;
            const auto size = ::recv(this->socket, block.data(), block.size(), 0);
            if (size > 0)
                this->received.append(block.data(), static_cast<std::size_t>(size));
            else
                this->ended = size == 0 ? End::Closed : End::Reset;
        }
        return this->received;
    }

    End end() const { return this->ended; }
    const std::string& bytes() const { return this->received; }

private:
    int socket;
    bool connected = false;
    End ended = End::Open;
    std::string received {};
};

} // namespace peridotramp
