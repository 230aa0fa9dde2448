#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace bluebell {

/// Bytes that a connection holds before they are parsed: a head, or the line of
/// a chunk with its extensions, or a trailer.
inline constexpr std::size_t kMaxUnparsedBytes = 68 * 1024;

/// Bytes of a large body that are read at once. Other work of the event loop
/// comes between two reads, and a buffer of the default size takes 512 bytes:
/// 860 KB took over a minute at a host with rounds of 47 ms.
inline constexpr std::size_t kLargeReadBytes = 64 * 1024;
static_assert(kLargeReadBytes <= kMaxUnparsedBytes);

/// Bytes that a process may hold at once for all requests and answers.
class byte_budget {
 public:
  explicit byte_budget(std::size_t limit) : limit_(limit) {}

  std::size_t held() const { return held_; }

 private:
  friend class byte_share;

  std::size_t limit_;
  std::size_t held_ = 0;
};

/// What one holder takes of a budget; given back at the end of its life.
class byte_share {
 public:
  /// Without a budget, every size is allowed.
  explicit byte_share(std::shared_ptr<byte_budget> budget)
      : budget_(std::move(budget)) {}
  ~byte_share() { Resize(0); }
  byte_share(const byte_share&) = delete;
  byte_share& operator=(const byte_share&) = delete;

  /// Changes the size to `bytes`. Returns false, and changes nothing, if the
  /// budget does not allow that.
  bool Resize(std::size_t bytes) {
    if (!budget_) return true;
    const auto others = budget_->held_ - bytes_;
    if (bytes > bytes_ && others + bytes > budget_->limit_) return false;
    budget_->held_ = others + bytes;
    bytes_ = bytes;
    return true;
  }

 private:
  std::shared_ptr<byte_budget> budget_;
  std::size_t bytes_ = 0;
};

}  // namespace bluebell
