#include "src/http1/message.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace stoat::http1 {

bool equal_ignoring_case(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) {
           return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
         });
}

const std::string* Headers::find(std::string_view name) const {
  for (const HeaderLine& line : lines_) {
    if (equal_ignoring_case(line.name, name)) {
      return &line.value;
    }
  }
  return nullptr;
}

bool Headers::has_token(std::string_view name, std::string_view token) const {
  const std::string* value = find(name);
  if (value == nullptr) {
    return false;
  }
  std::string_view rest = *value;
  while (!rest.empty()) {
    const size_t comma = rest.find(',');
    std::string_view item = rest.substr(0, comma);
    while (!item.empty() && item.front() == ' ') {
      item.remove_prefix(1);
    }
    while (!item.empty() && item.back() == ' ') {
      item.remove_suffix(1);
    }
    if (equal_ignoring_case(item, token)) {
      return true;
    }
    rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
  }
  return false;
}

bool is_hop_by_hop_header(std::string_view name) {
  static constexpr std::array<std::string_view, 9> kNames = {
      "connection", "keep-alive",       "transfer-encoding", "te",    "trailer",
      "upgrade",    "proxy-connection", "content-length",    "expect"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [&](std::string_view hop) { return equal_ignoring_case(hop, name); });
}

MessageParser::MessageParser(MessageKind kind, MessageSink& sink)
    : kind_(kind), head_checker_(kind), sink_(sink) {
  reset();
}

void MessageParser::reset() {
  http_parser_init(&parser_, kind_ == MessageKind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
  head_checker_ = HeadChecker(kind_);
  headers_ = Headers();
  target_.clear();
  last_was_value_ = true;
  begun_ = false;
  complete_ = false;
  stopped_ = false;
}

http_parser_settings MessageParser::make_settings() {
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_url = [](http_parser* parser, const char* bytes, size_t length) {
    owner_of(parser).target_.append(bytes, length);
    return 0;
  };
  settings.on_header_field = [](http_parser* parser, const char* bytes, size_t length) {
    MessageParser& owner = owner_of(parser);
    if (owner.last_was_value_) {
      owner.headers_.add("", "");
      owner.last_was_value_ = false;
    }
    owner.headers_.lines().back().name.append(bytes, length);
    return 0;
  };
  settings.on_header_value = [](http_parser* parser, const char* bytes, size_t length) {
    MessageParser& owner = owner_of(parser);
    owner.last_was_value_ = true;
    if (!owner.headers_.lines().empty()) {
      owner.headers_.lines().back().value.append(bytes, length);
    }
    return 0;
  };
  settings.on_headers_complete = [](http_parser* parser) {
    MessageParser& owner = owner_of(parser);
    owner.stopped_ = !owner.sink_.on_head();
    return owner.stopped_ ? -1 : 0;
  };
  settings.on_body = [](http_parser* parser, const char* bytes, size_t length) {
    MessageParser& owner = owner_of(parser);
    owner.stopped_ = !owner.sink_.on_body(std::string_view(bytes, length));
    return owner.stopped_ ? -1 : 0;
  };
  settings.on_message_complete = [](http_parser* parser) {
    owner_of(parser).complete_ = true;
    http_parser_pause(parser, 1);  // the bytes that follow are not part of this message
    return 0;
  };
  return settings;
}

ParseState MessageParser::feed(std::string_view bytes, size_t& consumed) {
  begun_ = begun_ || !bytes.empty();
  consumed = 0;
  const size_t head_bytes = head_checker_.feed(bytes);
  if (head_checker_.fault() != HeadFault::kNone) {
    return ParseState::kMalformed;
  }
  if (head_bytes > 0) {
    const ParseState state = parse(bytes.substr(0, head_bytes), consumed);
    if (state != ParseState::kIncomplete || head_bytes == bytes.size()) {
      return state;
    }
  }
  size_t consumed_of_body = 0;
  const ParseState state = parse(bytes.substr(consumed), consumed_of_body);
  consumed += consumed_of_body;
  return state;
}

ParseState MessageParser::parse(std::string_view bytes, size_t& consumed) {
  static const http_parser_settings settings = make_settings();
  consumed = http_parser_execute(&parser_, &settings, bytes.data(), bytes.size());
  const ParseState state = outcome();
  if (state == ParseState::kComplete) {
    http_parser_pause(&parser_, 0);
    sink_.on_complete();
  }
  return state;
}

ParseState MessageParser::outcome() const {
  if (stopped_) {
    return ParseState::kStopped;
  }
  if (complete_) {
    return ParseState::kComplete;
  }
  return HTTP_PARSER_ERRNO(&parser_) == HPE_OK && parser_.upgrade == 0 ? ParseState::kIncomplete
                                                                       : ParseState::kMalformed;
}

ParseState MessageParser::finish() {
  size_t consumed = 0;
  const ParseState state = feed(std::string_view(), consumed);
  return state == ParseState::kIncomplete ? ParseState::kMalformed : state;
}

}  // namespace stoat::http1
