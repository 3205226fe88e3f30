#include "../standin.h"

#include <deque>

using namespace standin;

namespace {

struct Record {
    std::string data;
    TimePoint appended;
};

/// Retained records of one stream; `first` is the offset of the first one.
struct Stream {
    std::deque<Record> records {};
    std::uint64_t first = 0;

    std::uint64_t next() const { return this->first + this->records.size(); }
};

using Streams = std::map<std::string, Stream>;

struct Settings {
    std::size_t retainRecords = 0;
    std::int64_t retainMs = 0;
    double appendsPerSecond = 0;
};

/// Faults, rate limit and counters of appends.
struct AppendControl {
    std::int64_t responsesToDrop = 0;
    Milliseconds appendDelay { 0 };
    double appendsPerSecond = 0;
    // Token bucket of the append rate. The initial value stands for a full bucket of any capacity: each append first
    // lowers it to the capacity, which follows from the rate.
    double bucketTokens = std::numeric_limits<double>::max();
    TimePoint lastRefill {};
    std::int64_t appends = 0;
    std::int64_t refusedAppends = 0;
    std::int64_t droppedResponses = 0;
};

/// Outcome of one append.
enum class AppendOutcome : std::uint8_t { Accepted, ResponseDropped, Refused, Count };

constexpr std::size_t defaultReadLimit = 1000;

class LogService {
public:
    explicit LogService(StandIn& process)
        : process(process)
    {
        process.options().add_option(
            "--retain-records", this->settings.retainRecords, "Maximum records per stream; 0 for no limit");
        process.options().add_option("--retain-ms", this->settings.retainMs, "Maximum age of records; 0 for no limit");
        process.options().add_option(
            "--appends-per-second", this->settings.appendsPerSecond, "Rate limit of all streams together; 0 for none");
    }

    void serve(const HttpRequest& request, const HttpExchange& exchange)
    {
        constexpr std::string_view prefix = "/streams/";
        constexpr std::string_view suffix = "/records";
        const auto path = request.path();
        if (!path.starts_with(prefix) || !path.ends_with(suffix) || path.size() <= prefix.size() + suffix.size())
            return exchange.respond(errorResponse(404, "use /streams/NAME/records"));
        const std::string name(path.substr(prefix.size(), path.size() - prefix.size() - suffix.size()));
        if (request.method == "POST")
            return this->append(name, request, exchange);
        if (request.method == "GET")
            return exchange.respond(this->read(name, request));
        exchange.respond(errorResponse(405, "use GET or POST"));
    }

    void reportState(json::object& object)
    {
        json::object streamRanges;
        this->streams.forEach([&](Streams& shard) {
            for (auto& [name, stream] : shard) {
                this->dropExpired(stream);
                streamRanges[name] = json::object { { "first", stream.first }, { "next", stream.next() } };
            }
        });
        object["streams"] = std::move(streamRanges);
        this->appendControl.with(0, [&](const AppendControl& current) {
            object["appends"] = current.appends;
            object["refused_appends"] = current.refusedAppends;
            object["answers_lost"] = current.droppedResponses;
        });
    }

    void setFaults(const json::object& object)
    {
        this->appendControl.with(0, [&](AppendControl& current) {
            current.responsesToDrop = integerField(object, "lose_answers", current.responsesToDrop);
            current.appendDelay = Milliseconds(integerField(object, "append_delay_ms", current.appendDelay.count()));
            current.appendsPerSecond = static_cast<double>(
                integerField(object, "appends_per_second", static_cast<std::int64_t>(current.appendsPerSecond)));
        });
    }

private:
    void dropExpired(Stream& stream) const
    {
        const auto age = Milliseconds(this->settings.retainMs);
        const auto now = RuntimeClock::now();
        const auto expired = [&] {
            if (this->settings.retainRecords > 0 && stream.records.size() > this->settings.retainRecords)
                return true;
            return age.count() > 0 && now - stream.records.front().appended > age;
        };
        while (!stream.records.empty() && expired()) {
            stream.records.pop_front();
            ++stream.first;
        }
    }

    // The rate limit is a token bucket with a capacity of 100 ms of appends, at least one.
    bool takeToken(AppendControl& current) const
    {
        const auto rate = current.appendsPerSecond > 0 ? current.appendsPerSecond : this->settings.appendsPerSecond;
        if (rate <= 0)
            return true;
        const auto now = RuntimeClock::now();
        const auto seconds = std::chrono::duration<double>(now - current.lastRefill).count();
        current.bucketTokens = std::min(std::max(1.0, rate / 10), current.bucketTokens + seconds * rate);
        current.lastRefill = now;
        if (current.bucketTokens < 1)
            return false;
        current.bucketTokens -= 1;
        return true;
    }

    AppendOutcome admitAppend(AppendControl& current) const
    {
        if (!this->takeToken(current)) {
            ++current.refusedAppends;
            return AppendOutcome::Refused;
        }
        ++current.appends;
        if (current.responsesToDrop == 0)
            return AppendOutcome::Accepted;
        --current.responsesToDrop;
        ++current.droppedResponses;
        return AppendOutcome::ResponseDropped;
    }

    void append(const std::string& name, const HttpRequest& request, const HttpExchange& exchange)
    {
        if (!request.header("Append-Id"))
            return exchange.respond(errorResponse(400, "the header Append-Id is required"));
        Milliseconds delay { 0 };
        const auto outcome = this->appendControl.with(0, [&](AppendControl& current) {
            delay = current.appendDelay;
            return this->admitAppend(current);
        });
        if (outcome == AppendOutcome::Refused)
            return exchange.respond(errorResponse(429, "append rate limit exceeded; retry later"));
        const auto offset = this->streams.with(hashBytes(name), [&](Streams& shard) {
            auto& stream = shard[name];
            stream.records.push_back({ request.body, RuntimeClock::now() });
            const auto last = stream.next() - 1;
            this->dropExpired(stream);
            return last;
        });
        if (outcome == AppendOutcome::ResponseDropped)
            return exchange.abort();
        const auto response = objectResponse(200, { { "offset", offset } });
        if (delay.count() == 0)
            return exchange.respond(response);
        this->process.eventLoop().after(delay, [exchange, response] { exchange.respond(response); });
    }

    static std::uint64_t parseNumber(std::optional<std::string_view> text, std::uint64_t fallback)
    {
        std::uint64_t value = fallback;
        if (text)
            std::from_chars(text->data(), text->data() + text->size(), value);
        return value;
    }

    HttpResponse read(const std::string& name, const HttpRequest& request)
    {
        const auto from = parseNumber(request.query("from"), 0);
        const auto limit = parseNumber(request.query("limit"), defaultReadLimit);
        json::array records;
        json::object response;
        this->streams.with(hashBytes(name), [&](Streams& shard) {
            auto& stream = shard[name];
            this->dropExpired(stream);
            response["first"] = stream.first;
            response["next"] = stream.next();
            for (auto offset = std::max(from, stream.first); offset < stream.next() && records.size() < limit; ++offset)
                records.push_back(json::object {
                    { "offset", offset }, { "data", toBase64(stream.records[offset - stream.first].data) } });
        });
        response["records"] = std::move(records);
        return objectResponse(200, response);
    }

    StandIn& process;
    Settings settings {};
    Sharded<Streams> streams {};
    Sharded<AppendControl, 1> appendControl {};
};

} // namespace

/// Log service: append-only streams with offsets. Additional faults: `lose_answers` (number of appends that are stored,
/// but whose connection is closed without a response), `append_delay_ms` (delay between storing a record and the
/// response) and `appends_per_second` (replaces the rate limit of the command line).
int main(int argc, char** argv)
{
    StandIn process("log", "Stand-in for the log service");
    LogService service(process);
    Hooks hooks;
    hooks.serve = [&](const HttpRequest& request, const HttpExchange& exchange) { service.serve(request, exchange); };
    hooks.reportState = [&](json::object& object) { service.reportState(object); };
    hooks.setFaults = [&](const json::object& object) { service.setFaults(object); };
    return process.run(argc, argv, std::move(hooks));
}
