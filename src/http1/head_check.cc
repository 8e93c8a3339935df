#include "src/http1/head_check.h"

#include <algorithm>
#include <cctype>

#include "src/http1/message.h"

namespace stoat::http1 {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

bool is_control(char byte) {
  const auto code = static_cast<unsigned char>(byte);
  return (code < ' ' && byte != '\t') || code == 0x7f;
}

bool is_digit(char byte) { return byte >= '0' && byte <= '9'; }

/// True for the bytes of a token, of which names of headers consist.
bool is_token_byte(char byte) {
  return std::isalnum(static_cast<unsigned char>(byte)) != 0 ||
         (byte != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(byte) != std::string_view::npos);
}

/// True unless no response can begin with these bytes.
bool may_begin_response(std::string_view bytes) {
  constexpr std::string_view kBegin = "HTTP/1.";
  return bytes.starts_with(kBegin.substr(0, bytes.size()));
}

bool is_known_version(std::string_view version) { return version == "HTTP/1.1" || version == "HTTP/1.0"; }

HeadFault check_request_line(std::string_view line) {
  const size_t first_space = line.find(' ');
  const size_t last_space = line.rfind(' ');
  if (first_space == std::string_view::npos || last_space == first_space) {
    return HeadFault::kTarget;
  }
  const std::string_view target = line.substr(first_space + 1, last_space - first_space - 1);
  if (target.empty() || target.front() != '/' || target.find(' ') != std::string_view::npos) {
    return HeadFault::kTarget;
  }
  return is_known_version(line.substr(last_space + 1)) ? HeadFault::kNone : HeadFault::kVersion;
}

}  // namespace

const char* to_text(HeadFault fault) {
  switch (fault) {
    case HeadFault::kNone:
      return "none";
    case HeadFault::kBareLineEnd:
      return "a line must end in CR LF";
    case HeadFault::kFolded:
      return "a header must not be folded";
    case HeadFault::kControlByte:
      return "control character in the head";
    case HeadFault::kMalformedName:
      return "malformed header name";
    case HeadFault::kNoHost:
      return "there must be one Host header";
    case HeadFault::kTarget:
      return "the target must be a path";
    case HeadFault::kLength:
      return "malformed, repeated or contradicted Content-Length";
    case HeadFault::kEncoding:
      return "the only Transfer-Encoding taken is chunked";
    case HeadFault::kVersion:
      return "the version must be HTTP/1.1 or HTTP/1.0";
    case HeadFault::kStatus:
      return "the status must be a number from 100 to 599";
    case HeadFault::kTooLong:
      return "the head is too long";
  }
  return "unknown";
}

size_t HeadChecker::feed(std::string_view bytes) {
  size_t used = 0;
  while (!complete_ && fault_ == HeadFault::kNone && used < bytes.size()) {
    const std::string_view rest = bytes.substr(used);
    const size_t line_feed = rest.find('\n');
    const size_t length = line_feed == std::string_view::npos ? rest.size() : line_feed + 1;
    used += length;
    size_ += length;
    if (size_ > kMaxHeadBytes) {
      fault_ = HeadFault::kTooLong;
      break;
    }
    partial_line_ += rest.substr(0, length);
    if (line_feed != std::string_view::npos) {
      end_line(partial_line_);
      partial_line_.clear();
    } else if (first_line_ && kind_ == MessageKind::kResponse && !may_begin_response(partial_line_)) {
      fault_ = HeadFault::kVersion;
    }
  }
  return used;
}

void HeadChecker::end_line(std::string_view line) {
  if (!line.ends_with(kLineEnd)) {
    fault_ = HeadFault::kBareLineEnd;
    return;
  }
  line.remove_suffix(kLineEnd.size());
  if (line.empty() && !first_line_) {
    fault_ = check_framing();
    complete_ = fault_ == HeadFault::kNone;
    return;
  }
  fault_ = check_line(line);
  first_line_ = false;
}

HeadFault HeadChecker::check_line(std::string_view line) {
  if (!first_line_ && (line.front() == ' ' || line.front() == '\t')) {
    return HeadFault::kFolded;
  }
  if (std::any_of(line.begin(), line.end(), is_control)) {
    return line.find('\r') != std::string_view::npos ? HeadFault::kBareLineEnd : HeadFault::kControlByte;
  }
  if (!first_line_) {
    return check_header_line(line);
  }
  return kind_ == MessageKind::kRequest ? check_request_line(line) : check_status_line(line);
}

HeadFault HeadChecker::check_status_line(std::string_view line) {
  constexpr size_t kVersionLength = 8;
  constexpr size_t kStatusLength = 3;
  if (!is_known_version(line.substr(0, kVersionLength))) {
    return HeadFault::kVersion;
  }
  line.remove_prefix(kVersionLength);
  const bool separated = line.starts_with(' ') && line.size() > kStatusLength &&
                         (line.size() == kStatusLength + 1 || line[kStatusLength + 1] == ' ');
  const std::string_view digits = separated ? line.substr(1, kStatusLength) : std::string_view();
  if (!separated || !std::all_of(digits.begin(), digits.end(), is_digit)) {
    return HeadFault::kStatus;
  }
  status_ = std::stoi(std::string(digits));
  return status_ >= kFirstStatus && status_ <= kLastStatus ? HeadFault::kNone : HeadFault::kStatus;
}

HeadFault HeadChecker::check_header_line(std::string_view line) {
  const size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  if (colon == std::string_view::npos || name.empty() ||
      !std::all_of(name.begin(), name.end(), is_token_byte)) {
    return HeadFault::kMalformedName;
  }
  const std::string_view value = trim(line.substr(colon + 1));
  if (equal_ignoring_case(name, "host")) {
    ++framing_.host_count;
  } else if (equal_ignoring_case(name, "content-length")) {
    return check_length(value);
  } else if (equal_ignoring_case(name, "transfer-encoding")) {
    ++framing_.encoding_count;
    if (framing_.encoding_count > 1 || !equal_ignoring_case(value, "chunked")) {
      return HeadFault::kEncoding;
    }
  }
  return HeadFault::kNone;
}

HeadFault HeadChecker::check_length(std::string_view value) {
  constexpr size_t kMaxDigits = 18;
  const bool digits =
      !value.empty() && value.size() <= kMaxDigits && std::all_of(value.begin(), value.end(), is_digit);
  ++framing_.length_count;
  return digits && framing_.length_count == 1 ? HeadFault::kNone : HeadFault::kLength;
}

HeadFault HeadChecker::check_framing() const {
  if (kind_ == MessageKind::kRequest && framing_.host_count != 1) {
    return HeadFault::kNoHost;
  }
  return framing_.length_count > 0 && framing_.encoding_count > 0 ? HeadFault::kLength : HeadFault::kNone;
}

}  // namespace stoat::http1
