#include "peridotramp/streams.h"

namespace peridotramp {

namespace {

std::string_view valueOf(std::string_view line, std::size_t colon)
{
    auto value = line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    return value;
}

StreamEvent parseEvent(std::string_view bytes)
{
    StreamEvent event { std::string(bytes), {}, {} };
    bool hasData = false;
    for (std::size_t start = 0; start < bytes.size();) {
        const auto end = bytes.find('\n', start);
        auto line = bytes.substr(start, end - start);
        start = end + 1;
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        const auto colon = line.find(':');
        if (colon == std::string_view::npos)
            continue;
        const auto field = line.substr(0, colon);
        if (field == "id")
            event.id = valueOf(line, colon);
        if (field != "data")
            continue;
        if (hasData)
            event.data.push_back('\n');
        event.data += valueOf(line, colon);
        hasData = true;
    }
    return event;
}

} // namespace

std::size_t EventSplitter::findEventEnd()
{
    while (true) {
        const auto lineFeed = this->pending.find('\n', this->searchFrom);
        if (lineFeed == std::string::npos) {
            this->searchFrom = this->pending.size();
            return 0;
        }
        const auto line = std::string_view(this->pending).substr(this->lineStart, lineFeed - this->lineStart);
        const bool isEmpty = line.empty() || line == "\r";
        this->lineStart = lineFeed + 1;
        this->searchFrom = this->lineStart;
        if (isEmpty)
            return this->lineStart;
    }
}

std::vector<StreamEvent> EventSplitter::add(std::string_view bytes)
{
    std::vector<StreamEvent> events;
    if (this->tooLarge)
        return events;
    this->pending += bytes;
    std::size_t begin = 0;
    for (auto end = this->findEventEnd(); end > 0; end = this->findEventEnd()) {
        if (end - begin > this->limits.maxEventBytes)
            break;
        events.push_back(parseEvent(std::string_view(this->pending).substr(begin, end - begin)));
        begin = end;
    }
    this->pending.erase(0, begin);
    this->lineStart -= begin;
    this->searchFrom -= begin;
    if (this->pending.size() > this->limits.maxEventBytes) {
        this->tooLarge = true;
        this->pending.clear();
    }
    return events;
}

void EventSplitter::reset()
{
    this->pending.clear();
    this->lineStart = 0;
    this->searchFrom = 0;
    this->tooLarge = false;
}

} // namespace peridotramp
