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
    std::deque<Version> all {};
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
            return exchange.respond(errorAnswer(404, "use /instances"));
        if (request.method == "GET")
            return exchange.respond(this->shown());
        if (request.method != "POST")
            return exchange.respond(errorAnswer(405, "use GET or POST"));
        const auto object = parseObject(request.body);
        if (!object || textOf(*object, "name", "").empty())
            return exchange.respond(errorAnswer(400, "the request body must be a JSON object with a name"));
        const auto state = textOf(*object, "state", "live");
        if (!std::set<std::string> { "live", "leaving", "gone" }.contains(state))
            return exchange.respond(errorAnswer(400, "state must be live, leaving or gone"));
        this->change(*object, state);
        exchange.respond(jsonAnswer(200, { { "accepted", true } }));
    }

private:
    void change(const json::object& object, const std::string& state)
    {
        this->versions.with(0, [&](Versions& versions) {
            const auto now = RuntimeClock::now();
            auto instances = versions.all.empty() ? Instances {} : versions.all.back().instances;
            const auto name = textOf(object, "name", "");
            if (state == "gone") {
                instances.erase(name);
            } else {
                auto& instance = instances[name];
                for (const auto& entry : object)
                    instance[entry.key()] = entry.value();
                instance["state"] = state;
            }
            versions.all.push_back({ now, std::move(instances) });
            // Drops versions older than the newest visible one; they cannot be requested any more.
            while (versions.all.size() > 1 && now - versions.all[1].since >= Milliseconds(this->lagMs))
                versions.all.pop_front();
        });
    }

    HttpResponse shown()
    {
        json::array list;
        this->versions.with(0, [&](const Versions& versions) {
            const auto now = RuntimeClock::now();
            const auto version = std::find_if(versions.all.rbegin(), versions.all.rend(),
                [&](const Version& each) { return now - each.since >= Milliseconds(this->lagMs); });
            if (version == versions.all.rend())
                return;
            for (const auto& [name, instance] : version->instances)
                list.push_back(instance);
        });
        return jsonAnswer(200, { { "instances", std::move(list) } });
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
