#include "framing_p.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace peridotramp {

namespace {

constexpr unsigned http11 = 11;
constexpr std::string_view chunkedCoding = "chunked";

std::vector<std::string> transferCodingsOf(const http::fields& fields)
{
    std::vector<std::string> codings;
    const auto [begin, end] = fields.equal_range(http::field::transfer_encoding);
    std::for_each(begin, end, [&](const auto& field) {
        const std::string value(field.value());
        std::vector<std::string> items;
        boost::split(items, value, boost::is_any_of(","));
        std::ranges::transform(
            items, std::back_inserter(codings), [](const std::string& item) { return boost::trim_copy(item); });
    });
    return codings;
}

boost::system::error_code checkTransferCoding(const http::fields& fields, unsigned version)
{
    const auto codings = transferCodingsOf(fields);
    if (codings.empty())
        return {};
    const auto isChunked = [](const std::string& coding) { return boost::iequals(coding, chunkedCoding); };
    // HTTP/1.0 has no transfer codings, and only a final `chunked` delimits the body.
    if (version < http11 || !isChunked(codings.back()) || std::ranges::count_if(codings, isChunked) > 1)
        return make_error_code(http::error::bad_transfer_encoding);
    if (codings.size() > 1)
        return make_error_code(boost::system::errc::not_supported);
    return {};
}

boost::system::error_code checkHost(const http::fields& fields, unsigned version)
{
    const auto count = fields.count(http::field::host);
    if (count > 1 || (count == 0 && version >= http11))
        return make_error_code(http::error::bad_field);
    const std::string_view host = fields[http::field::host];
    return host.find_first_of(" \t,/?#@") == std::string_view::npos ? boost::system::error_code()
                                                                    : make_error_code(http::error::bad_value);
}

} // namespace

boost::system::error_code checkRequestHead(const http::request_header<>& head)
{
    const auto error = checkTransferCoding(head, head.version());
    return error ? error : checkHost(head, head.version());
}

bool hasContinuationLine(std::string_view bytes)
{
    // An empty line ends the head.
    const auto head = bytes.starts_with("\r\n") ? std::string_view() : bytes.substr(0, bytes.find("\r\n\r\n"));
    return head.find("\n ") != std::string_view::npos || head.find("\n\t") != std::string_view::npos;
}

boost::system::error_code checkResponseHead(const http::response_header<>& head)
{
    const auto error = checkTransferCoding(head, head.version());
    return error ? make_error_code(http::error::bad_transfer_encoding) : boost::system::error_code();
}

} // namespace peridotramp
