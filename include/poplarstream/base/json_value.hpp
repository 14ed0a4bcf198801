#pragma once

#include <cmath>  // for isfinite
#include <cstdint>  // for int64_t, uint64_t
#include <limits>  // for numeric_limits
#include <stdexcept>  // for out_of_range
#include <string>  // for string

#include <nlohmann/json.hpp>  // for json

namespace poplarstream {

// The number in `value` as an integer; a fraction is cut off. Throws std::out_of_range if it is no
// number or outside [least, most].
template <class Integer>
Integer integerFrom(const nlohmann::json &value,
                    Integer least = std::numeric_limits<Integer>::min(),
                    Integer most = std::numeric_limits<Integer>::max())
{
    const auto fail = [] { throw std::out_of_range("not a number in the expected range"); };
    if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        if (most < 0 || number > static_cast<std::uint64_t>(most)
            || (least > 0 && number < static_cast<std::uint64_t>(least))) {
            fail();
        }
        return static_cast<Integer>(number);
    }
    if (value.is_number_integer()) {
        const auto number = value.get<std::int64_t>();
        if (number < static_cast<std::int64_t>(least) || number > static_cast<std::int64_t>(most)) {
            fail();
        }
        return static_cast<Integer>(number);
    }
    const double number = value.is_number_float() ? value.get<double>() : NAN;
    // The largest integers round up as a double, hence the strict comparison.
    if (!std::isfinite(number) || number < static_cast<double>(least)
        || number >= static_cast<double>(most)) {
        fail();
    }
    return static_cast<Integer>(number);
}

// As above for the member `key`, or `fallback` if there is none.
template <class Integer>
Integer integerAt(const nlohmann::json &object, const char *key, Integer fallback,
                  Integer least = std::numeric_limits<Integer>::min(),
                  Integer most = std::numeric_limits<Integer>::max())
{
    const auto member = object.find(key);
    return member == object.end() ? fallback : integerFrom<Integer>(*member, least, most);
}

// The text of the member `key`, or an empty one if there is none or it is no text.
inline std::string textOrEmpty(const nlohmann::json &object, const char *key)
{
    const auto member = object.find(key);
    return member != object.end() && member->is_string() ? member->get<std::string>()
                                                         : std::string();
}

}  // namespace poplarstream
