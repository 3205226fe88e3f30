#include "runtime_p.h"

namespace peridotramp {

std::optional<std::string_view> HttpRequest::header(std::string_view name) const
{
    const auto found = std::ranges::find_if(
        this->headers, [&](const HttpHeader& header) { return beast::iequals(header.name, name); });
    if (found == this->headers.end())
        return std::nullopt;
    return found->value;
}

std::string_view HttpRequest::path() const { return std::string_view(this->target).substr(0, this->target.find('?')); }

std::optional<std::string_view> HttpRequest::query(std::string_view name) const
{
    std::string_view rest = this->target;
    const auto mark = rest.find('?');
    rest = mark == std::string_view::npos ? std::string_view() : rest.substr(mark + 1);
    while (!rest.empty()) {
        const auto item = rest.substr(0, rest.find('&'));
        const auto equals = item.find('=');
        if (item.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string_view() : item.substr(equals + 1);
        rest = item.size() == rest.size() ? std::string_view() : rest.substr(item.size() + 1);
    }
    return std::nullopt;
}

HttpResponse jsonResponse(unsigned status, std::string body)
{
    return { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

HttpResponse textResponse(unsigned status, std::string body)
{
    return { status, { { "Content-Type", "text/plain; charset=utf-8" } }, std::move(body) };
}

} // namespace peridotramp
