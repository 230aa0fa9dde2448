#pragma once

#include <functional>
#include <ostream>
#include <utility>

namespace bluebell {

/// A value of type `Rep` that cannot be mixed up with values of another `Tag`.
/// Ids and units of the project are instances of this template.
template <class Tag, class Rep>
class strong_type {
 public:
  using rep = Rep;

  strong_type() = default;
  explicit strong_type(Rep value) : value_(std::move(value)) {}

  const Rep& value() const { return value_; }

  friend bool operator==(const strong_type& a, const strong_type& b) {
    return a.value_ == b.value_;
  }
  friend bool operator!=(const strong_type& a, const strong_type& b) {
    return !(a == b);
  }
  friend bool operator<(const strong_type& a, const strong_type& b) {
    return a.value_ < b.value_;
  }
  friend bool operator>(const strong_type& a, const strong_type& b) {
    return b < a;
  }
  friend bool operator<=(const strong_type& a, const strong_type& b) {
    return !(b < a);
  }
  friend bool operator>=(const strong_type& a, const strong_type& b) {
    return !(a < b);
  }
  friend strong_type operator+(const strong_type& a, const strong_type& b) {
    return strong_type(a.value_ + b.value_);
  }
  friend strong_type operator-(const strong_type& a, const strong_type& b) {
    return strong_type(a.value_ - b.value_);
  }
  strong_type& operator+=(const strong_type& other) {
    value_ += other.value_;
    return *this;
  }
  strong_type& operator-=(const strong_type& other) {
    value_ -= other.value_;
    return *this;
  }
  friend std::ostream& operator<<(std::ostream& out, const strong_type& a) {
    return out << a.value_;
  }

 private:
  Rep value_{};
};

}  // namespace bluebell

namespace std {

template <class Tag, class Rep>
struct hash<bluebell::strong_type<Tag, Rep>> {
  size_t operator()(const bluebell::strong_type<Tag, Rep>& id) const {
    return hash<Rep>{}(id.value());
  }
};

}  // namespace std
