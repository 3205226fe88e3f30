#pragma once

#include "peridotramp/dispatch.h"
#include "peridotramp/routing.h"
#include "peridotramp/runtime.h"
#include "peridotramp/store.h"

namespace peridotramp {

/// A caller's request, independent of the header names of the platform.
struct CallerRequest {
    /// Unique for each attempt of the caller.
    std::string id;
    std::string method;
    std::string target;
    std::string host;
    /// Headers that are forwarded to the endpoint unchanged.
    std::vector<HttpHeader> headers;
    std::string body;
    std::optional<std::string> apiKey;
    /// Time that the caller waits; empty when it states none.
    std::optional<Milliseconds> timeLeft;
    /// Id of the last event that the caller received of an interrupted stream.
    std::optional<std::string> lastEventId;
    std::vector<PromptPart> prompt;
    /// Object that the request concerns; empty when it names none.
    std::optional<ObjectId> object;
    /// Maximum number of tokens that the request may generate; 0 when it states none.
    TokenCount maxTokens;
    /// Empty when the request belongs to no program.
    std::string program;
    /// Maximum number of tokens that all turns of the program may generate.
    std::optional<TokenCount> budget;
    /// Id of the turn that this one continues; empty at the start of a conversation.
    std::string previousTurn;
};

/// What is added to a caller's request when it is forwarded to an endpoint.
struct ForwardingInfo {
    /// Name of the endpoint to which the request is sent; an endpoint of another name rejects it.
    std::string endpointName;
    std::string workspace;
    Milliseconds timeLeft { 0 };
    std::optional<std::string> lastEventId;
    /// Body to send: the caller's, preceded by the history of the conversation if there is one.
    std::string body;
};

/// Status and headers of an endpoint's response.
struct EndpointHead {
    unsigned status = 0;
    /// Id of the request that the endpoint answers.
    std::string requestId;
    /// Whether the endpoint states that it has not run the request.
    bool notRun = false;
    /// Whether an endpoint of another name answered, because it has taken over the address.
    bool wrongInstance = false;
    /// Whether the endpoint states that it is about to exit and takes no further requests.
    bool leaving = false;
    bool eventStream = false;
    /// Headers to forward to the caller.
    std::vector<HttpHeader> headers;
};

/// Pages that are served on the admin address.
enum class AdminPage : std::uint8_t { Ready, Metrics, Dump, Unknown, Count };

/// Takes a failure domain out of service, or puts it back. Written to the metadata store by an operator.
struct EvacuationChange {
    std::string domain;
    bool evacuated = false;
};
/// A decoded record of `StoreTopic::DesiredState`.
using OperatorRecord = std::variant<DesiredState, EvacuationChange>;

/// Converts between the types of the ingress and the messages and records of the platform. Contains no policy.
struct IngressFormats {
    std::function<Result<CallerRequest>(HttpRequest)> decodeCaller;
    std::function<HttpRequest(const CallerRequest&, const ForwardingInfo&)> encodeForEndpoint;
    std::function<EndpointHead(const HttpResponse&)> decodeEndpointHead;
    std::function<HttpResponse(const CallerRequest&, const Error&)> encodeRefusal;
    std::function<AdminPage(const HttpRequest&)> adminPage;
    /// Decodes a record of `StoreTopic::DesiredState`. Errors: `InvalidDocument`, with the reason.
    std::function<Result<OperatorRecord>(const StoreRecord&)> decodeOperator;
    /// Decodes a record of `StoreTopic::Endpoints`. Errors: `InvalidDocument`, with the reason.
    std::function<Result<EndpointRecord>(const StoreRecord&)> decodeEndpoint;
};

struct IngressInit {
    /// Name of the instance; unique.
    std::string name;
    /// Failure domain of the instance.
    std::string domain;
    /// CPU capacity in cores. Instances with more of it are preferred as coordinators and hold more programs.
    double capacity = 1;
    /// Region of each failure domain of the system.
    std::map<std::string, std::string, std::less<>> regions;
    /// Listening address for callers.
    Address callerAddress { "127.0.0.1", 0 };
    /// Listening address for the admin pages.
    Address adminAddress { "127.0.0.1", 0 };
    /// Listening address for the other instances, TCP and UDP.
    Address peerAddress { "127.0.0.1", 0 };
    /// Address of the metadata store.
    Address storeAddress;
    std::int64_t storePartitions = 1;
    /// Maximum size of one record of the store.
    ByteCount maxStoreRecordBytes { 262'144 };
    /// Maximum total size of the records in one call of the store.
    ByteCount maxStoreCallBytes { 2'097'152 };
    /// Maximum size of an endpoint's answer that is not a stream; it is buffered until it is complete.
    ByteCount maxAnswerBytes { std::int64_t { 16 } * 1024 * 1024 };
    /// Maximum total size of all answers that are buffered at the same time.
    ByteCount maxBufferedAnswerBytes { std::int64_t { 32 } * 1024 * 1024 };
    /// Maximum size of one event of a stream.
    ByteCount maxEventBytes { std::int64_t { 256 } * 1024 };
    /// Whether the whole system starts for the first time, so that the store has no records of instances yet.
    bool firstStart = false;
    std::size_t threads = 2;
    std::size_t maxConnections = 4000;
    /// Memory of the machine, of which callers may occupy a quarter with requests that are read or served.
    ByteCount machineMemory { std::int64_t { 88 } * 1024 * 1024 };
    /// File descriptors that the process may have open, of which connections of callers get three quarters.
    std::size_t descriptors = 4096;
    /// Length of the sliding window to which the request limit of a workspace applies.
    Milliseconds allowanceWindow { 5000 };
    /// Fraction of an allowance by which the fleet may exceed it in a window while instances cannot learn of each
    /// other's requests.
    double allowanceOverrun = 0;
    /// Number of requests by which the fleet may exceed an allowance in addition to `allowanceOverrun`.
    double allowanceSlack = 0;
    /// Time between SIGTERM and SIGKILL.
    Milliseconds gracePeriod { 8000 };
    /// Time for which the load balancer still sends new connections after the instance reports that it is not ready.
    Milliseconds loadBalancerDelay { 2500 };
};

/// Reads the settings of an ingress from INI text; appends each error to `problems`.
IngressInit readIngressSettings(const std::string& text, std::vector<Problem>& problems);

/// HTTP front end: routes requests, checks API keys, enforces allowances and token budgets, persists conversations and
/// selects endpoints.
class Ingress {
public:
    /// Binds the peer address; throws `std::system_error` when it cannot be bound. `makeStore` creates the client of
    /// the metadata store on top of a transport that the ingress provides.
    Ingress(Runtime& runtime, IngressInit init, IngressFormats formats,
        const std::function<MetadataStore(StoreTransport)>& makeStore);
    Ingress(const Ingress&) = delete;
    Ingress& operator=(const Ingress&) = delete;
    ~Ingress();

    /// Binds the other addresses and starts to serve; throws `std::system_error` when one cannot be bound.
    void start();
    /// Shuts down gracefully and calls `done` once, at the latest shortly before the grace period ends.
    void drain(std::function<void()> done);
    /// Applies the grace period; the other settings take effect only at the next start.
    void reload(const IngressInit& init);
    /// Address for callers, with the port that was bound.
    Address address() const;
    Address adminAddress() const;
    Address peerAddress() const;
    /// State of the process as JSON.
    std::string dump() const;
    bool isReady() const;

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

} // namespace peridotramp
