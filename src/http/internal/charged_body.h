#ifndef LAPISHATCH_HTTP_INTERNAL_CHARGED_BODY_H_
#define LAPISHATCH_HTTP_INTERNAL_CHARGED_BODY_H_

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <string>
#include <utility>

namespace lapishatch::http::internal {

/// Allows the growth of a body, or not.
class BodyGate {
 public:
  virtual ~BodyGate() = default;

  /// Whether a buffer of `capacity` bytes may be allocated beside the present
  /// one, which it replaces.
  virtual bool AllowBody(std::size_t capacity) = 0;
};

/// A body that asks before it grows. Its capacity is what was asked for.
class ChargedText {
 public:
  void SetGate(BodyGate* gate) { gate_ = gate; }
  /// The length that the peer has announced.
  void SetLength(std::size_t length) { length_ = length; }

  /// False if the growth is not allowed; nothing is added then.
  bool Append(const char* bytes, std::size_t n) {
    const auto size = text_.size() + n;
    if (size > text_.capacity() && !Grow(size)) return false;
    text_.append(bytes, n);
    return true;
  }

  std::string Take() { return std::move(text_); }

 private:
  /// Doubles the capacity, up to the announced length.
  bool Grow(std::size_t size) {
    auto capacity = 2 * text_.capacity();
    if (length_ > 0) capacity = std::min(capacity, length_);
    capacity = std::max(capacity, size);
    if (gate_ != nullptr && !gate_->AllowBody(capacity)) return false;
    std::string grown;
    grown.reserve(capacity);
    grown += text_;
    text_.swap(grown);
    return true;
  }

  std::string text_;
  std::size_t length_ = 0;
  BodyGate* gate_ = nullptr;
};

/// Beast's Body concept for requests into a ChargedText. Unlike Beast's own
/// body of a string, an announced length allocates nothing.
struct ChargedBody {
  using value_type = ChargedText;

  static std::uint64_t size(const value_type&) { return 0; }

  // NOLINTNEXTLINE(readability-identifier-naming): the concept names it.
  class reader {
   public:
    template <bool is_request, typename Fields>
    reader(boost::beast::http::header<is_request, Fields>&, value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>& length,
              boost::system::error_code& ec) {
      if (length) body_.SetLength(static_cast<std::size_t>(*length));
      ec = {};
    }

    template <typename Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& ec) {
      std::size_t out = 0;
      for (const auto it : boost::beast::buffers_range_ref(buffers)) {
        if (!body_.Append(static_cast<const char*>(it.data()), it.size())) {
          ec = make_error_code(boost::system::errc::not_enough_memory);
          return out;
        }
        out += it.size();
      }
      ec = {};
      return out;
    }

    void finish(boost::system::error_code& ec) { ec = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace lapishatch::http::internal

#endif  // LAPISHATCH_HTTP_INTERNAL_CHARGED_BODY_H_
