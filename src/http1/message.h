/// Heads of HTTP/1.1 messages, and the parser that reads whole messages from a byte stream.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace stoat::http1 {

/// One header line, as it came.
struct HeaderLine {
  std::string name;
  std::string value;
};

/// Compares header names, which do not depend on case.
bool equal_ignoring_case(std::string_view left, std::string_view right);

/// The header lines of one message, in order.
class Headers {
 public:
  void add(std::string_view name, std::string_view value) {
    lines_.push_back({std::string(name), std::string(value)});
  }
  /// The value of the first line of a name, or nullptr.
  const std::string* find(std::string_view name) const;
  /// True when a comma-separated header holds a token.
  bool has_token(std::string_view name, std::string_view token) const;
  const std::vector<HeaderLine>& lines() const { return lines_; }
  std::vector<HeaderLine>& lines() { return lines_; }

 private:
  std::vector<HeaderLine> lines_;
};

/// True for headers that concern one connection only and are never passed on.
bool is_hop_by_hop_header(std::string_view name);

/// What a parser tells its owner. Called from within MessageParser::feed() and finish().
class MessageSink {
 public:
  virtual ~MessageSink() = default;
  /// The head is whole. Return false to stop.
  virtual bool on_head() = 0;
  virtual bool on_body(std::string_view piece) = 0;
  /// The message is whole. Bytes after it are left to the owner.
  virtual void on_complete() = 0;
};

/// How far a call of feed() came.
enum class ParseState : uint8_t {
  kMore,      ///< all bytes were used; the message is not whole
  kComplete,  ///< the message is whole; bytes may be left
  kMalformed,
  kStopped,  ///< the sink asked to stop
};

/// Reads one message at a time, on the http-parser library. reset() prepares it for the next.
class MessageParser {
 public:
  enum class Kind : uint8_t { kRequest, kResponse };
  MessageParser(Kind kind, MessageSink& sink);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// Uses bytes; `used` becomes their number.
  ParseState feed(std::string_view bytes, size_t& used);
  /// The other side has ended the connection: kComplete when that ends the message, else kMalformed.
  ParseState finish();
  void reset();

  Headers& headers() { return headers_; }
  const Headers& headers() const { return headers_; }
  std::string& target() { return target_; }
  std::string method() const { return http_method_str(static_cast<http_method>(parser_.method)); }
  int status() const { return static_cast<int>(parser_.status_code); }
  bool keep_alive() const { return http_should_keep_alive(&parser_) != 0; }
  /// The length that the head announced, or UINT64_MAX.
  uint64_t content_length() const { return parser_.content_length; }
  bool begun() const { return begun_; }

 private:
  static MessageParser& self(http_parser* parser) { return *static_cast<MessageParser*>(parser->data); }
  static http_parser_settings make_settings();
  ParseState outcome() const;

  http_parser parser_{};
  Kind kind_;
  MessageSink& sink_;
  Headers headers_;
  std::string target_;
  bool in_value_ = true;
  bool begun_ = false;
  bool complete_ = false;
  bool stopped_ = false;
};

}  // namespace stoat::http1
