/// The header fields of a caller's request that the request path uses.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/dispatch/request_protocol.h"
#include "src/http1/message.h"

namespace stoat::dispatch {

/// One named part of a prompt. A prompt is a chain of parts; prompts with a common prefix of parts can share
/// KV cache.
struct PromptPart {
  uint64_t id = 0;  ///< hash of the part's name
  uint32_t tokens = 0;
};

/// Typed header fields of one request.
struct RequestFields {
  std::string id;
  std::optional<int64_t> deadline_ms;
  std::string key;  ///< access key of the caller; empty: none
  std::string model;
  std::vector<PromptPart> parts;
  uint32_t prompt_tokens = 0;
  uint32_t output_tokens = 0;            ///< maximum number
  bool has_token_counts = false;         ///< both token counts were given
  bool malformed_token_counts = false;   ///< token counts were given, but not as two valid integers
  std::optional<int64_t> last_event_id;  ///< last event of the stream that the caller already has
  std::string resumes;  ///< id of the attempt that brought the stream's first event; empty: not stated
};

/// Parses the fields. Missing and malformed ones stay empty; only for the token counts does the result
/// distinguish the two.
RequestFields read_fields(const http1::Headers& headers, const HeaderNames& names);

/// Parses a decimal integer; nullopt if the text is anything else.
std::optional<int64_t> parse_integer(const std::string& text);

}  // namespace stoat::dispatch
