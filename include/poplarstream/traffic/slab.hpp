#pragma once

#include <cstdint>  // for uint64_t
#include <deque>  // for deque
#include <utility>  // for move
#include <vector>  // for vector

namespace poplarstream::traffic {

// A slot map whose keys are never reused: the low 20 bits of a key are the slot, the rest is a
// sequence number. Lookup is one index and one comparison. References stay valid until the value is
// erased. Holds at most 2^20 - 1 values; `Number` is an enum over uint64_t, and 0 means none.
template <class Number, class T>
class Slab
{
public:
    // Precondition: !isFull().
    Number insert(T value)
    {
        std::uint64_t slot = 0;
        if (free_.empty()) {
            slot = cells_.size();
            cells_.emplace_back();
        } else {
            slot = free_.back();
            free_.pop_back();
        }
        const auto number = static_cast<Number>((++sequence_ << slotBits) | slot);
        cells_[slot] = Cell{number, std::move(value)};
        ++size_;
        return number;
    }

    T *find(Number number)
    {
        const std::uint64_t slot = static_cast<std::uint64_t>(number) & slotMask;
        if (number == Number{} || slot >= cells_.size() || cells_[slot].number != number) {
            return nullptr;
        }
        return &cells_[slot].value;
    }
    const T *find(Number number) const { return const_cast<Slab *>(this)->find(number); }

    void erase(Number number)
    {
        if (find(number) != nullptr) {
            const std::uint64_t slot = static_cast<std::uint64_t>(number) & slotMask;
            cells_[slot].number = Number{};
            cells_[slot].value = T{};
            free_.push_back(slot);
            --size_;
        }
    }

    std::size_t size() const { return size_; }
    bool isFull() const { return size_ >= slotMask; }

    // Returns the keys of all values, in slot order.
    std::vector<Number> numbers() const
    {
        std::vector<Number> result;
        result.reserve(size_);
        for (const Cell &cell : cells_) {
            if (cell.number != Number{}) {
                result.push_back(cell.number);
            }
        }
        return result;
    }

private:
    static constexpr std::uint64_t slotBits = 20;
    static constexpr std::uint64_t slotMask = (1ULL << slotBits) - 1;

    struct Cell
    {
        Number number{};
        T value{};
    };

    std::deque<Cell> cells_;
    std::vector<std::uint64_t> free_;
    std::uint64_t sequence_ = 0;
    std::size_t size_ = 0;
};

}  // namespace poplarstream::traffic
