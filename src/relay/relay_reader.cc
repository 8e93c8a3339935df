#include "src/relay/relay_reader.h"

#include <event2/buffer.h>

#include <algorithm>
#include <array>

namespace stoat::relay {

RelayReader::Next RelayReader::advance(evbuffer* input) {
  while (true) {
    if (data_left_ > 0) {
      return evbuffer_get_length(input) > 0 ? Next::kData : Next::kMore;
    }
    std::array<char, kFrameHeaderBytes> bytes{};
    if (evbuffer_get_length(input) < bytes.size()) {
      return Next::kMore;
    }
    evbuffer_copyout(input, bytes.data(), bytes.size());
    const auto header = decode_header({bytes.data(), bytes.size()});
    if (!header) {
      return Next::kMalformed;
    }
    if (header->type == FrameType::kData) {
      evbuffer_drain(input, bytes.size());
      data_left_ = header->payload_bytes;
      continue;
    }
    if (evbuffer_get_length(input) < bytes.size() + header->payload_bytes) {
      return Next::kMore;
    }
    evbuffer_drain(input, bytes.size());
    const Next next = read_control_frame(*header, input);
    if (next != Next::kMore) {
      return next;
    }
  }
}

RelayReader::Next RelayReader::read_control_frame(const FrameHeader& header, evbuffer* input) {
  uint8_t value = 0;
  evbuffer_copyout(input, &value, std::min<size_t>(1, header.payload_bytes));
  evbuffer_drain(input, header.payload_bytes);
  switch (header.type) {
    case FrameType::kConnected:
      return Next::kConnected;
    case FrameType::kNotConnected:
      connect_failure_ = static_cast<ConnectFailure>(value);
      return Next::kNotConnected;
    case FrameType::kEnd:
      end_reason_ = static_cast<EndReason>(value);
      return Next::kEnd;
    case FrameType::kClosing:
      closing_ = true;
      return Next::kMore;
    case FrameType::kData:
      break;
  }
  return Next::kMalformed;
}

size_t RelayReader::data_bytes(evbuffer* input) const {
  return std::min<size_t>(data_left_, evbuffer_get_contiguous_space(input));
}

}  // namespace stoat::relay
