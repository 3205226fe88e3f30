// A small deployment: instances of the system in three zones, started with the command and the settings template of the
// deploy file, one model runner, a desired state, and requesters.
#pragma once

#include "store.h"

#include <fstream>
#include <sstream>
#include <sys/prctl.h>

namespace review {

inline std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("cannot read " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// record.txt of a case.
class Record {
public:
    Record()
        : file(std::getenv("RECORD"))
    {
    }
    void write(const std::string& line)
    {
        const std::scoped_lock lock(this->mutex);
        const auto now = std::chrono::duration_cast<Millis>(Clock::now() - this->start).count();
        std::array<char, 32> time {};
        std::snprintf(time.data(), time.size(), "%8.3f ", static_cast<double>(now) / 1000);
        this->file << time.data() << line << std::endl;
    }
    double seconds() const { return std::chrono::duration<double>(Clock::now() - this->start).count(); }

private:
    std::mutex mutex;
    Clock::time_point start = Clock::now();
    std::ofstream file;
};

constexpr int tokensPerEvent = 23;

// A sound model runner. It generates the most tokens that a request allows, one event every `eventTime`.
class Runner {
public:
    Runner(Record& record, std::string id, const std::string& ip)
        : record(record)
        , id(std::move(id))
        , listener(ip, 0, [this](Channel& channel) { this->serve(channel); })
        , address(ip + ":" + std::to_string(this->listener.port))
    {
    }

    struct Run {
        std::string requestId;
        std::string body;
    };
    std::vector<Run> runsOf(const std::string& requestId)
    {
        const std::scoped_lock lock(this->mutex);
        std::vector<Run> found;
        std::ranges::copy_if(
            this->runs, std::back_inserter(found), [&](const Run& run) { return run.requestId == requestId; });
        return found;
    }

    std::atomic<int> eventTimeMs = 5;

private:
    void serve(Channel& channel)
    {
        const auto never = Clock::now() + std::chrono::hours(1);
        while (auto request = channel.read(never)) {
            const auto requestId = request->header("request-id");
            if (request->path() == "/health") {
                channel.send(reply(200, "Instance-Id: " + this->id + "\r\n", ""));
                continue;
            }
            const auto expected = request->header("expect-instance");
            if (!expected.empty() && expected != this->id) {
                channel.send(reply(421, "Instance-Id: " + this->id + "\r\nRequest-Id: " + requestId + "\r\n", ""));
                continue;
            }
            if (requestId.empty()) {
                channel.send(reply(400, "Not-Run: 1\r\n", ""));
                continue;
            }
            const auto tokens = request->header("token-count");
            const auto most = std::atoi(tokens.substr(tokens.find(',') + 1).c_str());
            const int events = std::max(1, most / tokensPerEvent);
            {
                const std::scoped_lock lock(this->mutex);
                this->runs.push_back({ requestId, request->body });
            }
            this->record.write("runner " + this->id + " runs " + requestId + " tenant " + request->header("tenant")
                + " body of " + std::to_string(request->body.size()) + " bytes, " + std::to_string(events) + " events");
            bool isOpen = channel.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " + requestId
                + "\r\nServer-Seal: seal-" + requestId + "\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int event = 1; isOpen && event <= events; ++event) {
                std::this_thread::sleep_for(Millis(this->eventTimeMs));
                const auto text
                    = "id: " + std::to_string(event) + "\ndata: " + requestId + "-" + std::to_string(event) + "\n\n";
                std::array<char, 16> size {};
                std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
                isOpen = !channel.isClosed() && channel.send(size.data() + text + "\r\n");
            }
            if (!isOpen || !channel.send("0\r\n\r\n")) {
                this->record.write("runner " + this->id + " stops " + requestId + ": its channel was closed");
                return;
            }
        }
    }

    Record& record;
    std::string id;
    std::mutex mutex;
    std::vector<Run> runs;
    Listener listener;

public:
    std::string address;
};

struct Turn {
    std::string requestId;
    std::string program;
    std::string previous;
    std::string input = "input\n";
    int budget = 0;
    int mostTokens = 5 * tokensPerEvent;
};

struct Answer {
    int status = 0;
    bool complete = false;
    int events = 0;
    std::string body;
    std::string retryAfter;
    // Answered with success and whole.
    bool isWhole() const { return this->status == 200 && this->complete; }
};

struct Instance {
    std::string name;
    std::string zone;
    std::string ip;
    int front = 0;
    int ready = 0;
    int peers = 0;
    std::string settings;
    std::string log;
    pid_t process = 0;
    bool wasStarted = false;
};

// Threads refer to a deployment, a store and a record until the process ends, so a case keeps them in static variables.
class Deployment {
public:
    struct Init {
        int perZone = 2;
        double retentionS = 60;
        std::vector<std::string> zones { "zone-a", "zone-b", "zone-c" };
    };

    Deployment(Record& record, Store& store, Init init)
        : record(record)
        , store(store)
        , init(std::move(init))
        , folder(std::getenv("WORK"))
        , runner(record, "i-runner-1", "127.0.0.1")
    {
        int number = 0;
        for (const auto& zone : this->init.zones) {
            for (int index = 1; index <= this->init.perZone; ++index) {
                Instance instance;
                instance.name = "front-" + zone + "-" + std::to_string(index);
                instance.zone = zone;
                instance.ip = "127.0.0." + std::to_string(11 + number++);
                instance.front = freePort(instance.ip);
                instance.ready = freePort(instance.ip);
                instance.peers = freePort(instance.ip);
                instance.settings = this->folder + "/" + instance.name + ".ini";
                instance.log = this->folder + "/" + instance.name + ".log";
                this->instances.push_back(instance);
            }
        }
        this->store.put("keyed.op", "config", this->desiredState());
        std::thread([this] { this->writeRunnerRecords(); }).detach();
        for (auto& instance : this->instances)
            this->start(instance);
    }

    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    std::vector<Instance*> inZone(const std::string& zone)
    {
        std::vector<Instance*> found;
        for (auto& instance : this->instances) {
            if (instance.zone == zone)
                found.push_back(&instance);
        }
        return found;
    }

    void start(Instance& instance)
    {
        std::ofstream(instance.settings) << this->settingsOf(instance);
        instance.wasStarted = true;
        instance.process = fork();
        if (instance.process == 0) {
            const int log = open(instance.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            // Ends with the thread that started it, which is the main thread, however that ends.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            setenv("PERIDOTRAMP_BOOT", instance.settings.c_str(), 1);
            execl("target/peridot-ingress", "target/peridot-ingress", nullptr);
            _exit(127);
        }
        this->record.write("platform starts " + instance.name);
    }

    void kill(Instance& instance)
    {
        if (instance.process <= 0)
            return;
        ::kill(instance.process, SIGKILL);
        waitpid(instance.process, nullptr, 0);
        instance.process = 0;
        this->record.write("platform kills " + instance.name);
    }

    // SIGTERM, and SIGKILL after the grace period.
    void stop(Instance& instance)
    {
        this->record.write("platform sends SIGTERM to " + instance.name);
        ::kill(instance.process, SIGTERM);
        for (const auto until = Clock::now() + std::chrono::seconds(8); Clock::now() < until;) {
            if (waitpid(instance.process, nullptr, WNOHANG) == instance.process) {
                instance.process = 0;
                this->record.write(instance.name + " has ended");
                return;
            }
            std::this_thread::sleep_for(Millis(20));
        }
        this->kill(instance);
    }

    bool isReady(const Instance& instance)
    {
        const auto channel = Channel::connect(instance.ip, instance.ready);
        if (!channel || !channel->send("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n"))
            return false;
        const auto answer = channel->read(Clock::now() + std::chrono::seconds(1));
        return answer && answer->status() == 200;
    }

    // Waits until all instances are ready; returns false when they are not after `limit`.
    bool awaitReady(Millis limit)
    {
        const auto until = Clock::now() + limit;
        while (!std::ranges::all_of(this->instances, [&](const Instance& one) { return this->isReady(one); })) {
            if (Clock::now() > until)
                return false;
            std::this_thread::sleep_for(Millis(50));
        }
        return true;
    }

    // One requester attempt.
    Answer send(const Instance& instance, const Turn& turn)
    {
        constexpr int deadlineMs = 4000;
        auto text = "POST /talk/turn HTTP/1.1\r\nHost: agents.example\r\nRequest-Id: " + turn.requestId
            + "\r\nAuthorization: Bearer key-of-tenant-1\r\nDeadline-Ms: " + std::to_string(deadlineMs)
            + "\r\nModel: m\r\nProgram-Id: " + turn.program + "\r\nSession-Id: s-" + turn.program
            + "\r\nFinish-Ms: 100000\r\nToken-Count: 100," + std::to_string(turn.mostTokens)
            + "\r\nContent-Length: " + std::to_string(turn.input.size()) + "\r\n";
        if (turn.budget > 0)
            text += "Token-Budget: " + std::to_string(turn.budget) + "\r\n";
        if (!turn.previous.empty())
            text += "Previous-Turn: " + turn.previous + "\r\n";
        text += "\r\n" + turn.input;
        Answer answer;
        const auto channel = Channel::connect(instance.ip, instance.front);
        if (channel && channel->send(text)) {
            const auto response = channel->read(Clock::now() + Millis(deadlineMs));
            if (response) {
                answer.status = response->status();
                answer.complete = response->complete;
                answer.body = response->body;
                answer.retryAfter = response->header("retry-after");
                for (auto at = answer.body.find("\n\n"); at != std::string::npos; at = answer.body.find("\n\n", at + 2))
                    answer.events += answer.status == 200 ? 1 : 0;
            }
        }
        this->record.write("requester sends " + turn.requestId + " to " + instance.name
            + (turn.previous.empty() ? "" : " after " + turn.previous) + ", answered " + std::to_string(answer.status)
            + (answer.isWhole()            ? " whole, " + std::to_string(answer.events) + " events"
                    : answer.status == 200 ? " cut off after " + std::to_string(answer.events) + " events"
                                           : std::string()));
        return answer;
    }

    Record& record;
    Store& store;
    Init init;
    std::string folder;
    Runner runner;
    std::vector<Instance> instances;

private:
    static void replace(std::string& text, const std::string& name, const std::string& value)
    {
        const auto placeholder = "{{" + name + "}}";
        for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder))
            text.replace(at, placeholder.size(), value);
    }

    // Fills in the template of the deploy file.
    std::string settingsOf(const Instance& instance) const
    {
        auto text = readFile("deploy/ingress.ini");
        const std::string begin = "{{#zones}}";
        const std::string end = "{{/zones}}";
        const auto first = text.find(begin);
        const auto last = text.find(end);
        std::string zones;
        for (const auto& zone : this->init.zones)
            zones += zone + "=region\n";
        text.replace(first, last + end.size() - first, zones);
        replace(text, "nodeName", instance.name);
        replace(text, "zone", instance.zone);
        replace(text, "limits.cpuShare", "0.5");
        replace(text, "bootstrap", instance.wasStarted ? "false" : "true");
        replace(text, "listen.front", instance.ip + ":" + std::to_string(instance.front));
        replace(text, "listen.ready", instance.ip + ":" + std::to_string(instance.ready));
        replace(text, "ip", instance.ip);
        replace(text, "portRange.0", std::to_string(instance.peers));
        replace(text, "provider.address", "127.0.0.1:" + std::to_string(this->store.port));
        replace(text, "provider.parts", "12");
        replace(text, "provider.recordBytes", "262144");
        replace(text, "provider.callBytes", "2097152");
        replace(text, "bounds.graceS", "8");
        replace(text, "bounds.quotaWindowS", "5");
        replace(text, "bounds.quotaOverrun", "0.1");
        replace(text, "bounds.quotaSlack", "20");
        if (text.find("{{") != std::string::npos)
            throw std::runtime_error("the template has a placeholder that this stand-in does not fill in");
        return text;
    }

    std::string desiredState() const
    {
        return R"({"version":7,"routes":[{"name":"r-talk","host":"agents.example","pathPrefix":"/talk/",)"
               R"("routeType":"stream","timeoutMs":4000,"sloMs":2000,"priority":0,"service":"models",)"
               R"("maxAttempts":2,"retainContext":true,"retentionS":)"
            + std::to_string(this->init.retentionS)
            + R"(,"public":false,"sticky":true,"resumable":false,"gapAimMs":400}],)"
              R"("services":[{"name":"models","healthPath":"/health","maxConns":180,"protocol":"h1","tls":false,)"
              R"("coldStartS":0.0,"coldPerS":0.0,"engine":{"slots":16,"kvCapacity":534013,"kvTokenBytes":18432,)"
              R"("linkMbps":740000.0,"moves":false,"backups":false,"tokensPerEvent":23,"most":12,"models":[{"name":)"
              R"("m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
              R"("idleTimeoutMs":15000},"tenants":[{"name":"tenant-1","apiKeys":["key-of-tenant-1"],"priority":0,)"
              R"("ratePerS":0,"burst":0}]})";
    }

    // The runner writes its record every 1.2 s.
    void writeRunnerRecords()
    {
        const auto born = std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch());
        for (int sequence = 1;; ++sequence) {
            this->store.put("keyed.servers", "i-runner-1",
                R"({"service":"models","address":")" + this->runner.address + R"(","zone":")" + this->init.zones.front()
                    + R"(","version":"v1","slots":16,"state":"ready","coldLeftMs":0,"stage":"both","models":[],"born":)"
                    + std::to_string(born.count()) + R"(,"sequence":)" + std::to_string(sequence) + "}");
            std::this_thread::sleep_for(Millis(1200));
        }
    }
};

// Ends the processes of a deployment.
class EndAll {
public:
    explicit EndAll(Deployment& deployment)
        : deployment(deployment)
    {
    }
    EndAll(const EndAll&) = delete;
    EndAll& operator=(const EndAll&) = delete;
    ~EndAll()
    {
        for (auto& instance : this->deployment.instances)
            this->deployment.kill(instance);
    }

private:
    Deployment& deployment;
};

// Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
inline int runCase(const std::function<int(Record&, bool)>& body)
{
    std::signal(SIGPIPE, SIG_IGN);
    static Record record;
    const char* trouble = std::getenv("TROUBLE");
    int result = 2;
    try {
        result = body(record, !trouble || std::string(trouble) != "0");
    } catch (const std::exception& error) {
        record.write(std::string("the case could not run: ") + error.what());
    }
    record.write(result == 1 ? "RULE BROKEN" : result == 0 ? "rule held" : "could not run");
    std::fflush(nullptr);
    // The threads of the stand-ins end with the process.
    std::_Exit(result);
}

} // namespace review
