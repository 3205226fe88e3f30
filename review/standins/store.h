// Stand-in of the platform's store in its form "log": append, read and newest, keyed topics, a history that expires.
#pragma once

#include "net.h"

#include <condition_variable>
#include <deque>

namespace review {

inline std::string base64(std::string_view bytes)
{
    constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        const auto size = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t index = 0; index < 3; ++index)
            group = group << 8U | (index < size ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        for (std::size_t index = 0; index < 4; ++index)
            text.push_back(index <= size ? letters[group >> (18 - 6 * index) & 63U] : '=');
    }
    return text;
}

inline std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int index = bytes - 1; index >= 0; --index)
        text.push_back(static_cast<char>(number >> (8 * index) & 255U));
    return text;
}

class Store {
public:
    struct Entry {
        std::string key;
        std::string value;
    };
    struct Append {
        std::string topic;
        int part = 0;
        std::vector<Entry> entries;
    };
    // What happens to an append: it is done and answered, or done after `delay` and not answered.
    struct Fate {
        bool isAnswered = true;
        Millis delay { 0 };
    };

    explicit Store(const std::string& ip, Millis retention)
        : retention(retention)
        , listener(ip, 0, [this](Channel& channel) { this->serve(channel); })
        , port(this->listener.port)
    {
    }

    // Writes as the operator and the runners do.
    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        this->run({ topic, 0, { { key, value } } });
    }

    // Set before the first process starts; called with each append of the system.
    std::function<Fate(const Append&)> onAppend;
    // Whether the store is down: it does nothing with a request and answers nobody.
    std::atomic<bool> isSilent = false;

private:
    struct Record {
        Entry entry;
        Clock::time_point at;
    };
    struct Partition {
        std::uint64_t first = 0;
        std::deque<Record> records;
        // Offset and entry of the newest record of each key.
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
        std::uint64_t end() const { return this->first + this->records.size(); }
    };

    std::uint64_t run(const Append& append)
    {
        const std::scoped_lock lock(this->mutex);
        auto& partition = this->partitions[{ append.topic, append.part }];
        const auto offset = partition.end();
        for (const auto& entry : append.entries) {
            if (entry.value.empty())
                partition.newest.erase(entry.key);
            else
                partition.newest[entry.key] = { partition.end(), entry.value };
            partition.records.push_back({ entry, Clock::now() });
        }
        this->changed.notify_all();
        return offset;
    }

    void expire(Partition& partition) const
    {
        while (!partition.records.empty() && partition.records.front().at + this->retention < Clock::now()) {
            partition.records.pop_front();
            ++partition.first;
        }
    }

    void serve(Channel& channel)
    {
        const auto never = Clock::now() + std::chrono::hours(1);
        while (auto request = channel.read(never)) {
            // A store that is down does nothing with a request, and the channel returns nothing further.
            if (this->isSilent) {
                while (!channel.isClosed())
                    std::this_thread::sleep_for(Millis(20));
                return;
            }
            std::this_thread::sleep_for(Millis(2));
            std::string answer;
            const auto path = request->path();
            if (path == "/v1/log-append")
                answer = this->append(*request);
            else if (path == "/v1/log-read")
                answer = this->read(*request);
            else if (path == "/v1/log-newest")
                answer = this->listNewest(*request);
            else
                answer = reply(404, "", "");
            // A channel on which a response is lost returns nothing further.
            if (answer.empty()) {
                while (!channel.isClosed())
                    std::this_thread::sleep_for(Millis(20));
                return;
            }
            if (!channel.send(answer))
                return;
        }
    }

    std::string append(const Message& request)
    {
        Append append { request.query("topic"), std::atoi(request.query("part").c_str()), {} };
        std::string_view bytes = request.body;
        while (bytes.size() >= 4) {
            std::size_t size = 0;
            for (int index = 0; index < 4; ++index)
                size = size << 8U | static_cast<unsigned char>(bytes[static_cast<std::size_t>(index)]);
            if (bytes.size() < 4 + size || size == 0)
                return reply(400, "", "");
            const auto record = bytes.substr(4, size);
            const auto keySize = static_cast<std::size_t>(static_cast<unsigned char>(record[0]));
            append.entries.push_back(
                { std::string(record.substr(1, keySize)), std::string(record.substr(1 + keySize)) });
            bytes.remove_prefix(4 + size);
        }
        const auto fate = this->onAppend ? this->onAppend(append) : Fate {};
        if (!fate.isAnswered) {
            std::thread([this, append, delay = fate.delay] {
                std::this_thread::sleep_for(delay);
                this->run(append);
            }).detach();
            return {};
        }
        const auto offset = this->run(append);
        return reply(200, "Content-Type: application/json\r\n",
            "{\"offset\":" + std::to_string(offset) + ",\"end\":" + std::to_string(offset + append.entries.size())
                + "}");
    }

    std::string read(const Message& request)
    {
        const auto from = static_cast<std::uint64_t>(std::atoll(request.query("from").c_str()));
        const auto until = Clock::now() + Millis(std::atoi(request.query("waitMs").c_str()));
        std::unique_lock lock(this->mutex);
        auto& partition = this->partitions[{ request.query("topic"), std::atoi(request.query("part").c_str()) }];
        while (partition.end() <= from && Clock::now() < until)
            this->changed.wait_until(lock, until);
        this->expire(partition);
        if (from < partition.first)
            return reply(
                410, "Content-Type: application/json\r\n", "{\"first\":" + std::to_string(partition.first) + "}");
        std::string body = bigEndian(partition.end(), 8) + bigEndian(partition.first, 8);
        for (auto offset = from; offset < partition.end() && body.size() < 1'000'000; ++offset) {
            const auto& entry = partition.records[offset - partition.first].entry;
            body += bigEndian(1 + entry.key.size() + entry.value.size(), 4);
            body.push_back(static_cast<char>(entry.key.size()));
            body += entry.key + entry.value;
        }
        return reply(200, "Content-Type: application/octet-stream\r\n", body);
    }

    std::string listNewest(const Message& request)
    {
        constexpr std::size_t pageRecords = 500;
        constexpr std::size_t pageBytes = 700'000;
        auto after = request.query("after");
        for (auto at = after.find('%'); at != std::string::npos; at = after.find('%', at + 1))
            after.replace(at, 3, 1, static_cast<char>(std::stoi(after.substr(at + 1, 2), nullptr, 16)));
        const std::scoped_lock lock(this->mutex);
        auto& partition = this->partitions[{ request.query("topic"), std::atoi(request.query("part").c_str()) }];
        std::string items;
        std::size_t count = 0;
        auto next = after.empty() ? partition.newest.begin() : partition.newest.upper_bound(after);
        for (; next != partition.newest.end() && count < pageRecords && items.size() < pageBytes; ++next, ++count)
            items += std::string(items.empty() ? "" : ",") + R"({"key":")" + next->first + R"(","value":")"
                + base64(next->second.second) + R"(","offset":)" + std::to_string(next->second.first) + "}";
        return reply(200, "Content-Type: application/json\r\n",
            "{\"items\":[" + items + "],\"morePages\":" + (next == partition.newest.end() ? "false" : "true")
                + ",\"end\":" + std::to_string(partition.end()) + "}");
    }

    Millis retention;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::pair<std::string, int>, Partition> partitions;
    Listener listener;

public:
    int port;
};

} // namespace review
