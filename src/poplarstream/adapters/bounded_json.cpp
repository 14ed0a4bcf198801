#include "poplarstream/adapters/bounded_json.hpp"

#include <stdexcept>  // for exception

namespace poplarstream {

namespace {

using nlohmann::json;

constexpr int maxDepth = 64;

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
    bool start_object(std::size_t) override { return ++depth_ <= maxDepth; }
    bool key(string_t &) override { return true; }
    bool end_object() override { return --depth_ >= 0; }
    bool start_array(std::size_t) override { return ++depth_ <= maxDepth; }
    bool end_array() override { return --depth_ >= 0; }
    bool parse_error(std::size_t, const std::string &, const json::exception &) override
    {
        return false;
    }

private:
    int depth_ = 0;
};

}  // namespace

std::optional<json> parseBoundedJson(std::string_view text)
{
    DepthCheck check;
    if (!json::sax_parse(text, &check)) {
        return std::nullopt;
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
