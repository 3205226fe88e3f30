#pragma once

#include "peridotramp/dispatch.h"
#include "peridotramp/routing.h"
#include "peridotramp/runtime.h"
#include "peridotramp/store.h"

namespace peridotramp {

/// What a caller's request says, whatever the names of its headers are.
struct CallerRequest {
    /// Id of this attempt of the caller; unique.
    std::string id;
    std::string method;
    std::string target;
    std::string host;
    /// Headers that go to the endpoint as they came.
    std::vector<HttpHeader> headers;
    std::string body;
    std::optional<std::string> key;
    /// Time that the caller waits; empty when it does not say.
    std::optional<Milliseconds> timeLeft;
    /// Last event that the caller has of a stream that broke off.
    std::optional<std::string> lastEvent;
    std::vector<PromptPart> prompt;
    /// Most tokens that the request may generate; 0 when it does not say.
    TokenCount mostTokens;
    /// Empty when the request belongs to no program.
    std::string program;
    /// Tokens that all turns of the program may generate.
    std::optional<TokenCount> budget;
    /// Id of the turn that this one continues; empty at the start of a conversation.
    std::string previousTurn;
};

/// What the system adds to a request for one endpoint.
struct EndpointDirective {
    /// Instance id that the endpoint must have.
    std::string instance;
    std::string workspace;
    Milliseconds timeLeft { 0 };
    std::optional<std::string> lastEvent;
    /// The whole body.
    std::string body;
};

/// Status and headers of an endpoint's answer.
struct EndpointHead {
    unsigned status = 0;
    std::string requestId;
    /// Whether the endpoint says that it has not run the request.
    bool notRun = false;
    /// Whether the address belongs to another endpoint.
    bool wrongInstance = false;
    bool eventStream = false;
    /// Headers for the caller.
    std::vector<HttpHeader> headers;
};

/// Where a request on the admin address goes.
enum class AdminPage : std::uint8_t { Ready, Metrics, Dump, Unknown, Count };

/// What an operator wrote to the metadata store.
struct EvacuationChange {
    std::string domain;
    bool evacuated = false;
};
using OperatorRecord = std::variant<DesiredState, EvacuationChange>;

/// Names and formats in which callers, endpoints and operators speak. Nothing here decides.
struct IngressFormats {
    std::function<Result<CallerRequest>(HttpRequest)> decodeCaller;
    std::function<HttpRequest(const CallerRequest&, const EndpointDirective&)> encodeForEndpoint;
    std::function<EndpointHead(const HttpResponse&)> decodeEndpointHead;
    std::function<HttpResponse(const CallerRequest&, const Error&)> encodeRefusal;
    std::function<AdminPage(const HttpRequest&)> adminPage;
    /// Decodes a record of `StoreTopic::DesiredState`. Errors: `InvalidDocument`, with what is wrong.
    std::function<Result<OperatorRecord>(const StoreRecord&)> decodeOperator;
    /// Decodes a record of `StoreTopic::Endpoints`. Errors: `InvalidDocument`, with what is wrong.
    std::function<Result<EndpointRecord>(const StoreRecord&)> decodeEndpoint;
};

struct IngressInit {
    std::string name;
    std::string domain;
    /// Share of the processor, in cores. Instances with more of it coordinate and keep more programs.
    double capacity = 1;
    /// Region of each failure domain.
    std::map<std::string, std::string, std::less<>> regions;
    Address callers { "127.0.0.1", 0 };
    Address admin { "127.0.0.1", 0 };
    /// TCP and UDP address for the other instances.
    Address peers { "127.0.0.1", 0 };
    Address store;
    std::int64_t storePartitions = 1;
    ByteCount storeRecordBytes { 262'144 };
    /// Bytes of records that one call of the store may carry.
    ByteCount storeCallBytes { 2'097'152 };
    /// Bytes of the whole answer of an endpoint, which is held in memory until it is complete.
    ByteCount answerBytes { std::int64_t { 16 } * 1024 * 1024 };
    /// Bytes that the answers of all endpoints may take together while they are held.
    ByteCount heldAnswerBytes { std::int64_t { 32 } * 1024 * 1024 };
    /// Bytes of one event of a stream.
    ByteCount eventBytes { std::int64_t { 256 } * 1024 };
    /// Whether the whole system starts for the first time, so that the store holds nothing of ours.
    bool firstStart = false;
    std::size_t threads = 2;
    std::size_t maxConnections = 4000;
    /// Window in which the allowance of a workspace holds.
    Milliseconds allowanceWindow { 5000 };
    /// Part of an allowance, and number of requests, by which the fleet may exceed it in a window when instances cannot
    /// know of each other.
    double allowanceOverrun = 0;
    double allowanceSlack = 0;
    /// Time between SIGTERM and SIGKILL.
    Milliseconds grace { 8000 };
    /// Time for which new connections still arrive after the instance has said that it is not ready.
    Milliseconds balancerDelay { 2500 };
};

/// Reads the settings of an ingress from INI text; appends each mistake to `problems`.
IngressInit readIngressSettings(const std::string& text, std::vector<Problem>& problems);

/// Front end for plain HTTP requests: routes, keys, allowances, token budgets, kept conversations and the choice of an
/// endpoint.
class Ingress {
public:
    /// Binds the addresses; throws `std::system_error` when one cannot be bound. `makeStore` builds the client of the
    /// metadata store on a transport of the ingress.
    Ingress(Runtime& runtime, IngressInit init, IngressFormats formats,
        const std::function<MetadataStore(StoreTransport)>& makeStore);
    Ingress(const Ingress&) = delete;
    Ingress& operator=(const Ingress&) = delete;
    ~Ingress();

    void start();
    /// Stops gracefully and calls `done` once, at the latest shortly before the grace time ends.
    void drain(std::function<void()> done);
    /// Takes over the grace time; the other settings are read at the start only.
    void reload(const IngressInit& init);
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
