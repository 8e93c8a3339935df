/// Validation of message heads, stricter than the parser library. If two programs interpret an ambiguous head
/// differently, a second message can be smuggled inside the first; such heads are rejected.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace stoat::http1 {

/// What a head begins.
enum class MessageKind : uint8_t { kRequest, kResponse };

/// Why a head is rejected.
enum class HeadFault : unsigned char {
  kNone,
  kBareLineEnd,    ///< a carriage return or line feed that is not part of a CR LF pair
  kFolded,         ///< a header line that is continued on the next line
  kControlByte,    ///< a NUL or another control character
  kMalformedName,  ///< no colon, an empty name, or a byte in the name that no token has, such as a space
  kNoHost,         ///< no Host header, or more than one, in a request
  kTarget,         ///< the request line is malformed, or its target is not a path
  kLength,         ///< a malformed or repeated Content-Length, or one together with Transfer-Encoding
  kEncoding,       ///< a Transfer-Encoding other than a single "chunked"
  kVersion,        ///< neither HTTP/1.1 nor HTTP/1.0
  kStatus,         ///< the status line has no status from 100 to 599
  kTooLong,        ///< longer than kMaxHeadBytes
};

/// Error message for a fault.
const char* to_text(HeadFault fault);

/// Responses with a lower status are interim ones: the final one follows.
inline constexpr int kFirstFinalStatus = 200;

/// Longest head that is read, from the first line to the empty line.
inline constexpr size_t kMaxHeadBytes = 80U << 10U;

/// Checks one head while its bytes arrive. A fault is found at the end of its line at the latest, and bytes
/// that no response begins with at once.
class HeadChecker {
 public:
  explicit HeadChecker(MessageKind kind) : kind_(kind) {}

  /// Checks the bytes that follow those of the calls before, up to the empty line that ends the head. Returns
  /// how many of them belong to the head. Does nothing once the head is complete or has a fault.
  size_t feed(std::string_view bytes);
  bool complete() const { return complete_; }
  HeadFault fault() const { return fault_; }
  /// The status of a response whose first line has been checked; 0 before that.
  int status() const { return status_; }

 private:
  /// Number of header lines seen so far that determine the framing of a message.
  struct Framing {
    int host_count = 0;
    int length_count = 0;
    int encoding_count = 0;
  };

  /// Takes one line with its line feed.
  void end_line(std::string_view line);
  HeadFault check_line(std::string_view line);
  HeadFault check_status_line(std::string_view line);
  HeadFault check_header_line(std::string_view line);
  HeadFault check_length(std::string_view value);
  HeadFault check_framing() const;

  MessageKind kind_;
  std::string partial_line_;  ///< of which the end has not arrived
  size_t size_ = 0;           ///< bytes of the head so far
  bool first_line_ = true;
  bool complete_ = false;
  int status_ = 0;
  HeadFault fault_ = HeadFault::kNone;
  Framing framing_;
};

}  // namespace stoat::http1
