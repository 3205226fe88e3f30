#pragma once

#include <array>
#include <atomic>
#include <cassert>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <variant>
#include <vector>

namespace peridotramp {

/// Strongly typed integer ID of one kind of object. A default-constructed ID is invalid.
template <typename Tag> struct Id {
    static constexpr std::uint64_t invalid = std::numeric_limits<std::uint64_t>::max();

    std::uint64_t value = invalid;

    constexpr bool isValid() const { return this->value != invalid; }
    constexpr auto operator<=>(const Id&) const = default;
};

using NodeId = Id<struct NodeTag>;
using DomainId = Id<struct DomainTag>;
using WorkspaceId = Id<struct WorkspaceTag>;
using EndpointId = Id<struct EndpointTag>;
using ModelId = Id<struct ModelTag>;
using ProgramId = Id<struct ProgramTag>;
using CallId = Id<struct CallTag>;
using PartitionId = Id<struct PartitionTag>;
using KeyId = Id<struct KeyTag>;
using AppendId = Id<struct AppendTag>;
/// Offset of a record in a stream of the log.
using Offset = Id<struct OffsetTag>;
/// Fencing token of a partition: the offset of its newest ownership record.
using Epoch = Id<struct EpochTag>;
/// Distinguishes a process from earlier ones that ran under the same name. At a scheduler it grows, and a greater value
/// replaces all earlier ones. At an ingress it is a hash, which has no order: only equality counts.
using Incarnation = Id<struct IncarnationTag>;

/// Returns a 64-bit XXH3 hash of `bytes`. Not suitable for secrets.
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

/// Returns the ID of a configured name. The same name gives the same ID on every node.
template <typename IdType> IdType idFromName(std::string_view name)
{
    return IdType { hashBytes(name) & (Id<void>::invalid >> 1) };
}

/// Amount in one unit. Arithmetic is defined only between amounts in the same unit.
template <typename Tag> struct Quantity {
    std::int64_t value = 0;

    constexpr auto operator<=>(const Quantity&) const = default;
    constexpr Quantity& operator+=(Quantity other)
    {
        this->value += other.value;
        return *this;
    }
    constexpr Quantity& operator-=(Quantity other)
    {
        this->value -= other.value;
        return *this;
    }
    friend constexpr Quantity operator+(Quantity a, Quantity b) { return { a.value + b.value }; }
    friend constexpr Quantity operator-(Quantity a, Quantity b) { return { a.value - b.value }; }
};

using TokenCount = Quantity<struct TokenCountTag>;
using RequestCount = Quantity<struct RequestCountTag>;
using ByteCount = Quantity<struct ByteCountTag>;
using CallCount = Quantity<struct CallCountTag>;
/// Position of a call in its program; the first turn is 1.
using TurnNumber = Quantity<struct TurnNumberTag>;
/// Partition of a topic of the metadata store, from 0.
using StorePartition = Quantity<struct StorePartitionTag>;
/// Nesting depth of a program; a program without a parent has depth 0.
using Depth = Quantity<struct DepthTag>;

/// Rate in units per second, as given in the configuration.
template <typename Unit> struct PerSecond {
    double value = 0;

    constexpr auto operator<=>(const PerSecond&) const = default;
};

using TokenRate = PerSecond<TokenCount>;
using RequestRate = PerSecond<RequestCount>;

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;
using Seconds = std::chrono::seconds;

/// Clock of the process. Monotonic in production; tests pause it and advance it manually.
class RuntimeClock {
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<RuntimeClock>;
    static constexpr bool is_steady = true;

    /// Returns the current time of the process.
    static time_point now() noexcept;
    /// Stops the clock at its current time.
    static void pause();
    /// Resumes a paused clock from its current time.
    static void resume();
    /// Moves the clock forward by `step`, which must not be negative.
    static void advance(duration step);
    /// Returns whether the clock is paused.
    static bool isPaused() noexcept;
};

using Duration = RuntimeClock::duration;
using TimePoint = RuntimeClock::time_point;

/// What is known about the execution of a call when it is answered.
enum class Outcome : std::uint8_t { Completed, NotRun, Unknown, Count };

/// Returns `completed`, `not_run` or `unknown`.
std::string_view toString(Outcome outcome);

/// Kinds of error that the system reports. The message of each names the remedy.
enum class ErrorKind : std::uint8_t {
    None,
    InvalidRequest,
    RequestTooLarge,
    Unauthenticated,
    KeyWithdrawn,
    Forbidden,
    UnknownProgram,
    UnknownCall,
    UnknownModel,
    UnknownRoute,
    UnknownTurn,
    TurnConflict,
    CallInProgress,
    ProgramEnded,
    BudgetExceeded,
    RateExceeded,
    DeadlineExceeded,
    Cancelled,
    EndpointUnavailable,
    EndpointFailed,
    OutcomeUnknown,
    DomainOutOfService,
    NotOwner,
    LeaseLapsed,
    EpochLost,
    LogUnavailable,
    VersionConflict,
    InvalidDocument,
    InvalidSettings,
    NotReady,
    ShuttingDown,
    ConnectionFailed,
    MalformedFrame,
    Overloaded,
    Internal,
    AnswerTooLarge,
    RecordRefused,
    Count
};

/// Returns the stable lower-case name of the kind, for example `rate_exceeded`.
std::string_view toString(ErrorKind kind);
/// Returns the kind with this name, or `ErrorKind::Internal` when there is none.
ErrorKind errorKindFromString(std::string_view name);
/// Returns the error category of `ErrorKind`.
const std::error_category& errorCategory() noexcept;
std::error_code make_error_code(ErrorKind kind) noexcept; // NOLINT(readability-identifier-naming): found by ADL

/// An error, and what is known about the execution of the call.
struct Error {
    ErrorKind kind = ErrorKind::None;
    /// `Unknown` unless the code that reports the error can prove whether the call was executed.
    Outcome outcome = Outcome::Unknown;
    /// Details of this error, for example the expected turn. Never contains API keys.
    std::string detail {};
    /// Time after which a retry may succeed; zero when a retry is pointless or the time is unknown.
    Milliseconds retryAfter { 0 };

    std::error_code code() const { return make_error_code(this->kind); }
    /// Returns the message of the kind, which names the remedy, followed by the detail.
    std::string message() const;
    bool operator==(const Error&) const = default;
};

/// A value, or the error that prevented it.
template <typename Value> class Result {
public:
    Result(Value value)
        : state(std::move(value))
    {
    }
    Result(Error error)
        : state(std::move(error))
    {
    }

    bool hasValue() const { return std::holds_alternative<Value>(this->state); }
    explicit operator bool() const { return this->hasValue(); }
    const Value& value() const { return std::get<Value>(this->state); }
    Value& value() { return std::get<Value>(this->state); }
    const Error& error() const { return std::get<Error>(this->state); }
    const Value& operator*() const { return this->value(); }
    const Value* operator->() const { return &this->value(); }

private:
    std::variant<Value, Error> state;
};

/// Result of an operation that yields no value.
using Status = Result<std::monostate>;

/// SHA-256 digest.
struct Digest {
    std::array<std::uint8_t, 32> bytes {};

    auto operator<=>(const Digest&) const = default;
    /// Returns 64 lower-case hexadecimal digits.
    std::string toHex() const;
    /// Parses 64 hexadecimal digits in upper or lower case; empty when `text` is anything else.
    static std::optional<Digest> fromHex(std::string_view text);
};

/// Returns the SHA-256 digest of the parts. Each part is prefixed with its length, so that different splits of the same
/// bytes have different digests.
Digest digestOf(std::initializer_list<std::string_view> parts);
/// Returns the SHA-256 digest of `bytes` alone, as `sha256sum` prints it.
Digest sha256(std::string_view bytes);

/// Encodes bytes in base64 with padding.
std::string toBase64(std::string_view bytes);
/// Decodes padded base64; empty when `text` is not valid.
std::optional<std::string> fromBase64(std::string_view text);

/// Whether the current thread is inside `Sharded::with` or `Sharded::forEach` of any instance.
inline thread_local bool holdsShardLock = false;

/// State partitioned by key hash into shards, each with its own lock.
///
/// A thread holds at most one shard lock at a time; debug builds assert this. Hooks must not be called from `with`.
template <typename State, std::size_t shardCount = 16> class Sharded {
public:
    /// Calls `function(State&)` for the shard of `hash` under the lock of that shard and returns its result.
    template <typename Function> decltype(auto) with(std::uint64_t hash, Function&& function)
    {
        return this->lockAndCall(this->shards[hash % shardCount], std::forward<Function>(function));
    }

    /// Calls `function(State&)` for each shard in turn, each under its own lock.
    template <typename Function> void forEach(Function&& function)
    {
        for (auto& shard : this->shards)
            this->lockAndCall(shard, function);
    }

private:
    struct alignas(64) Shard {
        std::mutex mutex;
        State state {};
    };

    template <typename Function> decltype(auto) lockAndCall(Shard& shard, Function&& function)
    {
        assert(!holdsShardLock && "a thread must not hold two shard locks");
        const std::scoped_lock lock(shard.mutex);
        const HoldsLock mark;
        return function(shard.state);
    }

    struct HoldsLock {
        HoldsLock() { holdsShardLock = true; }
        HoldsLock(const HoldsLock&) = delete;
        HoldsLock& operator=(const HoldsLock&) = delete;
        ~HoldsLock() { holdsShardLock = false; }
    };

    std::array<Shard, shardCount> shards;
};

/// IP address and port of a peer.
struct Address {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Address&) const = default;
    std::string toString() const;
    /// Parses `HOST:PORT`; empty when the port is missing or out of range.
    static std::optional<Address> parse(std::string_view text);
};

/// One invalid entry of an INI text.
struct Problem {
    std::string section;
    std::string key;
    std::string value;
    /// What is allowed, and how to correct the entry.
    std::string remedy;

    std::string toString() const;
};

/// Entries of one section of an INI text, in their order in the text.
struct IniSection {
    std::string name;
    std::vector<std::pair<std::string, std::string>> entries;

    std::optional<std::string> find(std::string_view key) const;
};

/// Parses INI text. Errors: `InvalidSettings`, with the line of a syntax error.
Result<std::vector<IniSection>> parseIni(const std::string& text);

/// Reads typed values from one section and collects all problems, including unknown keys.
class SectionReader {
public:
    SectionReader(const IniSection& section, std::vector<Problem>& problems);

    std::string text(std::string_view key, std::string fallback);
    /// Reads an integer in [`min`, `max`].
    std::int64_t integer(std::string_view key, std::int64_t fallback, std::int64_t min, std::int64_t max);
    /// Reads a decimal number in [`min`, `max`].
    double number(std::string_view key, double fallback, double min, double max);
    /// Reads `true`, `false`, `yes` or `no`.
    bool flag(std::string_view key, bool fallback);
    /// Reads one of the `allowed` values.
    std::string choice(std::string_view key, std::string fallback, std::initializer_list<std::string_view> allowed);
    /// Reads an address `HOST:PORT`; reports a problem when it is missing and there is no fallback.
    Address address(std::string_view key, std::optional<Address> fallback);
    /// Reads a comma-separated list.
    std::vector<std::string> list(std::string_view key);
    /// Reports that the value of `key` is not allowed.
    void reject(std::string_view key, std::string_view value, std::string remedy);
    /// Reports each key that was not read before; call it last.
    void rejectUnknownKeys();

private:
    std::optional<std::string> take(std::string_view key);

    const IniSection& section;
    std::vector<Problem>& problems;
    std::vector<std::string> readKeys;
};

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error, Count };

/// One key-value pair of a log line.
struct LogField {
    std::string_view key;
    std::string value;

    LogField(std::string_view key, std::string value)
        : key(key)
        , value(std::move(value))
    {
    }
    LogField(std::string_view key, std::string_view value)
        : key(key)
        , value(value)
    {
    }
    LogField(std::string_view key, const char* value)
        : key(key)
        , value(value)
    {
    }
    LogField(std::string_view key, std::int64_t value);
    LogField(std::string_view key, std::uint64_t value);
    LogField(std::string_view key, int value);
    template <typename Tag>
    LogField(std::string_view key, Id<Tag> id)
        : LogField(key, id.value)
    {
    }
};

/// Destination of log lines. Lines for standard output are queued and written by a separate thread, so that a stalled
/// reader never blocks the process; lines that do not fit into the queue are dropped and counted.
enum class LogSink : std::uint8_t { StandardError, StandardOutput, Count };

/// Writes one log line: time, level, process name, message, then `key=value` pairs.
void log(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {});

/// Rate limit for log lines about events that a peer can cause repeatedly. Thread-safe.
class LogLimiter {
public:
    explicit LogLimiter(int linesPerSecond = 5)
        : linesPerSecond(linesPerSecond)
    {
    }

    /// Returns the number of lines suppressed since the last line that was written; empty when none may be written now.
    std::optional<std::uint64_t> take();

private:
    const int linesPerSecond;
    std::mutex mutex;
    TimePoint windowStart {};
    int lines = 0;
    std::uint64_t suppressed = 0;
};

/// Sets the minimum level that is written, the name of the process and the destination.
void configureLog(LogLevel minLevel, std::string processName, LogSink sink = LogSink::StandardError);
/// Waits until the queued lines are written, for at most `limit`.
void flushLog(Milliseconds limit);
/// Returns the level with this name, or `Info`.
LogLevel logLevelFromString(std::string_view name);

/// Counters, gauges and distributions of a process, sharded by name. Thread-safe.
class Metrics {
public:
    Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;
    ~Metrics();

    /// Adds `amount` to a counter. `name` may carry labels: `refusals{kind="rate_exceeded"}`.
    void count(const std::string& name, double amount = 1);
    /// Sets a gauge.
    void set(const std::string& name, double value);
    /// Adds a sample to a distribution, reported as count, mean, p50, p95, p99 and maximum.
    void observe(const std::string& name, double value);
    /// Returns all metrics in the Prometheus text format.
    std::string toText() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace peridotramp

template <> struct std::is_error_code_enum<peridotramp::ErrorKind> : std::true_type { };

template <typename Tag> struct std::hash<peridotramp::Id<Tag>> {
    std::size_t operator()(peridotramp::Id<Tag> id) const noexcept { return std::hash<std::uint64_t>()(id.value); }
};
