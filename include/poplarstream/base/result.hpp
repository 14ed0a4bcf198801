#pragma once

#include <stdexcept>  // for logic_error
#include <string>  // for string
#include <utility>  // for move
#include <variant>  // for variant

namespace poplarstream {

// Why an operation failed. `field` names the offending input (a key, a JSON field) or is empty.
struct Failure
{
    std::string message;
    std::string field;

    friend bool operator==(const Failure &, const Failure &) = default;
};

// A value or a failure. Returned by functions that can fail, such as factories and parsers.
template <class T>
class [[nodiscard]] Result
{
public:
    Result(T value)
        : content_(std::move(value))
    {}
    Result(Failure failure)
        : content_(std::move(failure))
    {}

    bool hasValue() const { return std::holds_alternative<T>(content_); }
    explicit operator bool() const { return hasValue(); }

    // Throws std::logic_error with the failure's message if there is no value.
    const T &value() const &
    {
        requireValue();
        return std::get<T>(content_);
    }
    T &value() &
    {
        requireValue();
        return std::get<T>(content_);
    }
    T &&value() &&
    {
        requireValue();
        return std::get<T>(std::move(content_));
    }
    const Failure &failure() const { return std::get<Failure>(content_); }

private:
    void requireValue() const
    {
        if (!hasValue()) {
            throw std::logic_error(failure().message);
        }
    }

    std::variant<T, Failure> content_;
};

}  // namespace poplarstream
