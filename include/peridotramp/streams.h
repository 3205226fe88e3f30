#pragma once

#include "peridotramp/core.h"

namespace peridotramp {

/// One complete event of a `text/event-stream`.
struct StreamEvent {
    /// The bytes of the event, including the empty line that ends it.
    std::string bytes;
    /// Content of its data lines, joined by line feeds.
    std::string data;
    /// Value of its id line; empty when it has none.
    std::string id;
};

/// Splits a byte stream into complete events. An incomplete event is buffered until the rest of it arrives.
class EventSplitter {
public:
    struct Limits {
        /// Bounds the buffer when a faulty endpoint sends an event that never ends.
        std::size_t maxEventBytes = std::size_t { 256 } * 1024;
    };

    EventSplitter()
        : EventSplitter(Limits {})
    {
    }
    explicit EventSplitter(Limits limits)
        : limits(limits)
    {
    }

    /// Adds bytes and returns the events that they complete. Returns no events after one has exceeded the limit, until
    /// `reset` is called.
    std::vector<StreamEvent> add(std::string_view bytes);
    /// Returns whether bytes of an incomplete event are buffered.
    bool hasPartialEvent() const { return !this->pending.empty(); }
    /// Returns whether an event has exceeded the limit.
    bool isTooLarge() const { return this->tooLarge; }
    void reset();

private:
    // Returns the offset in `pending` after the empty line that ends the next event; 0 when the event is incomplete.
    std::size_t findEventEnd();

    Limits limits;
    std::string pending;
    // Start of the first line of `pending` whose end has not been found, and of the bytes that have not been searched.
    std::size_t lineStart = 0;
    std::size_t searchFrom = 0;
    bool tooLarge = false;
};

} // namespace peridotramp
