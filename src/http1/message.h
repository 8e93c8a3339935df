/// Headers of HTTP/1.1 messages, and a parser that checks and reads messages from a byte stream.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/http1/head_check.h"

namespace stoat::http1 {

/// One header line as received.
struct HeaderLine {
  std::string name;
  std::string value;
};

/// Compares header names, ignoring ASCII case.
bool equal_ignoring_case(std::string_view left, std::string_view right);

/// The header lines of one message, in the order received.
class Headers {
 public:
  void add(std::string_view name, std::string_view value) {
    lines_.push_back({std::string(name), std::string(value)});
  }
  /// The value of the first header line with this name, or nullptr.
  const std::string* find(std::string_view name) const;
  /// True if the first header line with this name, a comma-separated list, contains a token. Ignores ASCII
  /// case.
  bool has_token(std::string_view name, std::string_view token) const;
  const std::vector<HeaderLine>& lines() const { return lines_; }
  std::vector<HeaderLine>& lines() { return lines_; }

 private:
  std::vector<HeaderLine> lines_;
};

/// True for headers that are not forwarded by a proxy: hop-by-hop headers, and Content-Length and Expect.
bool is_hop_by_hop_header(std::string_view name);

/// Receives the events of a MessageParser. Its methods are called from within MessageParser::feed() and
/// finish().
class MessageSink {
 public:
  virtual ~MessageSink() = default;
  /// The head is complete. Returns false to stop parsing.
  virtual bool on_head() = 0;
  /// A piece of the body was read. Returns false to stop parsing.
  virtual bool on_body(std::string_view piece) = 0;
  /// The message is complete. Bytes after it are not consumed.
  virtual void on_complete() = 0;
};

/// State of a message after a call of feed().
enum class ParseState : uint8_t {
  kIncomplete,  ///< all bytes were consumed; the message is not complete
  kComplete,    ///< the message is complete; there may be unconsumed bytes
  kMalformed,
  kStopped,  ///< the sink stopped parsing
};

/// Parses one message at a time, using the http-parser library. HeadChecker checks each head first.
/// reset() prepares it for the next message.
class MessageParser {
 public:
  MessageParser(MessageKind kind, MessageSink& sink);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// Parses bytes and sets `consumed` to the number of bytes that were parsed.
  ParseState feed(std::string_view bytes, size_t& consumed);
  /// Reports that the peer has closed the connection. Returns kComplete if that ends the message, kStopped if
  /// the sink stopped parsing, and kMalformed otherwise.
  ParseState finish();
  void reset();

  Headers& headers() { return headers_; }
  const Headers& headers() const { return headers_; }
  std::string& target() { return target_; }
  std::string method() const { return http_method_str(static_cast<http_method>(parser_.method)); }
  int status() const { return static_cast<int>(parser_.status_code); }
  /// Why a message whose head was rejected is malformed.
  HeadFault head_fault() const { return head_checker_.fault(); }
  bool keep_alive() const { return http_should_keep_alive(&parser_) != 0; }
  /// Content-Length minus the body bytes parsed so far, or UINT64_MAX if the head has no Content-Length.
  uint64_t content_length() const { return parser_.content_length; }
  /// True once any byte of the message was received.
  bool has_input() const { return begun_; }

 private:
  static MessageParser& owner_of(http_parser* parser) { return *static_cast<MessageParser*>(parser->data); }
  static http_parser_settings make_settings();
  ParseState parse(std::string_view bytes, size_t& consumed);
  ParseState outcome() const;

  http_parser parser_{};
  MessageKind kind_;
  HeadChecker head_checker_;
  MessageSink& sink_;
  Headers headers_;
  std::string target_;
  bool last_was_value_ = true;  ///< the last header event was a value, so that a name starts a new line
  bool begun_ = false;
  bool complete_ = false;
  bool stopped_ = false;
};

}  // namespace stoat::http1
