/// What the request path reads from the headers of a caller's request.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/dispatch/request_protocol.h"
#include "src/http1/message.h"

namespace stoat::dispatch {

/// One named part of a prompt. A prompt is a chain of parts; equal beginnings of chains can share KV cache.
struct PromptPart {
  uint64_t id = 0;  ///< hash of the part's name
  uint32_t tokens = 0;
};

/// Typed header fields of one request.
struct RequestFields {
  std::string id;
  std::optional<int64_t> deadline_ms;
  std::string key;  ///< the caller's access key; empty: none
  std::string model;
  std::vector<PromptPart> parts;
  uint32_t prompt_tokens = 0;
  uint32_t output_tokens = 0;
  bool has_token_counts = false;         ///< the two counts above were given
  bool malformed_token_counts = false;   ///< they were given, but are not two whole numbers
  std::optional<int64_t> last_event_id;  ///< the caller has the stream up to this event
};

/// Reads the fields; what is missing or malformed stays empty, which only the counts of tokens tell apart.
RequestFields read_fields(const http1::Headers& headers, const HeaderNames& names);

/// A whole number from text; nullopt when it is anything else.
std::optional<int64_t> parse_integer(const std::string& text);

}  // namespace stoat::dispatch
