#include "src/http1/head_check.h"

#include <algorithm>

#include "src/http1/message.h"

namespace stoat::http1 {

namespace {

/// Number of header lines seen so far that determine the framing of a message.
struct Framing {
  int host_count = 0;
  int length_count = 0;
  int encoding_count = 0;
};

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
  const std::string_view version = line.substr(last_space + 1);
  return version == "HTTP/1.1" || version == "HTTP/1.0" ? HeadFault::kNone : HeadFault::kVersion;
}

HeadFault check_length(std::string_view value, Framing& framing) {
  constexpr size_t kMaxDigits = 18;
  const bool digits = !value.empty() && value.size() <= kMaxDigits &&
                      std::all_of(value.begin(), value.end(), [](char c) { return c >= '0' && c <= '9'; });
  ++framing.length_count;
  return digits && framing.length_count == 1 ? HeadFault::kNone : HeadFault::kLength;
}

HeadFault check_header_line(std::string_view line, Framing& framing) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) {
    return HeadFault::kMalformedName;
  }
  const std::string_view name = line.substr(0, colon);
  if (name.find_first_of(" \t") != std::string_view::npos) {
    return HeadFault::kMalformedName;
  }
  const std::string_view value = trim(line.substr(colon + 1));
  if (equal_ignoring_case(name, "host")) {
    ++framing.host_count;
  } else if (equal_ignoring_case(name, "content-length")) {
    return check_length(value, framing);
  } else if (equal_ignoring_case(name, "transfer-encoding")) {
    ++framing.encoding_count;
    if (framing.encoding_count > 1 || !equal_ignoring_case(value, "chunked")) {
      return HeadFault::kEncoding;
    }
  }
  return HeadFault::kNone;
}

HeadFault check_line(std::string_view line, bool first, Framing& framing) {
  if (!first && (line.front() == ' ' || line.front() == '\t')) {
    return HeadFault::kFolded;
  }
  if (std::any_of(line.begin(), line.end(), is_control)) {
    return line.find_first_of("\r\n") != std::string_view::npos ? HeadFault::kBareLineEnd
                                                                : HeadFault::kControlByte;
  }
  return first ? check_request_line(line) : check_header_line(line, framing);
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
  }
  return "unknown";
}

HeadFault check_request_head(std::string_view head) {
  Framing framing;
  bool first = true;
  size_t position = 0;
  for (;;) {
    const size_t end = head.find("\r\n", position);
    if (end == std::string_view::npos || end == position) {
      break;
    }
    const HeadFault fault = check_line(head.substr(position, end - position), first, framing);
    if (fault != HeadFault::kNone) {
      return fault;
    }
    first = false;
    position = end + 2;
  }
  if (framing.host_count != 1) {
    return HeadFault::kNoHost;
  }
  return framing.length_count > 0 && framing.encoding_count > 0 ? HeadFault::kLength : HeadFault::kNone;
}

}  // namespace stoat::http1
