#include "poplarstream/base/bounded_json.hpp"

#include <stdexcept>  // for exception, runtime_error

#include <fmt/format.h>  // for format

namespace poplarstream {

namespace {

using nlohmann::json;

// Accepts all parser events until the nesting exceeds the depth limit.
class DepthCheck : public nlohmann::json_sax<json>
{
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    bool start_object(std::size_t) override { return ++depth_ <= maxJsonDepth; }
    bool key(string_t &) override { return true; }
    bool end_object() override { return --depth_ >= 0; }
    bool start_array(std::size_t) override { return ++depth_ <= maxJsonDepth; }
    bool end_array() override { return --depth_ >= 0; }
    bool parse_error(std::size_t, const std::string &, const json::exception &) override
    {
        return false;
    }

private:
    int depth_ = 0;
};

// Whether the arrays and objects in `text` are nested within the limit. Counts the brackets outside
// strings, which is exact up to the first byte that is no JSON; there the parser fails.
bool isWithinDepth(std::string_view text)
{
    int depth = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (isInString) {
            if (c == '\\') {
                ++i;
            } else if (c == '"') {
                isInString = false;
            }
        } else if (c == '"') {
            isInString = true;
        } else if (c == '[' || c == '{') {
            if (++depth > maxJsonDepth) {
                return false;
            }
        } else if (c == ']' || c == '}') {
            --depth;
        }
    }
    return true;
}

}  // namespace

std::optional<json> parseBoundedJson(std::string_view text)
{
    if (!isWithinDepth(text)) {
        return std::nullopt;
    }
    json value = json::parse(text, nullptr, false);
    return value.is_discarded() ? std::nullopt : std::optional(std::move(value));
}

json parseBoundedJsonOrThrow(std::string_view text)
{
    if (!isWithinDepth(text)) {
        throw std::runtime_error(fmt::format("nested deeper than {} levels", maxJsonDepth));
    }
    return json::parse(text);
}

std::optional<json> parseBoundedMessagePack(std::span<const std::uint8_t> bytes)
{
    try {
        DepthCheck check;
        if (!json::sax_parse(bytes.begin(), bytes.end(), &check, json::input_format_t::msgpack)) {
            return std::nullopt;
        }
        return json::from_msgpack(bytes.begin(), bytes.end());
    } catch (const std::exception &) {  // for example std::bad_alloc for a huge array length
        return std::nullopt;
    }
}

}  // namespace poplarstream
