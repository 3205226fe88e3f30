#pragma once

#include "peridotramp/core.h"

namespace peridotramp {

/// Handle of a timer. A default-constructed handle refers to no timer.
class Timer {
public:
    /// Prevents further calls of the hook. A call that has already started is not interrupted.
    void cancel();

    struct State;
    std::shared_ptr<State> state;
};

/// Event loop run by several threads.
class Runtime {
public:
    struct Init {
        /// Number of threads that run handlers.
        std::size_t threads = 4;
    };

    Runtime()
        : Runtime(Init {})
    {
    }
    explicit Runtime(Init init);
    Runtime(const Runtime&) = delete;
    Runtime& operator=(const Runtime&) = delete;
    /// Stops the loop and waits for its threads.
    ~Runtime();

    /// Starts the threads.
    void start();
    /// Waits until `stop` is called and the threads have returned.
    void waitForStop();
    /// Makes the threads return once their current handlers have returned.
    void stop();
    /// Calls `hook` on one of the threads.
    void post(std::function<void()> hook);
    /// Calls `hook` once after `delay` on `RuntimeClock`.
    Timer after(Duration delay, std::function<void()> hook);
    /// Calls `hook` repeatedly, each time `period` after the previous call returned.
    Timer every(Duration period, std::function<void()> hook);
    /// Calls `hook` for each of the given signals.
    void onSignals(std::vector<int> signals, std::function<void(int)> hook);

    struct Impl;
    Impl& internals() { return *this->impl; }

private:
    std::unique_ptr<Impl> impl;
};

struct HttpHeader {
    std::string name;
    std::string value;
};

struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    std::vector<HttpHeader> headers {};
    std::string body {};

    /// Returns the value of a header; names are compared case-insensitively.
    std::optional<std::string_view> header(std::string_view name) const;
    /// Returns the target without its query.
    std::string_view path() const;
    /// Returns the value of a query parameter, not percent-decoded.
    std::optional<std::string_view> query(std::string_view name) const;
};

struct HttpResponse {
    unsigned status = 200;
    std::vector<HttpHeader> headers {};
    std::string body {};
};

/// Returns a response with a JSON body.
HttpResponse jsonResponse(unsigned status, std::string body);
/// Returns a response with a plain text body.
HttpResponse textResponse(unsigned status, std::string body);

/// Handle of one request at the server, used to send its response. Copies refer to the same request. Thread-safe.
class HttpExchange {
public:
    /// Sends a complete response.
    void respond(HttpResponse response) const;
    /// Begins a streamed response; the body of `head` is ignored.
    void startStream(HttpResponse head) const;
    /// Sends one part of a streamed response. Returns false when the caller has disconnected or reads too slowly; the
    /// exchange has then ended.
    bool write(std::string part) const;
    /// Ends a streamed response.
    void finish() const;
    /// Closes the connection without completing the response. Parts written before are still sent if the caller reads
    /// them soon.
    void abort() const;
    /// Returns whether the response is incomplete and the caller is not known to have disconnected.
    bool isActive() const;
    /// Sets the hook that is called once if the caller disconnects before the response is complete.
    void onDisconnect(std::function<void()> hook) const;

    struct Session;
    std::shared_ptr<Session> session;
    std::uint64_t sequence = 0;
};

/// Limits on the size and the duration of requests.
struct HttpLimits {
    std::size_t maxHeaderBytes = std::size_t { 16 } * 1024;
    std::size_t maxBodyBytes = std::size_t { 8 } * 1024 * 1024;
    /// Longest time from the first byte of a request to the end of its head, and then between two arrivals of parts of
    /// its body. Whatever this timeout is, the body must end within 60 s of the first byte of the request.
    Milliseconds readTimeout { 60'000 };
    /// Longest time between two requests of a connection.
    Milliseconds idleTimeout { 60'000 };
};

/// Describes a connection that ended between requests, within a request, or because its caller did not read.
struct ConnectionEnd {
    enum class Reason : std::uint8_t {
        /// No request arrived within the idle timeout.
        Idle,
        /// The connection was idle when the server stopped accepting.
        Stopping,
        /// The rest of a request did not arrive in time; the request was refused.
        ReadTimeout,
        /// A request was malformed or too large; it was refused.
        Refused,
        /// The caller disconnected before its request was complete.
        LeftInRequest,
        /// The caller read its response too slowly.
        SlowReader,
        /// The connection exceeded `HttpServer::Init::maxConnections`.
        TooMany,
        /// The memory for callers was used up, or the connection limit met, and this was the oldest connection whose
        /// request was not complete.
        Evicted,
        Count
    };

    Reason reason = Reason::Idle;
    Address peer {};
    /// Path of the request, truncated; empty when it is not known.
    std::string path {};
    /// Bytes of the request that were read.
    std::size_t requestBytes = 0;
    /// Time since the first byte of the request.
    Duration requestAge {};
};

/// Returns the stable lower-case name of a reason, for example `read_timeout`.
std::string_view toString(ConnectionEnd::Reason reason);

/// HTTP/1.1 server.
class HttpServer {
public:
    struct Init {
        /// Port 0 lets the kernel choose.
        Address listen { "127.0.0.1", 0 };
        /// Returns the limits. Called repeatedly, as they may change while the server runs.
        std::function<HttpLimits()> limits = [] { return HttpLimits {}; };
        /// Unsent bytes of one response beyond which the caller is disconnected as too slow.
        std::size_t maxPendingBytes = std::size_t { 4 } * 1024 * 1024;
        /// When it is met, a new connection replaces the oldest one that has not completed a request.
        std::size_t maxConnections = 10'000;
        /// Memory for connections without a complete request and for requests that are read or served, together. When
        /// it is used up, the oldest of those whose request is not complete are closed.
        std::size_t maxRequestMemory = std::size_t { 64 } * 1024 * 1024;
        /// Called when a connection ends; it must not block.
        std::function<void(const ConnectionEnd&)> onConnectionEnd = [](const ConnectionEnd&) { };
    };
    using Handler = std::function<void(HttpRequest, HttpExchange)>;

    /// Binds and listens. Throws `std::system_error` when the address cannot be bound.
    HttpServer(Runtime& runtime, Init init, Handler handler);
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;
    /// Stops accepting and closes idle connections.
    ~HttpServer();

    /// Returns the bound address.
    Address address() const;
    /// While enabled, the server closes each connection after its next response.
    void closeAfterResponses(bool enabled);
    /// Stops accepting connections and closes idle ones; the others close after the response to their current request.
    /// A request that has already arrived is still served.
    void stopAccepting();
    /// Returns the number of requests without a complete response.
    std::size_t activeExchanges() const;

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

/// Result of an HTTP call.
struct HttpResult {
    /// `None`, `ConnectionFailed`, `DeadlineExceeded`, `Cancelled`, `EndpointFailed` (malformed response) or
    /// `AnswerTooLarge`. The status is meaningful only with `None`.
    ErrorKind error = ErrorKind::None;
    /// Whether any byte of the request may have reached the peer. False proves that the request was not executed.
    bool requestWritten = false;
    unsigned status = 0;
};

struct HttpClientHooks {
    /// Returns whether a response with this head answers the request. Others are discarded, as a peer may send a second
    /// copy of an earlier response on a connection that is reused. When not set, each response counts as the answer.
    std::function<bool(const HttpResponse&)> isAnswer {};
    /// Called with the status and headers.
    std::function<void(const HttpResponse&)> onHead {};
    /// Returns the maximum size of the body for a response with this head; `HttpClient::Init::maxBodyBytes` applies
    /// when not set.
    std::function<std::size_t(const HttpResponse&)> bodyLimit {};
    /// Called with each part of the body.
    std::function<void(std::string_view)> onBody {};
    /// Called exactly once.
    std::function<void(HttpResult)> onEnd {};
};

/// HTTP/1.1 client with a pool of idle connections per address.
class HttpClient {
public:
    struct Init {
        Milliseconds connectTimeout { 1000 };
        std::size_t maxIdleConnections = 32;
        /// Time after which an idle connection is not reused, unless the peer announces a shorter one.
        Milliseconds idleTimeout { 4000 };
        /// Maximum size of the response head, including the heads of interim responses before it. A chunk header and
        /// the trailers may exceed it by one block of the read buffer.
        std::size_t maxHeadBytes = std::size_t { 16 } * 1024;
        /// Maximum size of a response body. A faulty peer may send an endless one.
        std::size_t maxBodyBytes = std::size_t { 16 } * 1024 * 1024;
    };
    struct Options {
        /// Timeout of the entire call.
        Milliseconds timeout { 30'000 };
        /// Whether an idle connection may be reused. A new one shows more reliably whether the request was written.
        bool reuseConnection = true;
        /// Flow-control window: no more is read while `onBody` has received this many bytes that were not reported to
        /// `Call::consume`; 0 disables it.
        std::size_t window = 0;
    };
    /// Handle of a running call.
    class Call {
    public:
        /// Closes the connection of the call; `onEnd` reports `Cancelled` unless the call has ended.
        void cancel() const;
        /// Reports consumed bytes of the body, which reopens the flow-control window.
        void consume(std::size_t bytes) const;

        struct State;
        std::weak_ptr<State> state;
    };
    using ResponseHook = std::function<void(HttpResult, HttpResponse)>;

    HttpClient(Runtime& runtime, Init init);
    explicit HttpClient(Runtime& runtime)
        : HttpClient(runtime, Init {})
    {
    }
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;
    ~HttpClient();

    /// Sends a request and passes on the response in parts.
    Call stream(const Address& address, HttpRequest request, Options options, HttpClientHooks hooks);
    /// Sends a request and collects the response; the status is 0 when no response head arrived.
    Call send(const Address& address, HttpRequest request, Options options, ResponseHook hook);
    /// Closes the idle connections to an address, for example because they are suspected to be dead.
    void closeIdle(const Address& address);

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

} // namespace peridotramp
