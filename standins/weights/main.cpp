#include "../standin.h"

using namespace standin;

namespace {

constexpr Milliseconds step { 20 };
constexpr std::int64_t largestDownload = std::int64_t { 1 } << 32;

struct Download {
    HttpExchange exchange {};
    std::int64_t remaining = 0;
};

class WeightStore {
public:
    explicit WeightStore(StandIn& process)
        : process(process)
    {
        process.options().add_option("--bytes-per-second", this->bytesPerSecond, "Total rate of all downloads");
    }

    void serve(const HttpRequest& request, const HttpExchange& exchange)
    {
        if (request.method != "GET" || !request.path().starts_with("/weights/"))
            return exchange.respond(errorAnswer(404, "use GET /weights/NAME?bytes=N"));
        const auto text = request.query("bytes").value_or("0");
        auto download = std::make_shared<Download>();
        std::from_chars(text.data(), text.data() + text.size(), download->remaining);
        if (download->remaining < 1 || download->remaining > largestDownload)
            return exchange.respond(errorAnswer(400, "bytes must be from 1 to 4294967296"));
        download->exchange = exchange;
        exchange.startStream({ 200, { { "Content-Type", "application/octet-stream" } }, {} });
        ++this->active;
        this->send(download);
    }

private:
    // Sends the bytes of one interval. Active downloads share the rate equally.
    void send(const std::shared_ptr<Download>& download)
    {
        const auto share = this->bytesPerSecond * step.count() / 1000 / std::max(1, this->active.load());
        const auto size = std::min(std::max<std::int64_t>(1, share), download->remaining);
        download->remaining -= size;
        const auto goesOn = download->exchange.write(std::string(static_cast<std::size_t>(size), '\0'));
        if (goesOn && download->remaining > 0) {
            this->process.loop().after(step, [this, download] { this->send(download); });
            return;
        }
        --this->active;
        download->exchange.finish();
    }

    StandIn& process;
    std::int64_t bytesPerSecond = 100'000'000;
    std::atomic<int> active = 0;
};

} // namespace

/// Weight store with a limited rate: `GET /weights/NAME?bytes=N` returns N bytes.
int main(int argc, char** argv)
{
    StandIn process("weights", "Stand-in for the weight store");
    WeightStore store(process);
    Hooks hooks;
    hooks.serve = [&](const HttpRequest& request, const HttpExchange& exchange) { store.serve(request, exchange); };
    return process.run(argc, argv, std::move(hooks));
}
