#pragma once

#include <charconv>  // for to_chars, from_chars
#include <concepts>  // for integral
#include <deque>  // for deque
#include <map>  // for map
#include <optional>  // for optional
#include <stdexcept>  // for runtime_error
#include <string>  // for string
#include <string_view>  // for string_view
#include <unordered_set>  // for unordered_set
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for Id
#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds

namespace poplarstream {

// Serializes values field by field: each number is followed by a space, each string is preceded by
// its length. One field(archive, value) overload per type serves both directions.
class TextWriter
{
public:
    static constexpr bool isReading = false;

    template <std::integral Number>
    void number(const Number &value)
    {
        char digits[24];
        const auto end = std::to_chars(digits, digits + sizeof digits, +value).ptr;
        text_.append(digits, end);
        text_.push_back(' ');
    }
    void number(const bool &value) { number(static_cast<int>(value)); }
    void number(const double &value)
    {
        char digits[40];
        const auto end = std::to_chars(digits, digits + sizeof digits, value).ptr;
        text_.append(digits, end);
        text_.push_back(' ');
    }
    void string(const std::string &value)
    {
        number(value.size());
        text_.append(value);
    }
    std::string take() { return std::move(text_); }

private:
    std::string text_;
};

// Parses the output of TextWriter. Throws std::runtime_error on malformed text.
class TextReader
{
public:
    static constexpr bool isReading = true;

    explicit TextReader(std::string_view text)
        : text_(text)
    {}

    template <class Number>
    void number(Number &value)
    {
        const char *begin = text_.data();
        const char *limit = begin + text_.size();
        const auto [end, error] = std::from_chars(begin, limit, value);
        if (error != std::errc() || end == limit || *end != ' ') {
            throw std::runtime_error("expected a number");
        }
        text_.remove_prefix(static_cast<std::size_t>(end - begin) + 1);
    }
    void number(bool &value)
    {
        int digit = 0;
        number(digit);
        value = digit != 0;
    }
    void string(std::string &value)
    {
        std::size_t size = 0;
        number(size);
        if (size > text_.size()) {
            throw std::runtime_error("truncated string");
        }
        value.assign(text_.substr(0, size));
        text_.remove_prefix(size);
    }
    bool isAtEnd() const { return text_.empty(); }

private:
    std::string_view text_;
};

template <class Archive, class T>
requires std::is_arithmetic_v<T>
void field(Archive &archive, T &value)
{
    archive.number(value);
}

template <class Archive, class T>
requires std::is_enum_v<T>
void field(Archive &archive, T &value)
{
    int number = static_cast<int>(value);
    archive.number(number);
    value = static_cast<T>(number);
}

template <class Archive>
void field(Archive &archive, std::string &value)
{
    archive.string(value);
}

template <class Archive, class Tag>
void field(Archive &archive, Id<Tag> &id)
{
    if constexpr (Archive::isReading) {
        std::string text;
        archive.string(text);
        id = Id<Tag>(std::move(text));
    } else {
        archive.string(id.text());
    }
}

template <class Archive>
void field(Archive &archive, Milliseconds &value)
{
    auto count = value.count();
    archive.number(count);
    value = Milliseconds{count};
}

template <class Archive>
void field(Archive &archive, TimePoint &value)
{
    auto count = millisecondsSinceEpoch(value);
    archive.number(count);
    value = timePoint(count);
}

template <class Archive, class A, class B>
void field(Archive &archive, std::pair<A, B> &value)
{
    field(archive, value.first);
    field(archive, value.second);
}

template <class Archive, class T>
void field(Archive &archive, std::optional<T> &value)
{
    bool hasValue = value.has_value();
    archive.number(hasValue);
    if constexpr (Archive::isReading) {
        value = hasValue ? std::optional<T>(T{}) : std::nullopt;
    }
    if (value) {
        field(archive, *value);
    }
}

template <class Archive, class Sequence>
void sequence(Archive &archive, Sequence &values)
{
    std::size_t size = values.size();
    archive.number(size);
    if constexpr (Archive::isReading) {
        values.clear();
        for (std::size_t i = 0; i < size; ++i) {
            field(archive, values.emplace_back());
        }
    } else {
        for (auto &value : values) {
            field(archive, value);
        }
    }
}

template <class Archive, class T>
void field(Archive &archive, std::vector<T> &values)
{
    sequence(archive, values);
}

template <class Archive, class T>
void field(Archive &archive, std::deque<T> &values)
{
    sequence(archive, values);
}

template <class Archive, class Key, class Value>
void field(Archive &archive, std::map<Key, Value> &values)
{
    std::size_t size = values.size();
    archive.number(size);
    if constexpr (Archive::isReading) {
        values.clear();
        for (std::size_t i = 0; i < size; ++i) {
            Key key{};
            field(archive, key);
            Value value{};
            field(archive, value);
            values.emplace_hint(values.end(), std::move(key), std::move(value));
        }
    } else {
        for (auto &[key, value] : values) {
            field(archive, const_cast<Key &>(key));
            field(archive, value);
        }
    }
}

}  // namespace poplarstream
