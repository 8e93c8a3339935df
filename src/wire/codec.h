/// MessagePack encoding of typed messages. A variant is encoded as [alternative index, value].
#pragma once

#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <tuple>
#include <variant>

namespace stoat::wire {

/// Why bytes could not be decoded.
struct CodecError {
  std::string message;
};

/// Maximum nesting depth of the lists in a message.
inline constexpr size_t kMaxDepth = 64;

/// Encodes a value of a standard type or a type with MSGPACK_DEFINE_ARRAY.
template <typename Value>
std::string encode(const Value& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return std::string(buffer.data(), buffer.size());
}

/// Decodes bytes that hold exactly one value. Never throws.
template <typename Value>
tl::expected<Value, CodecError> decode(std::string_view bytes) {
  try {
    size_t offset = 0;
    // Every element takes at least one byte. Without these limits, memory would be allocated for the claimed
    // length of a list before its elements are read.
    const msgpack::unpack_limit limit(bytes.size(), bytes.size(), bytes.size(), bytes.size(), bytes.size(),
                                      kMaxDepth);
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
    if (offset != bytes.size()) {
      return tl::make_unexpected(CodecError{"unexpected bytes after the message"});
    }
    return handle.get().as<Value>();
  } catch (const std::exception& error) {
    return tl::make_unexpected(CodecError{error.what()});
  }
}

/// The tag of an encoded TaggedVariant, also if the alternative is unknown; nullopt if the bytes are no
/// encoded variant.
inline std::optional<uint32_t> tag_of(std::string_view bytes) {
  const auto tagged = decode<std::tuple<uint32_t, msgpack::object>>(bytes);
  return tagged ? std::optional(std::get<0>(*tagged)) : std::nullopt;
}

/// A variant that is encoded as [index, value]. New alternatives must be added at the end.
template <typename... Alternatives>
struct TaggedVariant {
  using Variant = std::variant<Alternatives...>;
  Variant value;

  TaggedVariant() = default;
  template <typename Alternative, typename = std::enable_if_t<std::is_constructible_v<Variant, Alternative>>>
  TaggedVariant(Alternative&& alternative) : value(std::forward<Alternative>(alternative)) {}

  template <typename Packer>
  void msgpack_pack(Packer& packer) const {
    packer.pack_array(2);
    packer.pack(static_cast<uint32_t>(value.index()));
    std::visit([&packer](const auto& alternative) { packer.pack(alternative); }, value);
  }

  void msgpack_unpack(const msgpack::object& object) {
    if (object.type != msgpack::type::ARRAY || object.via.array.size != 2) {
      throw msgpack::type_error();
    }
    const auto index = object.via.array.ptr[0].as<uint32_t>();
    if (!read_alternative<0>(index, object.via.array.ptr[1])) {
      throw msgpack::type_error();
    }
  }

 private:
  template <size_t Index>
  bool read_alternative(uint32_t index, const msgpack::object& body) {
    if constexpr (Index < sizeof...(Alternatives)) {
      if (index != Index) {
        return read_alternative<Index + 1>(index, body);
      }
      value = body.as<std::variant_alternative_t<Index, Variant>>();
      return true;
    } else {
      return false;
    }
  }
};

}  // namespace stoat::wire
