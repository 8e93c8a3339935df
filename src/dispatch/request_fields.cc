#include "src/dispatch/request_fields.h"

#include <charconv>
#include <string_view>

#include "src/common/hash.h"

namespace stoat::dispatch {

namespace {

/// Higher token counts are treated as malformed.
constexpr int64_t kMaxTokens = 1000000000;

std::string value_of(const http1::Headers& headers, const std::string& name) {
  const std::string* value = headers.find(name);
  return value == nullptr ? "" : *value;
}

uint32_t parse_count(std::string_view text) {
  uint32_t count = 0;
  std::from_chars(text.data(), text.data() + text.size(), count);
  return count;
}

/// Parses token counts of the form "PROMPT,OUTPUT".
void read_token_counts(const std::string& text, RequestFields& fields) {
  const size_t comma = text.find(',');
  if (comma == std::string::npos) {
    fields.malformed_token_counts = !text.empty();
    return;
  }
  const auto prompt = parse_integer(text.substr(0, comma));
  const auto output = parse_integer(text.substr(comma + 1));
  const auto valid = [](const std::optional<int64_t>& count) {
    return count && *count >= 0 && *count <= kMaxTokens;
  };
  if (!valid(prompt) || !valid(output)) {
    fields.malformed_token_counts = true;
    return;
  }
  fields.has_token_counts = true;
  fields.prompt_tokens = static_cast<uint32_t>(*prompt);
  fields.output_tokens = static_cast<uint32_t>(*output);
}

std::vector<PromptPart> parse_parts(std::string_view text) {
  std::vector<PromptPart> parts;
  while (!text.empty()) {
    const size_t comma = text.find(',');
    const std::string_view item = text.substr(0, comma);
    const size_t colon = item.find(':');
    if (colon == std::string_view::npos) {
      return {};
    }
    parts.push_back(PromptPart{hash_bytes(item.substr(0, colon)), parse_count(item.substr(colon + 1))});
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
  }
  return parts;
}

std::string parse_key(const std::string& credential, const std::string& scheme) {
  const bool matches = credential.size() > scheme.size() + 1 && credential[scheme.size()] == ' ' &&
                       http1::equal_ignoring_case(credential.substr(0, scheme.size()), scheme);
  return matches ? credential.substr(scheme.size() + 1) : "";
}

}  // namespace

std::optional<int64_t> parse_integer(const std::string& text) {
  int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || text.empty()) {
    return std::nullopt;
  }
  return value;
}

RequestFields read_fields(const http1::Headers& headers, const HeaderNames& names) {
  RequestFields fields;
  fields.id = value_of(headers, names.request_id);
  fields.deadline_ms = parse_integer(value_of(headers, names.deadline_ms));
  fields.key = parse_key(value_of(headers, names.credential), names.credential_scheme);
  fields.model = value_of(headers, names.model);
  fields.parts = parse_parts(value_of(headers, names.prompt_parts));
  fields.last_event_id = parse_integer(value_of(headers, names.last_event_id));
  fields.resumes = value_of(headers, names.resumes);
  read_token_counts(value_of(headers, names.token_counts), fields);
  return fields;
}

}  // namespace stoat::dispatch
