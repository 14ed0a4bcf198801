#pragma once

#include <algorithm>  // for lower_bound
#include <cstddef>  // for ptrdiff_t, size_t
#include <iterator>  // for random_access_iterator_tag
#include <memory>  // for shared_ptr, make_shared
#include <utility>  // for move
#include <vector>  // for vector

namespace poplarstream {

// A sorted table of immutable rows that are shared between copies of the table. Copying a table
// costs one reference count per row, so that changing one of 4,500 hosts does not copy the others.
// Rows are sorted by their member `id`.
template <class Row>
class SharedTable
{
public:
    using Pointer = std::shared_ptr<const Row>;
    using Key = decltype(Row::id);

    // Iterates over the rows in the order of their ids.
    class Iterator
    {
    public:
        using iterator_category = std::random_access_iterator_tag;
        using value_type = Row;
        using difference_type = std::ptrdiff_t;
        using pointer = const Row *;
        using reference = const Row &;

        Iterator() = default;
        explicit Iterator(const Pointer *position)
            : position_(position)
        {}
        reference operator*() const { return **position_; }
        pointer operator->() const { return position_->get(); }
        reference operator[](difference_type n) const { return *position_[n]; }
        Iterator &operator++() { return *this += 1; }
        Iterator &operator--() { return *this += -1; }
        Iterator operator++(int) { return Iterator(position_++); }
        Iterator operator--(int) { return Iterator(position_--); }
        Iterator &operator+=(difference_type n)
        {
            position_ += n;
            return *this;
        }
        Iterator &operator-=(difference_type n) { return *this += -n; }
        friend Iterator operator+(Iterator i, difference_type n) { return i += n; }
        friend Iterator operator+(difference_type n, Iterator i) { return i += n; }
        friend Iterator operator-(Iterator i, difference_type n) { return i -= n; }
        friend difference_type operator-(Iterator a, Iterator b)
        {
            return a.position_ - b.position_;
        }
        friend auto operator<=>(const Iterator &, const Iterator &) = default;

    private:
        const Pointer *position_ = nullptr;
    };

    Iterator begin() const { return Iterator(rows_.data()); }
    Iterator end() const { return Iterator(rows_.data() + rows_.size()); }
    std::size_t size() const { return rows_.size(); }
    bool isEmpty() const { return rows_.empty(); }

    // Returns the row with this id, or null.
    const Row *find(const Key &id) const { return findShared(id).get(); }
    bool contains(const Key &id) const { return find(id) != nullptr; }

    // Returns the row as a shared pointer, which may outlive the table, or null.
    const Pointer &findShared(const Key &id) const
    {
        static const Pointer none;
        const auto at = lowerBound(id);
        return at != rows_.end() && (*at)->id == id ? *at : none;
    }

    // Inserts the row or replaces the one with the same id.
    void set(Row row)
    {
        auto pointer = std::make_shared<const Row>(std::move(row));
        if (rows_.empty() || rows_.back()->id < pointer->id) {
            rows_.push_back(std::move(pointer));
            return;
        }
        const auto at = lowerBound(pointer->id);
        const auto place = rows_.begin() + (at - rows_.cbegin());
        if (place != rows_.end() && (*place)->id == pointer->id) {
            *place = std::move(pointer);
        } else {
            rows_.insert(place, std::move(pointer));
        }
    }

    // Returns whether a row was removed.
    bool remove(const Key &id)
    {
        const auto at = lowerBound(id);
        if (at == rows_.end() || (*at)->id != id) {
            return false;
        }
        rows_.erase(at);
        return true;
    }

    friend bool operator==(const SharedTable &a, const SharedTable &b)
    {
        return std::equal(a.rows_.begin(), a.rows_.end(), b.rows_.begin(), b.rows_.end(),
                          [](const Pointer &x, const Pointer &y) { return x == y || *x == *y; });
    }

private:
    auto lowerBound(const Key &id) const
    {
        return std::lower_bound(
                rows_.begin(), rows_.end(), id,
                [](const Pointer &row, const Key &wanted) { return row->id < wanted; });
    }

    std::vector<Pointer> rows_;
};

}  // namespace poplarstream
