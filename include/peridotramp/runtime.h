#pragma once

#include "peridotramp/core.h"

namespace peridotramp {

/// Handle of a timer. A default-constructed handle stands for no timer.
class Timer {
public:
    /// Prevents later calls of the hook. A call that has already begun runs to its end.
    void cancel();

    struct State;
    std::shared_ptr<State> state;
};

/// Event loop with several threads.
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
    /// Waits until `stop` is called.
    void waitForStop();
    /// Makes the threads return after the handlers that are running.
    void stop();
    /// Calls `hook` on one of the threads.
    void post(std::function<void()> hook);
    /// Calls `hook` once when `delay` has passed on `RuntimeClock`.
    Timer after(Duration delay, std::function<void()> hook);
    /// Calls `hook` again and again, `period` after the end of the call before.
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

    /// Returns the value of a header; names are compared without regard to case.
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

/// One request at the server and the way to answer it. Copies stand for the same request. All functions may be called
/// from any thread.
class HttpExchange {
public:
    /// Sends the whole response.
    void respond(HttpResponse response) const;
    /// Begins a streamed response; the body of `head` is ignored.
    void startStream(HttpResponse head) const;
    /// Sends one part of a streamed response. Returns false when the caller is gone or reads too slowly; the exchange
    /// has then ended.
    bool write(std::string part) const;
    /// Ends a streamed response.
    void finish() const;
    /// Closes the connection without a complete response. What was written before is sent, unless the caller is slow to
    /// read it.
    void abort() const;
    /// Returns whether the response has not been sent and the caller is still there, as far as is known.
    bool isActive() const;
    /// Sets the hook that is called once if the caller disconnects before the response has been sent.
    void onDisconnect(std::function<void()> hook) const;

    struct Session;
    std::shared_ptr<Session> session;
    std::uint64_t sequence = 0;
};

/// What a caller may send, and how long it may take.
struct HttpLimits {
    std::size_t maxHeaderBytes = std::size_t { 16 } * 1024;
    std::size_t maxBodyBytes = std::size_t { 8 } * 1024 * 1024;
    /// Time from the first byte of a request to the end of its head, and between parts of its body.
    Milliseconds readTimeout { 60'000 };
    /// Time between requests of a connection.
    Milliseconds idleTimeout { 60'000 };
};

/// A connection that ended without a request, within one, or because its caller did not read.
struct ConnectionEnd {
    enum class Reason : std::uint8_t {
        /// No request came within the idle time.
        Idle,
        /// No request had come when the server stopped accepting.
        Stopping,
        /// The rest of a request did not come in time; the request was refused.
        ReadTimeout,
        /// A request was malformed or too large; it was refused.
        Refused,
        /// The caller left before its request was whole.
        LeftInRequest,
        /// The caller read its response too slowly.
        SlowReader,
        /// The connection was one too many.
        TooMany,
        Count
    };

    Reason reason = Reason::Idle;
    Address peer {};
    /// Path of the request, as far as it is known; shortened.
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
        /// Called for each request; the limits may change while the server runs.
        std::function<HttpLimits()> limits = [] { return HttpLimits {}; };
        /// Unsent bytes of one response beyond which the caller counts as too slow and is disconnected.
        std::size_t maxPendingBytes = std::size_t { 4 } * 1024 * 1024;
        std::size_t maxConnections = 10'000;
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
    /// Goes on serving, but closes each connection after its next response, until it is told otherwise.
    void closeAfterResponses(bool enabled);
    /// Stops accepting connections and closes those that wait for a request; the others close after the response to
    /// their current request. A request that has arrived by then is still served.
    void stopAccepting();
    /// Returns the number of requests that have not been answered completely.
    std::size_t activeExchanges() const;

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

/// How an HTTP call ended.
struct HttpResult {
    /// `None`, `ConnectionFailed`, `DeadlineExceeded`, `Cancelled`, `EndpointFailed` (malformed response) or
    /// `AnswerTooLarge`. A status of a response that did not end with `None` proves nothing.
    ErrorKind error = ErrorKind::None;
    /// Whether a byte of the request may have reached the peer. False proves that the request was not run.
    bool requestWritten = false;
    unsigned status = 0;
};

struct HttpClientHooks {
    /// Called with the status and headers.
    std::function<void(const HttpResponse&)> onHead {};
    /// Returns the most bytes that the body of the response with this head may have; unless it is set,
    /// `HttpClient::Init::maxBodyBytes` holds.
    std::function<std::size_t(const HttpResponse&)> bodyLimit {};
    /// Called with each part of the body.
    std::function<void(std::string_view)> onBody {};
    /// Called exactly once.
    std::function<void(HttpResult)> onEnd {};
};

/// HTTP/1.1 client with a pool of idle connections for each address.
class HttpClient {
public:
    struct Init {
        Milliseconds connectTimeout { 1000 };
        std::size_t maxIdleConnections = 32;
        /// Time after which an idle connection is not used again, unless the peer stated a shorter one.
        Milliseconds maxIdle { 4000 };
        /// Bytes of the head of a response with the interim heads before it. A chunk header and the trailers may take
        /// a block of the read buffer more.
        std::size_t maxHeadBytes = std::size_t { 16 } * 1024;
        /// Bytes of the body of a response. A peer in trouble may send without end.
        std::size_t maxBodyBytes = std::size_t { 16 } * 1024 * 1024;
    };
    struct Options {
        /// Time for the whole call.
        Milliseconds timeout { 30'000 };
        /// Whether an idle connection may be used. A fresh one tells more surely whether a request was written.
        bool reuseConnection = true;
        /// Bytes of the body that `onBody` got and that have not been consumed, beyond which nothing more is read; 0
        /// when `onBody` consumes them itself.
        std::size_t window = 0;
    };
    /// A running call.
    class Call {
    public:
        /// Closes the connection of the call; `onEnd` reports `Cancelled` unless the call has ended.
        void cancel() const;
        /// Opens the window of the call by bytes that have been consumed.
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

    /// Sends a request and passes the response on part by part.
    Call stream(const Address& address, HttpRequest request, Options options, HttpClientHooks hooks);
    /// Sends a request and collects the response; its status is 0 when no response head arrived.
    Call send(const Address& address, HttpRequest request, Options options, ResponseHook hook);
    /// Closes the idle connections to an address; for a peer whose connections have gone silent.
    void closeIdle(const Address& address);

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

} // namespace peridotramp
