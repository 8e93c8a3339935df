/// Server-sent events as they come in pieces.
#pragma once

#include <functional>
#include <string>

namespace stoat::http {

/// The data of the event that ends a completion stream.
inline constexpr char kStreamEndMark[] = "[DONE]";

/// Cuts a stream into the data of its events. Comments, empty lines and other fields are skipped.
class EventStream {
 public:
  /// Takes the next bytes. `on_data` may return false to end the parse; feed() then returns false.
  bool feed(const std::string& bytes, const std::function<bool(const std::string& data)>& on_data) {
    buffer_ += bytes;
    size_t begin = 0;
    for (size_t end = buffer_.find('\n'); end != std::string::npos; end = buffer_.find('\n', begin)) {
      const std::string line = buffer_.substr(begin, end - begin);
      begin = end + 1;
      if (line.starts_with(kDataField) && !on_data(line.substr(kDataField.size()))) {
        return false;
      }
    }
    buffer_.erase(0, begin);
    return true;
  }

 private:
  static constexpr std::string_view kDataField = "data: ";
  std::string buffer_;
};

}  // namespace stoat::http
