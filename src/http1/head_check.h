/// Checks of a message head that go beyond what the parser library refuses. Where two programs could read one
/// head in two ways, a second request can be smuggled inside the first; such heads are refused.
#pragma once

#include <string_view>

namespace stoat::http1 {

/// What is wrong with a head.
enum class HeadFault : unsigned char {
  kNone,
  kBareLineEnd,  ///< a carriage return or line feed that is not part of a pair
  kFolded,       ///< a header line that goes on in the next one
  kControlByte,  ///< a NUL or another control character
  kSpaceInName,  ///< white space before the colon, or an empty name
  kNoHost,       ///< no Host header, or several
  kTarget,       ///< not a path
  kLength,       ///< a malformed or repeated Content-Length, or one beside Transfer-Encoding
  kEncoding,     ///< a Transfer-Encoding other than a single "chunked"
  kVersion,      ///< neither HTTP/1.1 nor HTTP/1.0
};

/// A short text for a fault.
const char* to_text(HeadFault fault);

/// Looks at the bytes of a request's head, from its first line to the empty line that ends it.
HeadFault check_request_head(std::string_view head);

}  // namespace stoat::http1
