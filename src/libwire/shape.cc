#include "libwire/shape.h"

namespace baobab {

namespace {

/** Object key of a byte string that is not valid UTF-8. */
constexpr const char* kLatin1Key = "latin1";

/** Encodes each byte as the character U+0000 to U+00FF with the same number. */
std::string Latin1ToUtf8(const std::string& bytes) {
  std::string text;
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x80) {
      text += c;
    } else {
      text += static_cast<char>(0xC0U | (byte >> 6U));
      text += static_cast<char>(0x80U | (byte & 0x3FU));
    }
  }
  return text;
}

/** Reverses Latin1ToUtf8(); fails at a character above U+00FF. */
bool Utf8ToLatin1(const std::string& text, std::string& bytes) {
  bytes.clear();
  for (std::size_t n = 0; n < text.size(); ++n) {
    const auto lead = static_cast<unsigned char>(text[n]);
    if (lead < 0x80) {
      bytes += text[n];
    } else if ((lead == 0xC2 || lead == 0xC3) && n + 1 < text.size()) {
      const auto next = static_cast<unsigned char>(text[++n]);
      bytes += static_cast<char>((lead & 0x03U) << 6U | (next & 0x3FU));
    } else {
      return false;
    }
  }
  return true;
}

}  // namespace

Json WriteBytes(const std::string& value, JsonStyle style) {
  if (style == JsonStyle::kArray) {
    return Json::binary({value.begin(), value.end()});
  }
  if (IsUtf8(value)) {
    return value;
  }
  return Json{{kLatin1Key, Latin1ToUtf8(value)}};
}

bool ReadBytes(const Json& json, std::string& value) {
  if (json.is_binary()) {
    const auto& bytes = json.get_binary();
    value.assign(bytes.begin(), bytes.end());
    return true;
  }
  if (!json.is_object()) {
    return ReadText(json, value);
  }
  std::string text;
  const auto it = json.find(kLatin1Key);
  return it != json.end() && ReadText(*it, text) && Utf8ToLatin1(text, value);
}

}  // namespace baobab
