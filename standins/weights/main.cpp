#include "../standin.h"

using namespace standin;

namespace {

constexpr Milliseconds sendInterval { 20 };
constexpr std::int64_t maxDownloadBytes = std::int64_t { 1 } << 32;

struct Download {
    HttpExchange exchange {};
    std::int64_t remainingBytes = 0;
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
            return exchange.respond(errorResponse(404, "use GET /weights/NAME?bytes=N"));
        const auto text = request.query("bytes").value_or("0");
        auto download = std::make_shared<Download>();
        std::from_chars(text.data(), text.data() + text.size(), download->remainingBytes);
        if (download->remainingBytes < 1 || download->remainingBytes > maxDownloadBytes)
            return exchange.respond(errorResponse(400, "bytes must be from 1 to 4294967296"));
        download->exchange = exchange;
        exchange.startStream({ 200, { { "Content-Type", "application/octet-stream" } }, {} });
        ++this->activeDownloads;
        this->sendChunk(download);
    }

private:
    // Sends the bytes of one interval. Active downloads share the rate equally.
    void sendChunk(const std::shared_ptr<Download>& download)
    {
        const auto share
            = this->bytesPerSecond * sendInterval.count() / 1000 / std::max(1, this->activeDownloads.load());
        const auto size = std::min(std::max<std::int64_t>(1, share), download->remainingBytes);
        download->remainingBytes -= size;
        const auto isConnected = download->exchange.write(std::string(static_cast<std::size_t>(size), '\0'));
        if (isConnected && download->remainingBytes > 0) {
            this->process.eventLoop().after(sendInterval, [this, download] { this->sendChunk(download); });
            return;
        }
        --this->activeDownloads;
        download->exchange.finish();
    }

    StandIn& process;
    std::int64_t bytesPerSecond = 100'000'000;
    std::atomic<int> activeDownloads = 0;
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
