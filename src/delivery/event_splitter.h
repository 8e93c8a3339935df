/// Splits a byte stream into complete server-sent events without changing any byte, and reads the id of each.
#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace stoat::delivery {

/// One complete event, including the empty line that ends it.
struct StreamEvent {
  std::string_view bytes;
  std::optional<int64_t> id;  ///< nullopt: none, or not an integer
};

/// Buffers the bytes of one stream and hands out each event once it is complete.
class EventSplitter {
 public:
  /// Appends the next bytes and calls `on_event(const StreamEvent&)` for each event that is now complete. The
  /// event is valid only during the call.
  template <typename Handler>
  void feed(std::string_view bytes, const Handler& on_event) {
    buffer_.append(bytes);
    size_t begin = 0;
    for (;;) {
      const size_t end = end_of_event(begin);
      if (end == std::string::npos) {
        break;
      }
      const std::string_view event = std::string_view(buffer_).substr(begin, end - begin);
      on_event(StreamEvent{event, id_of(event)});
      begin = end;
    }
    buffer_.erase(0, begin);
  }
  /// Number of bytes of the event that is not complete yet.
  size_t pending() const { return buffer_.size(); }
  void reset() { buffer_.clear(); }

 private:
  size_t end_of_event(size_t begin) const {
    size_t line = begin;
    for (size_t feed = buffer_.find('\n', line); feed != std::string::npos; feed = buffer_.find('\n', line)) {
      const bool empty = feed == line || (feed == line + 1 && buffer_[line] == '\r');
      if (empty && line != begin) {
        return feed + 1;
      }
      line = feed + 1;
    }
    return std::string::npos;
  }

  static std::optional<int64_t> id_of(std::string_view event) {
    constexpr std::string_view kField = "id:";
    size_t line = 0;
    while (line < event.size()) {
      size_t end = event.find('\n', line);
      end = end == std::string_view::npos ? event.size() : end;
      std::string_view text = event.substr(line, end - line);
      line = end + 1;
      if (!text.starts_with(kField)) {
        continue;
      }
      text.remove_prefix(kField.size());
      while (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
      }
      int64_t id = 0;
      const auto [last, error] = std::from_chars(text.data(), text.data() + text.size(), id);
      return error == std::errc() ? std::optional<int64_t>(id) : std::nullopt;
    }
    return std::nullopt;
  }

  std::string buffer_;
};

}  // namespace stoat::delivery
