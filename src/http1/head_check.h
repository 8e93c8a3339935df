/// Validation of request heads, stricter than the parser library. If two programs interpret an ambiguous head
/// differently, a second request can be smuggled inside the first (request smuggling); such heads are
/// rejected.
#pragma once

#include <string_view>

namespace stoat::http1 {

/// Why a head is rejected.
enum class HeadFault : unsigned char {
  kNone,
  kBareLineEnd,    ///< a carriage return or line feed that is not part of a CR LF pair
  kFolded,         ///< a header line that is continued on the next line
  kControlByte,    ///< a NUL or another control character
  kMalformedName,  ///< no colon, an empty name, or a space or tab before the colon
  kNoHost,         ///< no Host header, or more than one
  kTarget,         ///< the request line is malformed, or its target is not a path
  kLength,         ///< a malformed or repeated Content-Length, or one together with Transfer-Encoding
  kEncoding,       ///< a Transfer-Encoding other than a single "chunked"
  kVersion,        ///< neither HTTP/1.1 nor HTTP/1.0
};

/// Error message for a fault.
const char* to_text(HeadFault fault);

/// Checks the bytes of a request head, from the request line to the empty line that ends it. Returns the
/// first fault found, or kNone.
HeadFault check_request_head(std::string_view head);

}  // namespace stoat::http1
