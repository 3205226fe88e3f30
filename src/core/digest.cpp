#include "peridotramp/core.h"

#include <algorithm>
#include <openssl/evp.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace peridotramp {

namespace {

class Sha256 {
public:
    Sha256()
        : context(EVP_MD_CTX_new(), &EVP_MD_CTX_free)
    {
        EVP_DigestInit_ex(this->context.get(), EVP_sha256(), nullptr);
    }

    void update(std::string_view bytes) { EVP_DigestUpdate(this->context.get(), bytes.data(), bytes.size()); }

    Digest finish()
    {
        Digest digest;
        EVP_DigestFinal_ex(this->context.get(), digest.bytes.data(), nullptr);
        return digest;
    }

private:
    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context;
};

int hexValue(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return -1;
}

} // namespace

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string Digest::toHex() const
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(this->bytes.size() * 2);
    for (const auto byte : this->bytes) {
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

std::optional<Digest> Digest::fromHex(std::string_view text)
{
    Digest digest;
    if (text.size() != digest.bytes.size() * 2)
        return std::nullopt;
    for (std::size_t index = 0; index < digest.bytes.size(); ++index) {
        const auto high = hexValue(text[2 * index]);
        const auto low = hexValue(text[2 * index + 1]);
        if (high < 0 || low < 0)
            return std::nullopt;
        digest.bytes[index] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return digest;
}

Digest digestOf(std::initializer_list<std::string_view> parts)
{
    Sha256 hash;
    for (const auto part : parts) {
        const auto length = static_cast<std::uint64_t>(part.size());
        std::array<char, 8> encoded {};
        for (std::size_t index = 0; index < encoded.size(); ++index)
            encoded[index] = static_cast<char>(length >> (8 * index));
        hash.update({ encoded.data(), encoded.size() });
        hash.update(part);
    }
    return hash.finish();
}

Digest sha256(std::string_view bytes)
{
    Sha256 hash;
    hash.update(bytes);
    return hash.finish();
}

std::string toBase64(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const auto* input = reinterpret_cast<const unsigned char*>(bytes.data());
    const auto size
        = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), input, static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::string bytes(text.size() / 4 * 3, '\0');
    const auto* input = reinterpret_cast<const unsigned char*>(text.data());
    const auto size
        = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), input, static_cast<int>(text.size()));
    if (size < 0)
        return std::nullopt;
    // EVP_DecodeBlock includes the padding in the size of its output.
    const auto padding = static_cast<std::size_t>(
        std::ranges::count(text.substr(text.size() - std::min<std::size_t>(text.size(), 2)), '='));
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

} // namespace peridotramp
