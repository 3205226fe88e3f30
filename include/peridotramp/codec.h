#pragma once

#include "peridotramp/configuration.h"
#include "peridotramp/core.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <sstream>

// Serialization with cereal of the types shared by several wire formats. Decision libraries do not include this header.

namespace peridotramp {

template <typename Archive, typename Tag> void serialize(Archive& archive, Id<Tag>& id) { archive(id.value); }

template <typename Archive, typename Tag> void serialize(Archive& archive, Quantity<Tag>& quantity)
{
    archive(quantity.value);
}

template <typename Archive> void serialize(Archive& archive, Digest& digest) { archive(digest.bytes); }

template <typename Archive> void serialize(Archive& archive, Address& address) { archive(address.host, address.port); }

template <typename Archive> void serialize(Archive& archive, Error& error)
{
    archive(error.kind, error.outcome, error.detail, error.retryAfter);
}

template <typename Archive> void serialize(Archive& archive, ConfigurationChange& change)
{
    archive(change.changeId, change.team, change.baseVersion, change.text);
}

template <typename Archive> void serialize(Archive& archive, RepublishedDocument& document)
{
    archive(document.team, document.version, document.text);
}

/// cereal archive that reads the portable binary format from a view and limits what a forged length can allocate:
/// strings and numbers must not exceed the rest of the input, and vectors grow as their elements are read.
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision> {
public:
    explicit BoundedInputArchive(std::string_view bytes)
        : InputArchive(this)
        , rest(bytes)
    {
        // The first byte of the format is the byte order; all supported machines are little-endian.
        std::uint8_t littleEndian = 0;
        this->loadBytes(&littleEndian, sizeof(littleEndian));
        if (littleEndian != 1)
            throw cereal::Exception("unexpected byte order");
    }

    void loadBytes(void* target, std::size_t size)
    {
        this->requireBytes(size);
        std::memcpy(target, this->rest.data(), size);
        this->rest.remove_prefix(size);
    }

    void requireBytes(std::size_t size) const
    {
        if (size > this->rest.size())
            throw cereal::Exception("truncated input");
    }

    std::size_t remaining() const { return this->rest.size(); }

private:
    std::string_view rest;
};

/// Encodes a value in cereal's portable binary format.
template <typename Value> std::string encodeBinary(const Value& value)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(value);
    return std::move(stream).str();
}

/// Decodes a value. Errors: `MalformedFrame` when the bytes are truncated, too long or not a value of this type.
template <typename Value> Result<Value> decodeBinary(std::string_view bytes)
{
    Value value {};
    try {
        BoundedInputArchive archive(bytes);
        archive(value);
        if (archive.remaining() > 0)
            return Error { ErrorKind::MalformedFrame };
    } catch (const cereal::Exception&) {
        return Error { ErrorKind::MalformedFrame };
    }
    return value;
}

} // namespace peridotramp

namespace cereal {

template <typename Number, std::enable_if_t<std::is_arithmetic_v<Number>, int> = 0>
void load(peridotramp::BoundedInputArchive& archive, Number& number)
{
    if constexpr (std::is_same_v<Number, bool>) {
        // Any other byte than 0 or 1 would be an invalid bool.
        std::uint8_t byte = 0;
        archive.loadBytes(&byte, sizeof(byte));
        number = byte != 0;
    } else
        archive.loadBytes(&number, sizeof(number));
}

template <typename Value> void serialize(peridotramp::BoundedInputArchive& archive, NameValuePair<Value>& pair)
{
    archive(pair.value);
}

template <typename Size> void serialize(peridotramp::BoundedInputArchive& archive, SizeTag<Size>& tag)
{
    archive(tag.size);
    archive.requireBytes(static_cast<std::size_t>(tag.size));
}

template <typename Value> void load(peridotramp::BoundedInputArchive& archive, BinaryData<Value>& data)
{
    archive.loadBytes(data.data, static_cast<std::size_t>(data.size));
}

template <typename Value, typename Allocator, std::enable_if_t<!std::is_arithmetic_v<Value>, int> = 0>
void load(peridotramp::BoundedInputArchive& archive, std::vector<Value, Allocator>& values)
{
    size_type size = 0;
    archive(make_size_tag(size));
    values.clear();
    for (size_type index = 0; index < size; ++index) {
        Value value {};
        archive(value);
        values.push_back(std::move(value));
    }
}

template <typename Archive, typename Rep, typename Period>
void save(Archive& archive, const std::chrono::duration<Rep, Period>& duration)
{
    archive(static_cast<std::int64_t>(duration.count()));
}

template <typename Archive, typename Rep, typename Period>
void load(Archive& archive, std::chrono::duration<Rep, Period>& duration)
{
    std::int64_t count = 0;
    archive(count);
    duration = std::chrono::duration<Rep, Period>(count);
}

} // namespace cereal

// Minimal serialization looks for the output counterpart of an input archive.
template <> struct cereal::traits::detail::get_output_from_input<peridotramp::BoundedInputArchive> {
    using type = cereal::PortableBinaryOutputArchive;
};
