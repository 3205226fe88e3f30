#pragma once

#include "peridotramp/core.h"

namespace peridotramp {

/// One whole event of a `text/event-stream`.
struct StreamEvent {
    /// The bytes of the event with the empty line that ends it.
    std::string bytes;
    /// Content of its data lines, joined by line feeds.
    std::string data;
    /// Value of its id line; empty when it has none.
    std::string id;
};

/// Splits a byte stream into whole events. A part of an event is held back until the rest arrives.
class EventSplitter {
public:
    struct Limits {
        /// An endpoint in trouble may send an event without end.
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

    /// Adds bytes and returns the events that they complete. After an event beyond the limit nothing comes out any
    /// more.
    std::vector<StreamEvent> add(std::string_view bytes);
    /// Returns whether bytes of an incomplete event are held.
    bool hasPartialEvent() const { return !this->pending.empty(); }
    /// Returns whether an event has exceeded the limit.
    bool isTooLarge() const { return this->tooLarge; }
    void reset();

private:
    // Returns the end of the next event in `pending`, behind its empty line; 0 when it is incomplete.
    std::size_t nextEnd();

    Limits limits;
    std::string pending;
    // Start of the first line of `pending` that has not been looked at, and of the bytes of it that have not been.
    std::size_t lineStart = 0;
    std::size_t searchFrom = 0;
    bool tooLarge = false;
};

} // namespace peridotramp
