/// The protocol between a router that can't reach a backend itself and the router that relays for it.
///
/// Each connection carries one connection to a backend. The asking router sends a RelayRequest in a frame
/// with a 4-byte big-endian length, and after the kConnected frame the bytes for the backend, without
/// framing. The relaying router sends frames: a type, a 4-byte big-endian length, and a payload. How the
/// backend's connection ended has its own frame, so an end of the relay itself is never taken for an end of
/// the backend.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

struct evbuffer;

namespace stoat::relay {

/// Type of a frame from the relaying router.
enum class FrameType : uint8_t {
  kConnected = 1,     ///< the backend has accepted the connection; no payload
  kNotConnected = 2,  ///< payload: one ConnectFailure byte
  kData = 3,          ///< payload: bytes of the backend
  kEnd = 4,           ///< the backend's connection has ended; payload: one EndReason byte
  kClosing = 5,       ///< the relaying router is about to stop: the current exchange is the last; no payload
};

/// Why no connection to the backend was made.
enum class ConnectFailure : uint8_t {
  kRefused = 1,     ///< nothing listens at the backend's address
  kUnanswered = 2,  ///< the backend's host did not answer in time
  kUnknown = 3,     ///< the relaying router does not know the backend
  kNoRoom = 4,      ///< the relaying router takes no more connections
  kCutOff = 5,      ///< the relaying router is cut off from all backends itself
};

/// How an established connection to the backend ended.
enum class EndReason : uint8_t {
  kClosed = 1,  ///< in order, by the backend
  kReset = 2,
  kSilent = 3,  ///< the backend's host acknowledges nothing any more
};

/// First message on a relay connection.
struct RelayRequest {
  uint32_t protocol_version = 0;  ///< fleet::ProtocolVersion of the sender
  std::string router;             ///< name of the sender
  std::string backend;            ///< id of the backend's incarnation
  MSGPACK_DEFINE_ARRAY(protocol_version, router, backend)
};

/// Size of a frame's header in bytes.
inline constexpr size_t kFrameHeaderBytes = 5;
/// Size of the length that precedes a RelayRequest, in bytes.
inline constexpr size_t kRequestLengthBytes = 4;
/// Largest accepted RelayRequest and frame payload, in bytes.
inline constexpr uint32_t kMaxRequestBytes = 4096;
inline constexpr uint32_t kMaxPayloadBytes = 1U << 20U;

/// Header of a frame.
struct FrameHeader {
  FrameType type = FrameType::kData;
  uint32_t payload_bytes = 0;
};

/// Encodes a request with its length.
std::string encode_request(const RelayRequest& request);
/// Decodes a request without its length; nullopt if it is malformed.
std::optional<RelayRequest> decode_request(std::string_view bytes);
/// Encodes the header of a frame.
std::string encode_header(FrameType type, size_t payload_bytes);
/// Encodes a whole frame with a payload of one byte.
std::string encode_frame(FrameType type, uint8_t payload);
/// Decodes the header at the front of `bytes`, which holds at least kFrameHeaderBytes; nullopt if it is
/// malformed.
std::optional<FrameHeader> decode_header(std::string_view bytes);

}  // namespace stoat::relay
