#include "recordcodec_p.h"

#include <cereal/archives/portable_binary.hpp>
#include <sstream>
#include <streambuf>

// cereal finds these functions by argument-dependent lookup. Containers are read element by element against the bytes
// that are left, because cereal's own readers allocate what a length field claims.
namespace peridotramp {

namespace {

constexpr std::uint8_t formatVersion = 1;
/// Smallest encoding of any element of a list, by which a claimed count is checked before memory is taken.
constexpr std::size_t smallestElement = 8;

struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Read-only stream buffer over bytes that outlive it.
class ViewBuffer : public std::streambuf {
public:
    explicit ViewBuffer(std::string_view bytes)
    {
        auto* begin = const_cast<char*>(bytes.data());
        this->setg(begin, begin, begin + bytes.size());
    }
    std::size_t left() const { return static_cast<std::size_t>(this->egptr() - this->gptr()); }
};

class Writer {
public:
    static constexpr bool isReader = false;

    Writer()
        : archive(this->stream)
    {
    }
    template <typename Number> void number(const Number& value) { this->archive(value); }
    void text(const std::string& value)
    {
        this->archive(static_cast<std::uint64_t>(value.size()));
        this->archive(cereal::binary_data(value.data(), value.size()));
    }
    template <typename Element, typename Function> void list(const std::vector<Element>& values, Function function)
    {
        this->archive(static_cast<std::uint64_t>(values.size()));
        for (const auto& value : values)
            function(const_cast<Element&>(value));
    }
    std::string take() { return std::move(this->stream).str(); }

private:
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive;
};

class Reader {
public:
    static constexpr bool isReader = true;

    explicit Reader(std::string_view bytes)
        : buffer(bytes)
        , stream(&this->buffer)
        , archive(this->stream)
    {
    }
    template <typename Number> void number(Number& value) { this->archive(value); }
    void text(std::string& value)
    {
        value.resize(this->length(1));
        this->archive(cereal::binary_data(value.data(), value.size()));
    }
    template <typename Element, typename Function> void list(std::vector<Element>& values, Function function)
    {
        const auto count = this->length(smallestElement);
        for (std::size_t index = 0; index < count; ++index)
            function(values.emplace_back());
    }
    std::size_t left() const { return this->buffer.left(); }

private:
    std::size_t length(std::size_t elementBytes)
    {
        std::uint64_t length = 0;
        this->archive(length);
        if (length > this->buffer.left() / elementBytes)
            throw Malformed("a length exceeds the frame");
        return static_cast<std::size_t>(length);
    }

    ViewBuffer buffer;
    std::istream stream;
    cereal::PortableBinaryInputArchive archive;
};

template <typename Codec, typename Tag> void code(Codec& codec, Id<Tag>& id) { codec.number(id.value); }
template <typename Codec, typename Tag> void code(Codec& codec, Quantity<Tag>& amount) { codec.number(amount.value); }
template <typename Codec> void code(Codec& codec, std::string& text) { codec.text(text); }

template <typename Codec> void code(Codec& codec, Milliseconds& duration)
{
    std::int64_t count = duration.count();
    codec.number(count);
    duration = Milliseconds(count);
}

template <typename Codec> void code(Codec& codec, Digest& digest)
{
    for (auto& byte : digest.bytes)
        codec.number(byte);
}

template <typename Codec> void code(Codec& codec, bool& flag)
{
    auto byte = static_cast<std::uint8_t>(flag);
    codec.number(byte);
    if (byte > 1)
        throw Malformed("a flag is out of range");
    flag = byte == 1;
}

template <typename Codec, typename Enum>
    requires std::is_enum_v<Enum>
void code(Codec& codec, Enum& value)
{
    auto byte = static_cast<std::uint8_t>(value);
    codec.number(byte);
    if (byte >= static_cast<std::uint8_t>(Enum::Count))
        throw Malformed("an enumerator is out of range");
    value = static_cast<Enum>(byte);
}

template <typename Codec, typename... Fields> void codeAll(Codec& codec, Fields&... fields)
{
    (code(codec, fields), ...);
}

template <typename Codec, typename Element> void code(Codec& codec, std::vector<Element>& values)
{
    codec.list(values, [&codec](Element& value) { code(codec, value); });
}

template <typename Codec, typename Value> void code(Codec& codec, std::optional<Value>& value)
{
    bool present = value.has_value();
    code(codec, present);
    if (!present)
        return;
    if (!value)
        value.emplace();
    code(codec, *value);
}

template <typename Codec> void code(Codec& codec, Spending& r) { codeAll(codec, r.tokens, r.calls); }
template <typename Codec> void code(Codec& codec, Budget& r) { codeAll(codec, r.tokens, r.calls, r.wallTime, r.depth); }
template <typename Codec> void code(Codec& codec, Turn& r) { codeAll(codec, r.call, r.input, r.output); }
template <typename Codec> void code(Codec& codec, Claim& r) { codeAll(codec, r.call, r.attempt, r.closed); }

template <typename Codec> void code(Codec& codec, OwnershipRecord& r)
{
    codeAll(codec, r.node, r.incarnation, r.electorate);
}
template <typename Codec> void code(Codec& codec, HandoverRecord& r) { codeAll(codec, r.node, r.state); }
template <typename Codec> void code(Codec& codec, ProgramBegun& r)
{
    codeAll(codec, r.program, r.workspace, r.parent, r.budget, r.reserved, r.began);
}
template <typename Codec> void code(Codec& codec, TurnCommitted& r)
{
    codeAll(codec, r.program, r.turn, r.call, r.digest, r.input, r.output);
}
template <typename Codec> void code(Codec& codec, CallClaimed& r) { codeAll(codec, r.program, r.call, r.attempt); }
template <typename Codec> void code(Codec& codec, CallFinished& r)
{
    codeAll(codec, r.program, r.call, r.attempt, r.outcome);
}
template <typename Codec> void code(Codec& codec, BudgetReserved& r) { codeAll(codec, r.program, r.reserved); }
template <typename Codec> void code(Codec& codec, ProgramEnded& r) { codeAll(codec, r.program, r.reason, r.spent); }
template <typename Codec> void code(Codec& codec, ProgramCheckpoint& r)
{
    codeAll(codec, r.begun, r.turns, r.digest, r.claims, r.ended, r.written);
}

template <std::size_t index = 0> PartitionRecord emptyRecord(std::uint8_t wanted)
{
    if constexpr (index == std::variant_size_v<PartitionRecord>)
        throw Malformed("a record kind is out of range");
    else
        return wanted == index ? PartitionRecord(std::in_place_index<index>) : emptyRecord<index + 1>(wanted);
}

template <typename Codec> void code(Codec& codec, PartitionRecord& record)
{
    auto kind = static_cast<std::uint8_t>(record.index());
    codec.number(kind);
    if constexpr (Codec::isReader)
        record = emptyRecord(kind);
    std::visit([&codec](auto& each) { code(codec, each); }, record);
}

template <typename Codec> void code(Codec& codec, RecordGroup& group)
{
    auto version = formatVersion;
    codec.number(version);
    if (version != formatVersion)
        throw Malformed("unknown format version");
    codeAll(codec, group.appendId, group.epoch, group.records);
}

Error malformed(std::string detail) { return { ErrorKind::MalformedFrame, Outcome::Unknown, std::move(detail) }; }

} // namespace

std::string encodeRecordGroup(const RecordGroup& group)
{
    Writer writer;
    // One function describes both directions; the writer only reads the fields.
    code(writer, const_cast<RecordGroup&>(group));
    return writer.take();
}

Result<RecordGroup> decodeRecordGroup(std::string_view bytes)
{
    if (bytes.size() > maxRecordBytes)
        return malformed("the group is too long");
    try {
        Reader reader(bytes);
        RecordGroup group;
        code(reader, group);
        if (reader.left() > 0)
            return malformed("bytes follow the group");
        return group;
    } catch (const std::exception& failure) {
        return malformed(failure.what());
    }
}

} // namespace peridotramp
