#include "gateway_p.h"

#include <boost/json.hpp>
#include <charconv>
#include <fmt/format.h>

namespace peridotramp {

namespace json = boost::json;

namespace {

constexpr std::string_view programsPath = "/v1/programs";
constexpr std::string_view chatPath = "/v1/chat/completions";

Error refused(ErrorKind kind, std::string detail = {})
{
    return { kind, Outcome::NotRun, std::move(detail),
        kind == ErrorKind::NotReady ? Milliseconds(500) : Milliseconds(0) };
}

/// An authenticated request of a caller.
struct CallerRequest {
    HttpRequest request;
    HttpExchange exchange;
    Caller caller;
    TimePoint deadline {};
    TimePoint receivedAt {};
};

using CallerRequestPointer = std::shared_ptr<const CallerRequest>;

Result<Caller> authenticate(const Configuration& configuration, const HttpRequest& request)
{
    const auto key = bearerKey(request);
    const auto* grant = key ? configuration.findKey(sha256(*key)) : nullptr;
    if (!grant)
        return refused(ErrorKind::Unauthenticated);
    if (grant->state == KeyEntry::State::Withdrawn)
        return refused(ErrorKind::KeyWithdrawn);
    return Caller { grant->key, grant->workspace };
}

TimePoint deadlineOf(const GatewayState& gateway, const HttpRequest& request)
{
    const auto text = request.header("Peridot-Deadline-Ms").value_or("");
    std::int64_t millis = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), millis);
    const bool valid = !text.empty() && parsed.ec == std::errc() && millis > 0;
    return RuntimeClock::now() + (valid ? Milliseconds(millis) : gateway.init.defaultDeadline);
}

void answer(GatewayState& gateway, const HttpExchange& exchange, const Error& error)
{
    gateway.metrics.count("refusals{kind=\"" + std::string(toString(error.kind)) + "\"}");
    exchange.respond(errorResponse(error));
}

CallAnswer answerOf(const CallEndedMessage& ended)
{
    return { ended.turn, ended.digest, ended.output, ended.promptTokens, ended.cachedTokens, ended.completionTokens,
        ended.confirmedTurn };
}

Error errorOf(const Result<Message>& answer)
{
    const auto* message = answer ? std::get_if<ErrorMessage>(&answer.value()) : nullptr;
    return message ? message->error : (answer ? Error { ErrorKind::Internal } : answer.error());
}

void beginProgram(GatewayState& gateway, const Caller& caller, ProgramId parent, const std::string& budget,
    TimePoint deadline, std::function<void(Result<ProgramId>)> hook)
{
    const auto partitions = gateway.partitionsForNewPrograms();
    if (partitions.empty() && !parent.isValid())
        return hook(refused(ErrorKind::NotReady, "no partition has an owner yet"));
    const auto partition
        = parent.isValid() ? partitionOf(parent) : partitions[gateway.nextSerial() % partitions.size()];
    callPartitionOwner(gateway, partition, BeginProgramMessage { caller, partition, parent, budget }, deadline,
        [hook = std::move(hook)](const Result<Message>& answer, bool) {
            const auto* begun = answer ? std::get_if<ProgramBegunMessage>(&answer.value()) : nullptr;
            if (begun)
                return hook(begun->program);
            hook(errorOf(answer));
        });
}

void serveBegin(GatewayState& gateway, const CallerRequestPointer& call, ProgramId parent)
{
    const auto body = parseBeginProgramBody(call->request.body);
    if (!body)
        return answer(gateway, call->exchange, body.error());
    beginProgram(gateway, call->caller, parent, body->budget, call->deadline,
        [&gateway, call](const Result<ProgramId>& program) {
            if (program)
                call->exchange.respond(jsonResponse(201, programBegunBody(program.value())));
            else
                answer(gateway, call->exchange, program.error());
        });
}

void serveQuery(GatewayState& gateway, const CallerRequestPointer& call, ProgramId program)
{
    callPartitionOwner(gateway, partitionOf(program), ProgramQueryMessage { call->caller, program }, call->deadline,
        [&gateway, call](const Result<Message>& reply, bool) {
            const auto* state = reply ? std::get_if<ProgramStateMessage>(&reply.value()) : nullptr;
            if (!state)
                return answer(gateway, call->exchange, errorOf(reply));
            call->exchange.respond(jsonResponse(200,
                json::serialize(json::object { { "program", formatProgramId(state->program) },
                    { "turn", state->turn.value }, { "confirmed_turn", state->confirmedTurn.value },
                    { "digest", state->digest.toHex() }, { "ended", state->ended },
                    { "spent_tokens", state->spent.tokens.value }, { "spent_calls", state->spent.calls.value },
                    { "budget_tokens", state->budget.tokens.value }, { "budget_calls", state->budget.calls.value } })));
        });
}

void serveEnd(GatewayState& gateway, const CallerRequestPointer& call, ProgramId program)
{
    callPartitionOwner(gateway, partitionOf(program), EndProgramMessage { call->caller, program }, call->deadline,
        [&gateway, call](const Result<Message>& reply, bool) {
            if (reply && std::holds_alternative<DoneMessage>(reply.value()))
                return call->exchange.respond(jsonResponse(200, "{\"ended\":true}"));
            answer(gateway, call->exchange, errorOf(reply));
        });
}

/// Serialization of a response; the only difference between calls and chat completions.
struct AnswerFormat {
    std::function<std::string(std::string_view)> token;
    std::function<std::string(const CallAnswer&)> complete;
    std::function<std::string(const CallAnswer&)> streamEnd;
};

CallRelay relayOf(GatewayState& gateway, const CallerRequestPointer& call, CallMessage message, bool stream,
    const AnswerFormat& format)
{
    CallRelay relay;
    const auto key = call->request.header("Idempotency-Key");
    message.caller = call->caller;
    // The shift clears the highest bit, so that the id is always valid.
    message.call = key ? callIdOf(*key) : CallId { gateway.nextSerial() >> 1 };
    relay.message = std::move(message);
    relay.deadline = call->deadline;
    relay.hasCallerKey = key.has_value();
    auto started = std::make_shared<std::atomic<bool>>(false);
    relay.onToken = [call, stream, started, format](std::string_view text) {
        if (!stream)
            return;
        if (!started->exchange(true))
            call->exchange.startStream({ 200, { { "Content-Type", "text/event-stream" } }, {} });
        call->exchange.write(format.token(text));
    };
    relay.onEnd = [&gateway, call, stream, started, format](const Result<CallEndedMessage>& ended) {
        gateway.metrics.observe("call_latency_ms",
            std::chrono::duration<double, std::milli>(RuntimeClock::now() - call->receivedAt).count());
        if (!ended && !*started)
            return answer(gateway, call->exchange, ended.error());
        if (!stream)
            return call->exchange.respond(jsonResponse(200, format.complete(answerOf(ended.value()))));
        if (!started->exchange(true))
            call->exchange.startStream({ 200, { { "Content-Type", "text/event-stream" } }, {} });
        call->exchange.write(
            ended ? format.streamEnd(answerOf(ended.value())) : namedEvent("error", errorBody(ended.error())));
        call->exchange.finish();
    };
    return relay;
}

void startRelay(GatewayState& gateway, const CallerRequestPointer& call, CallRelay relay)
{
    auto cancel = relayCall(gateway, std::move(relay));
    call->exchange.onDisconnect(std::move(cancel));
}

void serveCall(GatewayState& gateway, const CallerRequestPointer& call, ProgramId program)
{
    auto body = parseCallBody(call->request.body);
    if (!body)
        return answer(gateway, call->exchange, body.error());
    CallMessage message;
    message.program = program;
    message.turn = body->turn + TurnNumber { 1 };
    message.previous = body->digest;
    message.unconfirmed = body->unconfirmed;
    message.repeated = body->repeated;
    message.target = body->isService ? CallTarget::Service : CallTarget::Model;
    message.name = body->name;
    message.input = body->input;
    message.maxTokens = body->maxTokens;
    const AnswerFormat format { tokenEvent, callAnswerBody,
        [](const CallAnswer& ended) { return namedEvent("end", callAnswerBody(ended)); } };
    startRelay(gateway, call, relayOf(gateway, call, std::move(message), body->stream, format));
}

void runChat(GatewayState& gateway, const CallerRequestPointer& call, const ChatBody& chat,
    const ProgramStateMessage& program, bool endAfter)
{
    CallMessage message;
    message.program = program.program;
    message.turn = program.turn + TurnNumber { 1 };
    message.previous = program.digest;
    message.name = chat.model;
    // The program already contains the earlier messages, so only the newest one is sent.
    message.input = program.turn.value == 0 ? chat.completeInput : chat.lastInput;
    message.maxTokens = chat.maxTokens;
    const auto id = program.program;
    const AnswerFormat format { [id, model = chat.model](
                                    std::string_view text) { return chatTokenEvent(id, model, text); },
        [id, model = chat.model](const CallAnswer& ended) { return chatAnswerBody(id, model, ended); },
        [](const CallAnswer&) { return std::string("data: [DONE]\n\n"); } };
    auto relay = relayOf(gateway, call, std::move(message), chat.stream, format);
    if (endAfter) {
        relay.onEnd = [&gateway, call, id, inner = std::move(relay.onEnd)](Result<CallEndedMessage> ended) {
            inner(std::move(ended));
            callPartitionOwner(gateway, partitionOf(id), EndProgramMessage { call->caller, id },
                RuntimeClock::now() + Seconds(5), [](const Result<Message>&, bool) { });
        };
    }
    startRelay(gateway, call, std::move(relay));
}

void serveChat(GatewayState& gateway, const CallerRequestPointer& call)
{
    const auto chat = parseChatBody(call->request.body);
    if (!chat)
        return answer(gateway, call->exchange, chat.error());
    const auto name = call->request.header("Peridot-Program");
    if (!name) {
        return beginProgram(gateway, call->caller, {}, "", call->deadline,
            [&gateway, call, body = chat.value()](const Result<ProgramId>& program) {
                if (!program)
                    return answer(gateway, call->exchange, program.error());
                ProgramStateMessage state;
                state.program = program.value();
                runChat(gateway, call, body, state, true);
            });
    }
    const auto program = parseProgramId(*name);
    if (!program)
        return answer(
            gateway, call->exchange, refused(ErrorKind::InvalidRequest, "header Peridot-Program must be a program id"));
    callPartitionOwner(gateway, partitionOf(*program), ProgramQueryMessage { call->caller, *program }, call->deadline,
        [&gateway, call, body = chat.value()](const Result<Message>& reply, bool) {
            const auto* state = reply ? std::get_if<ProgramStateMessage>(&reply.value()) : nullptr;
            if (!state)
                return answer(gateway, call->exchange, errorOf(reply));
            runChat(gateway, call, body, *state, false);
        });
}

void serveProgram(GatewayState& gateway, const CallerRequestPointer& call, std::string_view rest)
{
    const auto name = rest.substr(0, rest.find('/'));
    const auto action = name.size() == rest.size() ? std::string_view() : rest.substr(name.size() + 1);
    const auto program = parseProgramId(name);
    const auto& method = call->request.method;
    if (!program)
        return answer(gateway, call->exchange, refused(ErrorKind::UnknownProgram));
    if (action == "calls" && method == "POST")
        return serveCall(gateway, call, *program);
    if (action == "children" && method == "POST")
        return serveBegin(gateway, call, *program);
    if (action.empty() && method == "GET")
        return serveQuery(gateway, call, *program);
    if (action.empty() && method == "DELETE")
        return serveEnd(gateway, call, *program);
    answer(gateway, call->exchange, refused(ErrorKind::InvalidRequest, "no such route"));
}

// Serves routes that need no API key if the configuration makes them public. They access no program and no endpoint.
bool servePublic(const Configuration& configuration, const HttpRequest& request, const HttpExchange& exchange)
{
    if (request.path() != "/v1/models" || request.method != "GET")
        return false;
    if (!configuration.isOpen(request.path()) && !authenticate(configuration, request))
        return false;
    std::set<std::string> names;
    for (const auto& versioned : configuration.documents()) {
        for (const auto& endpoint : versioned->document.endpoints)
            names.insert(endpoint.models.begin(), endpoint.models.end());
    }
    json::array models;
    for (const auto& name : names)
        models.push_back(json::object { { "id", name }, { "object", "model" } });
    exchange.respond(
        jsonResponse(200, json::serialize(json::object { { "object", "list" }, { "data", std::move(models) } })));
    return true;
}

} // namespace

void serveCaller(GatewayState& gateway, HttpRequest request, const HttpExchange& exchange)
{
    const auto configuration = gateway.configurationNow();
    if (!configuration)
        return answer(gateway, exchange, refused(ErrorKind::NotReady));
    if (servePublic(*configuration, request, exchange))
        return;
    const auto caller = authenticate(*configuration, request);
    if (!caller)
        return answer(gateway, exchange, caller.error());
    const auto deadline = deadlineOf(gateway, request);
    // The API key must not leave this function.
    std::erase_if(request.headers,
        [](const HttpHeader& header) { return header.name == "Authorization" || header.name == "authorization"; });
    const auto call = std::make_shared<const CallerRequest>(
        std::move(request), exchange, caller.value(), deadline, RuntimeClock::now());
    const auto path = call->request.path();
    if (path == programsPath && call->request.method == "POST")
        return serveBegin(gateway, call, {});
    if (path == chatPath && call->request.method == "POST")
        return serveChat(gateway, call);
    if (path.starts_with(programsPath) && path.size() > programsPath.size() + 1)
        return serveProgram(gateway, call, path.substr(programsPath.size() + 1));
    answer(gateway, exchange, refused(ErrorKind::InvalidRequest, "no such route"));
}

std::vector<DescriptionRow> dumpOf(GatewayState& gateway)
{
    std::vector<DescriptionRow> rows;
    const auto add = [&](std::string section, std::string key, std::string value) {
        rows.push_back({ std::move(section), std::move(key), std::move(value) });
    };
    add("gateway", "domain", gateway.init.domain);
    add("gateway", "draining", gateway.draining ? "true" : "false");
    add("gateway", "active_requests", fmt::to_string(gateway.server->activeExchanges()));
    const auto table = gateway.routes.with(0, [](const RoutingTable& routes) { return routes; });
    for (const auto& [partition, owner] : table.owners)
        add(fmt::format("partition {}", partition.value), "owner_node", fmt::to_string(owner.node.value));
    if (const auto configuration = gateway.configurationNow()) {
        const auto described = describe(*configuration);
        rows.insert(rows.end(), described.begin(), described.end());
    }
    return rows;
}

ProcessStatus statusOf(GatewayState& gateway)
{
    ProcessStatus status;
    status.process = "gateway " + gateway.server->address().toString();
    status.domain = gateway.init.domain;
    status.isDraining = gateway.draining;
    gateway.configuration.with(0, [&](GatewayConfiguration& configuration) {
        status.version = configuration.state.version();
        status.age = configuration.state.age(RuntimeClock::now());
    });
    status.isReady = gateway.configurationNow() && !status.isDraining && !gateway.partitionsForNewPrograms().empty();
    if (!status.isReady)
        status.detail = status.isDraining
            ? "the gateway is draining"
            : "no configuration or no scheduler that owns a partition; check the schedulers";
    return status;
}

} // namespace peridotramp
