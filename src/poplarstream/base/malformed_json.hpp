#pragma once

#include <cstdint>  // for int64_t
#include <iterator>  // for advance
#include <limits>  // for numeric_limits
#include <string>  // for string

#include <nlohmann/json.hpp>  // for json
#include <rapidcheck.h>  // for gen

namespace poplarstream::test {

// A value that some decoder may not expect: another type, an integer out of range, deep nesting.
inline nlohmann::json oddValue()
{
    using nlohmann::json;
    const json nested = json::parse(std::string(400, '[') + std::string(400, ']'));
    return *rc::gen::element<json>(
            json(), json(true), json(""), json("text"), json(-1), json(0), json(1.5), json(1e300),
            json(std::numeric_limits<std::int64_t>::min()),
            json(std::numeric_limits<std::uint64_t>::max()), json(std::int64_t{1} << 40),
            json(std::string(300, 'k')), json::array(), json::object(), json::array({1, "a"}),
            json{{"kind", "x"}}, nested);
}

// Replaces or removes one value at a random place.
inline void mutate(nlohmann::json &value)
{
    const bool isInner = value.is_structured() && !value.empty();
    if (!isInner || *rc::gen::inRange(0, 4) == 0) {
        value = oddValue();
        return;
    }
    auto member = value.begin();
    std::advance(member,
                 *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(value.size())));
    if (*rc::gen::inRange(0, 5) == 0) {
        value.erase(member);
    } else {
        mutate(*member);
    }
}

// A document with up to three mutations, sometimes cut off.
inline std::string malformed(const std::string &document)
{
    nlohmann::json value = nlohmann::json::parse(document);
    const int mutations = *rc::gen::inRange(1, 4);
    for (int i = 0; i < mutations; ++i) {
        mutate(value);
    }
    std::string text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (*rc::gen::inRange(0, 6) == 0) {
        text.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 1));
    }
    return text;
}

}  // namespace poplarstream::test
