#include <optional>
#include <type_traits>
#include <utility>
#include <variant>

#include "libwire/peer_shapes.h"
#include "libwire/wire.h"

namespace baobab {

namespace {

constexpr JsonStyle kJsonStyle = JsonStyle::kArray;

/** Array elements before those of the message: protocol, from, incarnation,
 * clock and tag. */
constexpr std::size_t kHeaderElements = 5;

tl::unexpected<Error> Malformed(const std::string& from, std::string message) {
  return tl::unexpected(Error{"decode peer message", from, std::move(message)});
}

/** Returns whether `tag` is the tag of T; if so, sets `message` unless it is
 * malformed. */
template <typename T>
bool ReadMessage(std::uint32_t tag,
                 const Json& json,
                 std::optional<PeerMessage>& message) {
  if (tag != Shape<T>::kTag) {
    return false;
  }
  T value;
  if (ReadFields<kJsonStyle>(json, value, kHeaderElements)) {
    message = std::move(value);
  }
  return true;
}

/** Returns whether `tag` is known; sets `message` unless it is malformed. */
template <std::size_t... I>
bool ReadMessageOfTag(std::uint32_t tag,
                      const Json& json,
                      std::optional<PeerMessage>& message,
                      std::index_sequence<I...>) {
  return (ReadMessage<std::variant_alternative_t<I, PeerMessage>>(tag, json,
                                                                  message) ||
          ...);
}

}  // namespace

std::string EncodePeer(const PeerEnvelope& envelope) {
  Json json = Json::array({envelope.protocol, envelope.from.value(),
                           envelope.incarnation.value(), envelope.clock});
  std::visit(
      [&json](const auto& message) {
        json.push_back(Shape<std::decay_t<decltype(message)>>::kTag);
        WriteFields<kJsonStyle>(message, json);
      },
      envelope.message);
  std::string data;
  Json::to_msgpack(json, data);
  return data;
}

Result<PeerEnvelope> DecodePeer(std::string_view data) {
  const auto json = ParseMessagePack(data);
  if (!json || !json->is_array()) {
    return Malformed(
        "", "not a MessagePack array, or too large or too deeply nested");
  }
  PeerEnvelope envelope;
  if (json->empty() || !Read<kJsonStyle>(json->at(0), envelope.protocol)) {
    return Malformed("", "no protocol version");
  }
  if (envelope.protocol != kPeerProtocol) {
    return Malformed("", "protocol " + std::to_string(envelope.protocol) +
                             ", this release uses " +
                             std::to_string(kPeerProtocol));
  }
  std::uint32_t tag = 0;
  if (json->size() < kHeaderElements ||
      !Read<kJsonStyle>(json->at(1), envelope.from) ||
      !Read<kJsonStyle>(json->at(2), envelope.incarnation) ||
      !Read<kJsonStyle>(json->at(3), envelope.clock) ||
      !Read<kJsonStyle>(json->at(4), tag)) {
    return Malformed("", "malformed header");
  }
  std::optional<PeerMessage> message;
  if (!ReadMessageOfTag(
          tag, *json, message,
          std::make_index_sequence<std::variant_size_v<PeerMessage>>())) {
    return Malformed(envelope.from.value(),
                     "unknown message type " + std::to_string(tag));
  }
  if (!message) {
    return Malformed(envelope.from.value(),
                     "malformed message of type " + std::to_string(tag));
  }
  envelope.message = *std::move(message);
  return envelope;
}

}  // namespace baobab
