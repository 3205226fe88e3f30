#include "../standin.h"

#include <deque>

using namespace standin;

namespace {

using Instances = std::map<std::string, json::object>;

/// State of the list from `since` on.
struct Version {
    TimePoint since;
    Instances instances;
};

struct Versions {
    std::deque<Version> history {};
};

class InstanceList {
public:
    explicit InstanceList(StandIn& process)
    {
        process.options().add_option("--lag-ms", this->lagMs, "Delay before a change is visible");
    }

    void serve(const HttpRequest& request, const HttpExchange& exchange)
    {
        if (request.path() != "/instances")
            return exchange.respond(errorResponse(404, "use /instances"));
        if (request.method == "GET")
            return exchange.respond(this->listResponse());
        if (request.method != "POST")
            return exchange.respond(errorResponse(405, "use GET or POST"));
        const auto object = parseObject(request.body);
        if (!object || stringField(*object, "name", "").empty())
            return exchange.respond(errorResponse(400, "the request body must be a JSON object with a name"));
        const auto state = stringField(*object, "state", "live");
        if (!std::set<std::string> { "live", "leaving", "gone" }.contains(state))
            return exchange.respond(errorResponse(400, "state must be live, leaving or gone"));
        this->updateInstance(*object, state);
        exchange.respond(objectResponse(200, { { "accepted", true } }));
    }

private:
    void updateInstance(const json::object& object, const std::string& state)
    {
        this->versions.with(0, [&](Versions& versions) {
            const auto now = RuntimeClock::now();
            auto instances = versions.history.empty() ? Instances {} : versions.history.back().instances;
            const auto name = stringField(object, "name", "");
            if (state == "gone") {
                instances.erase(name);
            } else {
                auto& instance = instances[name];
                for (const auto& entry : object)
                    instance[entry.key()] = entry.value();
                instance["state"] = state;
            }
            versions.history.push_back({ now, std::move(instances) });
            // Drops versions older than the newest visible one; they cannot be requested any more.
            while (versions.history.size() > 1 && now - versions.history[1].since >= Milliseconds(this->lagMs))
                versions.history.pop_front();
        });
    }

    HttpResponse listResponse()
    {
        json::array list;
        this->versions.with(0, [&](const Versions& versions) {
            const auto now = RuntimeClock::now();
            const auto version = std::find_if(versions.history.rbegin(), versions.history.rend(),
                [&](const Version& candidate) { return now - candidate.since >= Milliseconds(this->lagMs); });
            if (version == versions.history.rend())
                return;
            for (const auto& [name, instance] : version->instances)
                list.push_back(instance);
        });
        return objectResponse(200, { { "instances", std::move(list) } });
    }

    std::int64_t lagMs = 0;
    Sharded<Versions, 1> versions {};
};

} // namespace

/// The platform's instance list. `POST /instances` with `name`, `state` (`live`, `leaving` or `gone`) and any other
/// keys adds, updates or removes an instance; `GET /instances` returns the list, with a delay of `--lag-ms`.
int main(int argc, char** argv)
{
    StandIn process("instances", "Stand-in for the platform's instance list");
    InstanceList list(process);
    Hooks hooks;
    hooks.serve = [&](const HttpRequest& request, const HttpExchange& exchange) { list.serve(request, exchange); };
    return process.run(argc, argv, std::move(hooks));
}
