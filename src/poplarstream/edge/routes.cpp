#include "poplarstream/edge/routes.hpp"

#include <algorithm>  // for all_of, equal

namespace poplarstream::edge {

namespace {

constexpr std::size_t jobIdLength = 16;

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool isSameHost(std::string_view a, std::string_view b)
{
    a = a.substr(0, a.find(':'));
    b = b.substr(0, b.find(':'));
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return lower(x) == lower(y); });
}

}  // namespace

const Route *findRoute(std::span<const Route> routes, std::string_view host, std::string_view path)
{
    const Route *best = nullptr;
    for (const Route &route : routes) {
        const bool matches = path.starts_with(route.pathPrefix) && isSameHost(route.host, host);
        if (matches && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())) {
            best = &route;
        }
    }
    return best;
}

std::optional<jobs::JobId> jobIdFrom(std::string_view text)
{
    const auto isHex = [](char c) {
        const char l = lower(c);
        return (l >= '0' && l <= '9') || (l >= 'a' && l <= 'f');
    };
    if (text.size() != jobIdLength || !std::all_of(text.begin(), text.end(), isHex)) {
        return {};
    }
    return jobs::JobId(std::string(text));
}

}  // namespace poplarstream::edge
