/// Heads of responses that are no valid answers, for everything that reads answers.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace stoat::test {

/// A head without the empty line that ends it, and what is wrong with it.
struct MalformedHead {
  std::string fault;
  std::string head;
};

inline std::string concatenate(std::initializer_list<std::string_view> pieces) {
  std::string text;
  for (const std::string_view piece : pieces) {
    text += piece;
  }
  return text;
}

/// Returns heads with one fault each. `headers`: lines that a valid answer has, each ending in CR LF.
inline std::vector<MalformedHead> malformed_heads(const std::string& headers) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string length = "Content-Length: 4\r\n";
  std::vector<MalformedHead> heads;
  for (const std::string line : {"HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK",
                                 "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 -20 OK",
                                 "HTTP/1.1  200 OK", "HTTP/1.1 OK", "HTTP/1.1", "HTTP/2.0 200 OK",
                                 "HTTP/1.10 200 OK", "HTP/1.1 200 OK", "ICY 200 OK", "200 OK", "hello", ""}) {
    heads.push_back(
        {concatenate({"first line \"", line, "\""}), concatenate({line, "\r\n", headers, length})});
  }
  const std::vector<std::pair<std::string, std::string>> lines = {
      {"blank in a name", "X Bad: 1\r\n"},
      {"blank before the colon", "X-Bad : 1\r\n"},
      {"tab in a name", "X\tBad: 1\r\n"},
      {"tab before the colon", "X-Bad\t: 1\r\n"},
      {"control byte in a name",
       "X\x01"
       "Bad: 1\r\n"},
      {"NUL in a name", std::string("X\0Bad: 1\r\n", 10)},
      {"DEL in a name",
       "X\x7f"
       "Bad: 1\r\n"},
      {"byte above 127 in a name", "X\xc3\xa4: 1\r\n"},
      {"separator in a name", "X(Bad): 1\r\n"},
      {"empty name", ": 1\r\n"},
      {"no colon", "X-Bad\r\n"},
      {"control byte in a value",
       "X-Bad: a\x01"
       "b\r\n"},
      {"NUL in a value", std::string("X-Bad: a\0b\r\n", 12)},
      {"folded line", "X-Bad: 1\r\n 2\r\n"},
      {"folded line that looks like a header", "X-Bad: 1\r\n Content-Length: 1\r\n"},
      {"line that ends in a line feed", "X-Bad: 1\n"},
      {"carriage return in a value", "X-Bad: a\rb\r\n"},
      {"second length", "Content-Length: 1\r\n"},
      {"length beside chunks", "Transfer-Encoding: chunked\r\n"}};
  for (const auto& [fault, line] : lines) {
    heads.push_back({fault, concatenate({ok, headers, line, length})});
  }
  for (const std::string line :
       {"Content-Length : 4", "Content-Length\t: 4", "Content Length: 4", "Content-Length: 4x",
        "Content-Length: +4", "Content-Length: -4", "Content-Length: 4, 4", "Content-Length: 4 4",
        "Content-Length:", "Content-Length: 99999999999999999999", "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding : chunked"}) {
    heads.push_back({concatenate({"\"", line, "\""}), concatenate({ok, headers, line, "\r\n"})});
  }
  return heads;
}

}  // namespace stoat::test
