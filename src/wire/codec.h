/// MessagePack encoding of typed messages. A variant is encoded as [tag, value].
#pragma once

#include <array>
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

/// One type of a TaggedVariant and the tag that identifies it in the encoding. It is read under `kFormerTags`
/// too, but never written.
template <uint32_t kTagValue, typename Type, uint32_t... kFormerTags>
struct Alternative {
  static constexpr uint32_t kTag = kTagValue;
  using Value = Type;
  static constexpr bool reads(uint32_t tag) { return tag == kTagValue || ((tag == kFormerTags) || ...); }
};

/// Tags of types that no longer exist. They must not be used again, because other builds may still send them.
template <uint32_t... kTags>
struct ReservedTags {
  static constexpr bool contains(uint32_t tag) { return ((tag == kTags) || ...); }
};

/// A variant that is encoded as [tag, value]. Processes of several builds read each other's variants, so the
/// tag of a type never changes, and fields may only be added to it, at its end.
template <typename Reserved, typename... Alternatives>
struct TaggedVariant {
  using Variant = std::variant<typename Alternatives::Value...>;
  Variant value;

  TaggedVariant() = default;
  template <typename Type, typename = std::enable_if_t<std::is_constructible_v<Variant, Type>>>
  TaggedVariant(Type&& initial) : value(std::forward<Type>(initial)) {}

  /// Whether the tag is that of one of the types.
  static constexpr bool knows(uint32_t tag) { return (Alternatives::reads(tag) || ...); }

  template <typename Packer>
  void msgpack_pack(Packer& packer) const {
    packer.pack_array(2);
    packer.pack(kTags[value.index()]);
    std::visit([&packer](const auto& held) { packer.pack(held); }, value);
  }

  void msgpack_unpack(const msgpack::object& object) {
    if (object.type != msgpack::type::ARRAY || object.via.array.size != 2) {
      throw msgpack::type_error();
    }
    const auto tag = object.via.array.ptr[0].as<uint32_t>();
    const bool is_read = (read_as<Alternatives>(tag, object.via.array.ptr[1]) || ...);
    if (!is_read) {
      throw msgpack::type_error();
    }
  }

 private:
  static constexpr std::array<uint32_t, sizeof...(Alternatives)> kTags = {Alternatives::kTag...};

  /// Whether each tag that is written is read as one type only.
  static constexpr bool tags_are_unique() {
    for (const uint32_t tag : kTags) {
      if ((static_cast<size_t>(Alternatives::reads(tag)) + ...) != 1) {
        return false;
      }
    }
    return true;
  }
  static_assert(tags_are_unique(), "two types have the same tag");
  static_assert(!(Reserved::contains(Alternatives::kTag) || ...), "a type has the tag of a removed one");

  template <typename Candidate>
  bool read_as(uint32_t tag, const msgpack::object& body) {
    if (!Candidate::reads(tag)) {
      return false;
    }
    value = body.as<typename Candidate::Value>();
    return true;
  }
};

/// Keeps the place of a removed field in an encoding: written as the default of its former type, skipped when
/// it is read.
template <typename Type>
struct RemovedField {
  template <typename Packer>
  void msgpack_pack(Packer& packer) const {
    packer.pack(Type{});
  }
  void msgpack_unpack(const msgpack::object&) {}
};

}  // namespace stoat::wire
