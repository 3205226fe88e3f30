#include "framing_p.h"

#include <charconv>

namespace peridotramp {

namespace {

struct IdleStream {
    std::unique_ptr<beast::tcp_stream> stream;
    TimePoint expiresAt;
};

// Margin before the idle timeout announced by a peer, so that no request is in flight when it closes the connection.
constexpr Milliseconds idleTimeoutMargin { 500 };

// Range of valid statuses (RFC 9110, section 15), and the lowest of a response that is not an interim one.
constexpr unsigned minStatus = 100;
constexpr unsigned maxStatus = 599;
constexpr unsigned firstFinalStatus = 200;

// Responses to earlier requests that one call discards while it waits for its own, and the largest body of one.
constexpr int maxDiscardedResponses = 2;
constexpr std::size_t maxDiscardedBodyBytes = std::size_t { 256 } * 1024;

// Largest part of a body that is read at once.
constexpr std::size_t bodyBlockBytes = std::size_t { 16 } * 1024;

using ResponseParser = http::response_parser<http::buffer_body>;

// Returns whether reading a response was aborted because it exceeds a limit.
bool isTooLarge(const boost::system::error_code& error)
{
    // The read buffer holds little more than the largest head, so endless chunk extensions and trailers overflow it.
    return error == http::error::body_limit || error == http::error::header_limit
        || error == http::error::buffer_overflow;
}

// Returns the idle timeout of a `Keep-Alive` header.
std::optional<Seconds> announcedIdleTimeout(const http::fields& fields)
{
    const std::string_view value = fields[http::field::keep_alive];
    constexpr std::string_view parameter = "timeout=";
    const auto found = value.find(parameter);
    if (found == std::string_view::npos)
        return std::nullopt;
    const auto digits = value.substr(found + parameter.size());
    std::int64_t seconds = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return parsed.ec == std::errc() ? std::optional(Seconds(seconds)) : std::nullopt;
}

// Enlarges the buffer of a body after a read that filled it. A read takes no more than the buffer holds, and the head
// leaves it at a few hundred bytes.
void growAfterFullRead(beast::flat_buffer& buffer, std::size_t readBytes)
{
    if (readBytes >= buffer.capacity())
        buffer.reserve(std::min(2 * buffer.capacity(), bodyBlockBytes));
}

} // namespace

using IdleStreams = std::map<Address, std::vector<IdleStream>>;

struct HttpClient::Impl {
    Impl(Runtime& runtime, Init init)
        : context(runtime.internals().context)
        , init(init)
    {
    }

    std::unique_ptr<beast::tcp_stream> takeIdle(const Address& address);
    void keepIdle(const Address& address, std::unique_ptr<beast::tcp_stream> stream, Milliseconds idleTimeout);

    asio::io_context& context;
    Init init;
    Sharded<IdleStreams, 4> idle {};
};

// One call. All members but the atomic ones are accessed only on the strand of the stream.
struct HttpClient::Call::State : std::enable_shared_from_this<HttpClient::Call::State> {
    State(std::shared_ptr<Impl> client, Address address, HttpRequest request, Options options, HttpClientHooks hooks)
        : client(std::move(client))
        , address(std::move(address))
        , request(std::move(request))
        , options(options)
        , hooks(std::move(hooks))
    {
    }

    // `self` keeps the call alive: the coroutine starts after its creator has released the call.
    asio::awaitable<void> run(std::shared_ptr<State> self);
    // Ends the call after an exception of its coroutine, unless it has ended.
    void fail();
    asio::awaitable<boost::system::error_code> connect();
    asio::awaitable<boost::system::error_code> exchange();
    asio::awaitable<void> writeRequest(std::shared_ptr<State> self, http::request<http::string_body> message);
    bool canReuse(const ResponseParser& parser, const beast::flat_buffer& buffer) const;
    asio::awaitable<boost::system::error_code> readHeadBytes(
        ResponseParser& parser, beast::flat_buffer& buffer, std::size_t& bytes);
    asio::awaitable<boost::system::error_code> readHead(
        std::optional<ResponseParser>& parser, beast::flat_buffer& buffer);
    asio::awaitable<boost::system::error_code> readOwnHead(
        std::optional<ResponseParser>& parser, beast::flat_buffer& buffer);
    bool isOwnAnswer(const ResponseParser& parser) const;
    asio::awaitable<boost::system::error_code> readBody(
        ResponseParser& parser, beast::flat_buffer& buffer, std::size_t limit);
    asio::awaitable<boost::system::error_code> discardBody(ResponseParser& parser, beast::flat_buffer& buffer);
    asio::awaitable<boost::system::error_code> awaitWindow();
    ErrorKind errorKindOf(const boost::system::error_code& error) const;

    std::shared_ptr<Impl> client;
    Address address;
    HttpRequest request;
    Options options;
    HttpClientHooks hooks;
    std::unique_ptr<beast::tcp_stream> stream {};
    asio::any_io_executor executor {};
    HttpResult result {};
    bool keepAlive = false;
    bool requestSent = false;
    // Whether the connection carried another request before.
    bool isReused = false;
    // Number of responses to earlier requests that were discarded.
    int discarded = 0;
    Milliseconds idleTimeout { 0 };
    std::atomic<bool> cancelled = false;
    // Bytes of the body that were passed to the hook but not consumed yet, for calls with a window.
    std::atomic<std::size_t> unconsumed = 0;
    std::optional<asio::steady_timer> windowTimer {};
    std::chrono::steady_clock::time_point deadline {};
};

std::unique_ptr<beast::tcp_stream> HttpClient::Impl::takeIdle(const Address& address)
{
    return this->idle.with(
        hashBytes(address.toString()), [&](IdleStreams& streams) -> std::unique_ptr<beast::tcp_stream> {
            auto& ready = streams[address];
            while (!ready.empty()) {
                auto [stream, expiresAt] = std::move(ready.back());
                ready.pop_back();
                if (expiresAt <= RuntimeClock::now())
                    continue;
                // Input on an idle connection means that the peer has closed it or sent bytes of no response.
                if (pendingInput(stream->socket()) == PendingInput::None)
                    return std::move(stream);
            }
            return nullptr;
        });
}

void HttpClient::Impl::keepIdle(
    const Address& address, std::unique_ptr<beast::tcp_stream> stream, Milliseconds idleTimeout)
{
    const auto now = RuntimeClock::now();
    this->idle.with(hashBytes(address.toString()), [&](IdleStreams& streams) {
        auto& ready = streams[address];
        std::erase_if(ready, [&](const IdleStream& idle) { return idle.expiresAt <= now; });
        if (ready.size() < this->init.maxIdleConnections)
            ready.push_back({ std::move(stream), now + idleTimeout });
    });
}

ErrorKind HttpClient::Call::State::errorKindOf(const boost::system::error_code& error) const
{
    if (!error)
        return ErrorKind::None;
    if (this->cancelled)
        return ErrorKind::Cancelled;
    if (error == beast::error::timeout)
        return ErrorKind::DeadlineExceeded;
    if (isTooLarge(error))
        return ErrorKind::AnswerTooLarge;
    return isParseError(error) ? ErrorKind::EndpointFailed : ErrorKind::ConnectionFailed;
}

asio::awaitable<boost::system::error_code> HttpClient::Call::State::connect()
{
    boost::system::error_code error;
    const auto host = asio::ip::make_address(this->address.host, error);
    if (error)
        co_return error;
    this->stream->expires_after(std::min(this->client->init.connectTimeout, this->options.timeout));
    auto [connectError]
        = co_await this->stream->async_connect(asio::ip::tcp::endpoint(host, this->address.port), asTuple);
    if (!connectError)
        configureSocket(this->stream->socket());
    co_return connectError;
}

// Reads one head, like `http::async_read_header`, and refuses continuation lines, which that accepts. `bytes` returns
// the size of the head.
asio::awaitable<boost::system::error_code> HttpClient::Call::State::readHeadBytes(
    ResponseParser& parser, beast::flat_buffer& buffer, std::size_t& bytes)
{
    bytes = 0;
    bool needsInput = buffer.size() == 0;
    while (!parser.is_header_done()) {
        if (needsInput) {
            const auto space = beast::read_size(buffer, maxReadBytes);
            if (space == 0)
                co_return make_error_code(http::error::buffer_overflow);
            const auto [readError, size] = co_await this->stream->async_read_some(buffer.prepare(space), asTuple);
            if (readError == asio::error::eof)
                co_return make_error_code(
                    parser.got_some() ? http::error::partial_message : http::error::end_of_stream);
            if (readError)
                co_return readError;
            buffer.commit(size);
        }
        if (hasContinuationLine({ static_cast<const char*>(buffer.data().data()), buffer.size() }))
            co_return make_error_code(http::error::bad_field);
        boost::system::error_code error;
        const auto consumed = parser.put(buffer.data(), error);
        buffer.consume(consumed);
        bytes += consumed;
        needsInput = error == http::error::need_more;
        if (error && !needsInput)
            co_return error;
    }
    co_return boost::system::error_code {};
}

// Reads the head of the response and skips interim responses before it.
asio::awaitable<boost::system::error_code> HttpClient::Call::State::readHead(
    std::optional<ResponseParser>& parser, beast::flat_buffer& buffer)
{
    auto remainingBytes = this->client->init.maxHeadBytes;
    while (true) {
        parser.emplace();
        // The limit of the body may depend on the head; `readBody` checks it.
        parser->body_limit(boost::none);
        parser->header_limit(static_cast<std::uint32_t>(remainingBytes));
        if (this->request.method == "HEAD")
            parser->skip(true);
        std::size_t bytes = 0;
        const auto error = co_await this->readHeadBytes(*parser, buffer, bytes);
        if (error)
            co_return error;
        const auto status = parser->get().result_int();
        // No request asks for a protocol upgrade.
        if (status < minStatus || status > maxStatus
            || status == static_cast<unsigned>(http::status::switching_protocols))
            co_return make_error_code(http::error::bad_status);
        if (status >= firstFinalStatus)
            co_return checkResponseHead(parser->get());
        if (bytes >= remainingBytes)
            co_return make_error_code(http::error::header_limit);
        remainingBytes -= bytes;
    }
}

bool HttpClient::Call::State::isOwnAnswer(const ResponseParser& parser) const
{
    return !this->hooks.isAnswer || this->hooks.isAnswer({ parser.get().result_int(), headersOf(parser.get()), {} });
}

// Reads the head of the response to this request. On a connection that was used before, a peer may send a second copy
// of an earlier response at the point where this one is expected; it is discarded if its end is known. The last one
// read counts in any case.
asio::awaitable<boost::system::error_code> HttpClient::Call::State::readOwnHead(
    std::optional<ResponseParser>& parser, beast::flat_buffer& buffer)
{
    while (true) {
        const auto headError = co_await this->readHead(parser, buffer);
        if (headError)
            co_return headError;
        const bool mayBeEarlier = this->isReused && this->discarded < maxDiscardedResponses && !parser->need_eof();
        if (!mayBeEarlier || this->isOwnAnswer(*parser))
            co_return boost::system::error_code {};
        const auto bodyError = co_await this->discardBody(*parser, buffer);
        if (bodyError)
            co_return bodyError;
        ++this->discarded;
    }
}

// Waits until the unconsumed bytes are fewer than the window. Fails if the call is cancelled meanwhile.
asio::awaitable<boost::system::error_code> HttpClient::Call::State::awaitWindow()
{
    while (this->options.window > 0 && this->unconsumed >= this->options.window && !this->cancelled) {
        if (std::chrono::steady_clock::now() >= this->deadline)
            co_return make_error_code(beast::error::timeout);
        this->windowTimer->expires_at(this->deadline);
        co_await this->windowTimer->async_wait(asTuple);
    }
    if (this->cancelled)
        co_return boost::system::error_code(asio::error::operation_aborted);
    co_return boost::system::error_code {};
}

asio::awaitable<boost::system::error_code> HttpClient::Call::State::readBody(
    ResponseParser& parser, beast::flat_buffer& buffer, std::size_t limit)
{
    const auto announced = parser.content_length();
    if (!parser.is_done() && announced && *announced > limit)
        co_return make_error_code(http::error::body_limit);
    std::array<char, bodyBlockBytes> block {};
    while (!parser.is_done()) {
        if (const auto windowError = co_await this->awaitWindow())
            co_return windowError;
        parser.get().body().data = block.data();
        parser.get().body().size = block.size();
        auto [error, bytes] = co_await http::async_read_some(*this->stream, buffer, parser, asTuple);
        growAfterFullRead(buffer, bytes);
        const auto size = block.size() - parser.get().body().size;
        if (size > limit)
            co_return make_error_code(http::error::body_limit);
        limit -= size;
        if (this->options.window > 0)
            this->unconsumed += size;
        if (size > 0 && this->hooks.onBody && !this->cancelled)
            this->hooks.onBody({ block.data(), size });
        if (error && error != http::error::need_buffer)
            co_return error;
    }
    // A write that fails consumes the error of a reset connection, and the next read then returns the end of the
    // stream. So the end of the connection completes a response only if the request was written.
    if (parser.need_eof() && !this->requestSent)
        co_return boost::system::error_code(asio::error::connection_reset);
    co_return boost::system::error_code {};
}

asio::awaitable<boost::system::error_code> HttpClient::Call::State::discardBody(
    ResponseParser& parser, beast::flat_buffer& buffer)
{
    std::array<char, bodyBlockBytes> block {};
    std::size_t discardedBytes = 0;
    while (!parser.is_done()) {
        parser.get().body().data = block.data();
        parser.get().body().size = block.size();
        auto [error, bytes] = co_await http::async_read_some(*this->stream, buffer, parser, asTuple);
        growAfterFullRead(buffer, bytes);
        discardedBytes += block.size() - parser.get().body().size;
        if (discardedBytes > maxDiscardedBodyBytes)
            co_return make_error_code(http::error::body_limit);
        if (error && error != http::error::need_buffer)
            co_return error;
    }
    co_return boost::system::error_code {};
}

// Runs concurrently with reading the response: a peer may respond before it has read the complete request.
asio::awaitable<void> HttpClient::Call::State::writeRequest(
    [[maybe_unused]] std::shared_ptr<State> self, http::request<http::string_body> message)
{
    auto [error, written] = co_await http::async_write(*this->stream, message, asTuple);
    this->requestSent = !error;
}

bool HttpClient::Call::State::canReuse(const ResponseParser& parser, const beast::flat_buffer& buffer) const
{
    // Bytes after a complete response belong to no request, and a peer that has sent one response twice may do so
    // again.
    return this->requestSent && this->discarded == 0 && parser.get().keep_alive() && buffer.size() == 0;
}

asio::awaitable<boost::system::error_code> HttpClient::Call::State::exchange()
{
    http::request<http::string_body> message;
    message.method_string(this->request.method);
    message.target(this->request.target);
    message.version(11);
    setHeaders(message, this->request.headers);
    if (message.find(http::field::host) == message.end())
        message.set(http::field::host, this->address.toString());
    message.body() = std::move(this->request.body);
    message.prepare_payload();
    this->stream->expires_after(this->options.timeout);
    this->deadline = std::chrono::steady_clock::now() + this->options.timeout;
    this->windowTimer.emplace(this->executor);
    this->result.requestWritten = true;
    asio::co_spawn(this->executor, this->writeRequest(this->shared_from_this(), std::move(message)),
        reportErrors("writing a request"));
    std::optional<ResponseParser> parser;
    beast::flat_buffer buffer(this->client->init.maxHeadBytes + maxReadBytes);
    const auto headError = co_await this->readOwnHead(parser, buffer);
    if (headError)
        co_return headError;
    const HttpResponse head { parser->get().result_int(), headersOf(parser->get()), {} };
    this->result.status = head.status;
    if (this->hooks.onHead)
        this->hooks.onHead(head);
    const auto limit = this->hooks.bodyLimit ? this->hooks.bodyLimit(head) : this->client->init.maxBodyBytes;
    const auto bodyError = co_await this->readBody(*parser, buffer, limit);
    this->keepAlive = !bodyError && this->canReuse(*parser, buffer);
    this->idleTimeout = this->client->init.idleTimeout;
    if (const auto announced = announcedIdleTimeout(parser->get()))
        this->idleTimeout = std::min<Milliseconds>(this->idleTimeout, *announced - idleTimeoutMargin);
    co_return bodyError;
}

asio::awaitable<void> HttpClient::Call::State::run([[maybe_unused]] std::shared_ptr<State> self)
{
    boost::system::error_code error;
    if (!this->stream->socket().is_open())
        error = co_await this->connect();
    if (!error && !this->cancelled)
        error = co_await this->exchange();
    if (this->cancelled && !error)
        error = asio::error::operation_aborted;
    this->result.error = this->errorKindOf(error);
    if (!error && this->keepAlive) {
        this->stream->expires_never();
        this->client->keepIdle(this->address, std::move(this->stream), this->idleTimeout);
    } else {
        // Closes the socket explicitly, because a pending write may still hold the stream: the peer must notice at once
        // that the response is no longer wanted.
        this->stream->close();
    }
    const auto finished = std::exchange(this->hooks, {});
    if (finished.onEnd)
        finished.onEnd(this->result);
}

void HttpClient::Call::State::fail()
{
    if (this->stream)
        this->stream->close();
    this->result.error = ErrorKind::EndpointFailed;
    const auto finished = std::exchange(this->hooks, {});
    if (finished.onEnd)
        finished.onEnd(this->result);
}

void HttpClient::Call::cancel() const
{
    const auto call = this->state.lock();
    if (!call || call->cancelled.exchange(true))
        return;
    asio::post(call->executor, [call] {
        if (call->stream)
            call->stream->cancel();
        if (call->windowTimer)
            call->windowTimer->cancel();
    });
}

void HttpClient::Call::consume(std::size_t bytes) const
{
    const auto call = this->state.lock();
    if (!call || call->options.window == 0)
        return;
    const auto before = call->unconsumed.fetch_sub(bytes);
    if (before < call->options.window || before - bytes >= call->options.window)
        return;
    asio::post(call->executor, [call] {
        if (call->windowTimer)
            call->windowTimer->cancel();
    });
}

HttpClient::HttpClient(Runtime& runtime, Init init)
    : impl(std::make_shared<Impl>(runtime, init))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::closeIdle(const Address& address)
{
    this->impl->idle.with(hashBytes(address.toString()), [&](IdleStreams& streams) { streams.erase(address); });
}

HttpClient::Call HttpClient::stream(const Address& address, HttpRequest request, Options options, HttpClientHooks hooks)
{
    auto state = std::make_shared<Call::State>(this->impl, address, std::move(request), options, std::move(hooks));
    if (options.reuseConnection)
        state->stream = this->impl->takeIdle(address);
    state->isReused = state->stream != nullptr;
    if (!state->stream)
        state->stream = std::make_unique<beast::tcp_stream>(asio::make_strand(this->impl->context));
    state->executor = state->stream->get_executor();
    asio::co_spawn(state->executor, state->run(state), [state](const std::exception_ptr& error) {
        logUnexpectedError("HTTP call", error);
        if (error)
            state->fail();
    });
    return Call { state };
}

HttpClient::Call HttpClient::send(const Address& address, HttpRequest request, Options options, ResponseHook hook)
{
    // Without a response head the status stays 0; the default of 200 would look like a response.
    auto response = std::make_shared<HttpResponse>(HttpResponse { 0 });
    HttpClientHooks hooks;
    hooks.onHead = [response](const HttpResponse& head) { *response = head; };
    hooks.onBody = [response](std::string_view part) { response->body.append(part); };
    hooks.onEnd = [response, hook = std::move(hook)](HttpResult result) { hook(result, std::move(*response)); };
    return this->stream(address, std::move(request), options, std::move(hooks));
}

} // namespace peridotramp
