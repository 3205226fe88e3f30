#pragma once

#include "peridotramp/programs.h"
#include "peridotramp/runtime.h"

namespace peridotramp {

/// Body of `POST /v1/programs` and of `POST /v1/programs/ID/children`.
struct BeginProgramBody {
    /// Name of the budget; empty for that of the workspace.
    std::string budget;
};

/// Body of `POST /v1/programs/ID/calls`.
struct CallBody {
    /// Turn that the call continues from; the call becomes the next one.
    TurnNumber turn;
    Digest digest;
    bool isService = false;
    std::string name;
    std::string input;
    TokenCount maxTokens { 256 };
    bool stream = false;
    /// Whether an earlier request for the same call had no answer or an unknown outcome.
    bool repeated = false;
    std::vector<ResentTurn> unconfirmed {};
};

/// Supported fields of the body of `POST /v1/chat/completions`.
struct ChatBody {
    std::string model;
    /// Content of all messages, each followed by a line feed.
    std::string completeInput;
    /// Content of the last message.
    std::string lastInput;
    TokenCount maxTokens { 256 };
    bool stream = false;
};

/// Result of a completed call.
struct CallAnswer {
    TurnNumber turn;
    Digest digest;
    std::string output;
    TokenCount promptTokens;
    TokenCount cachedTokens;
    TokenCount completionTokens;
    TurnNumber confirmedTurn;
};

/// Parsers of request bodies. Errors: `InvalidRequest` (not run), whose detail names the field.
Result<BeginProgramBody> parseBeginProgramBody(const std::string& body);
Result<CallBody> parseCallBody(const std::string& body);
Result<ChatBody> parseChatBody(const std::string& body);

/// Returns the text form of a program id, 16 hexadecimal digits.
std::string formatProgramId(ProgramId program);
/// Parses the text form of a program id; empty if it is malformed.
std::optional<ProgramId> parseProgramId(std::string_view text);
/// Returns the call id for a caller's idempotency key.
CallId callIdOf(std::string_view idempotencyKey);
/// Returns the key of an `Authorization: Bearer KEY` header; empty when there is none.
std::optional<std::string_view> bearerKey(const HttpRequest& request);

/// Returns the HTTP status for an error kind.
unsigned httpStatusOf(ErrorKind kind);
/// Returns the JSON body that reports an error.
std::string errorBody(const Error& error);
HttpResponse errorResponse(const Error& error);
/// Returns the JSON body that reports a new program.
std::string programBegunBody(ProgramId program);
/// Returns the JSON body that answers a completed call.
std::string callAnswerBody(const CallAnswer& answer);
/// Returns the JSON body that answers a chat completion.
std::string chatAnswerBody(ProgramId program, const std::string& model, const CallAnswer& answer);
/// Returns a server-sent event with one part of the output.
std::string tokenEvent(std::string_view text);
/// Returns a server-sent event with one part of the output of a chat completion.
std::string chatTokenEvent(ProgramId program, const std::string& model, std::string_view text);
/// Returns a server-sent event with a name and a JSON body.
std::string namedEvent(std::string_view name, std::string_view body);

} // namespace peridotramp
