#include "src/relay/relay_protocol.h"

#include <arpa/inet.h>

#include <cstring>

#include "src/wire/codec.h"

namespace stoat::relay {

namespace {

std::string encode_length(size_t length) {
  const uint32_t big_endian = htonl(static_cast<uint32_t>(length));
  return {reinterpret_cast<const char*>(&big_endian), sizeof(big_endian)};
}

}  // namespace

std::string encode_request(const RelayRequest& request) {
  const std::string body = wire::encode(request);
  return encode_length(body.size()) + body;
}

std::optional<RelayRequest> decode_request(std::string_view bytes) {
  auto request = wire::decode<RelayRequest>(std::string(bytes));
  if (!request) {
    return std::nullopt;
  }
  return std::move(*request);
}

std::string encode_header(FrameType type, size_t payload_bytes) {
  return std::string(1, static_cast<char>(type)) + encode_length(payload_bytes);
}

std::string encode_frame(FrameType type, uint8_t payload) {
  return encode_header(type, 1) + static_cast<char>(payload);
}

std::optional<FrameHeader> decode_header(std::string_view bytes) {
  FrameHeader header;
  header.type = static_cast<FrameType>(bytes.front());
  uint32_t big_endian = 0;
  std::memcpy(&big_endian, bytes.data() + 1, sizeof(big_endian));
  header.payload_bytes = ntohl(big_endian);
  const bool known_type = header.type >= FrameType::kConnected && header.type <= FrameType::kClosing;
  const bool needs_byte = header.type == FrameType::kNotConnected || header.type == FrameType::kEnd;
  if (!known_type || header.payload_bytes > kMaxPayloadBytes || (needs_byte && header.payload_bytes == 0)) {
    return std::nullopt;
  }
  return header;
}

}  // namespace stoat::relay
