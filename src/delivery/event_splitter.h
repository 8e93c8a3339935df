/// Splits a byte stream into complete server-sent events without changing any byte, and reads the id of each.
#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

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
    size_t searched = buffer_.size();
    buffer_.append(bytes);
    size_t begin = 0;
    for (size_t feed = buffer_.find('\n', searched); feed != std::string::npos;
         feed = buffer_.find('\n', searched)) {
      searched = feed + 1;
      const size_t line = std::exchange(line_, searched);
      const bool empty = feed == line || (feed == line + 1 && buffer_[line] == '\r');
      if (!empty || line == begin) {
        continue;
      }
      const std::string_view event = std::string_view(buffer_).substr(begin, searched - begin);
      on_event(StreamEvent{event, id_of(event)});
      begin = searched;
    }
    buffer_.erase(0, begin);
    line_ -= begin;
  }
  /// Number of bytes of the event that is not complete yet.
  size_t pending() const { return buffer_.size(); }
  void reset() {
    buffer_.clear();
    line_ = 0;
  }

 private:
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
  size_t line_ = 0;  ///< position in the buffer where the line that is not complete yet begins
};

}  // namespace stoat::delivery
