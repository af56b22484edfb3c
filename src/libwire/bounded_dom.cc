#include "libwire/bounded_dom.h"

#include <cstdint>
#include <stdexcept>
#include <utility>

namespace baobab {

std::optional<Json> BoundedDom::Parse(std::string_view data,
                                      nlohmann::detail::input_format_t format) {
  BoundedDom dom;
  if (!Json::sax_parse(data.begin(), data.end(), &dom, format)) {
    return std::nullopt;
  }
  return std::move(dom.root_);
}

bool BoundedDom::null() {
  return AddValue(nullptr);
}

bool BoundedDom::boolean(bool value) {
  return AddValue(value);
}

bool BoundedDom::number_integer(number_integer_t value) {
  return AddValue(value);
}

bool BoundedDom::number_unsigned(number_unsigned_t value) {
  return AddValue(value);
}

bool BoundedDom::number_float(number_float_t value, const string_t&) {
  return AddValue(value);
}

bool BoundedDom::string(string_t& value) {
  return AddValue(std::move(value));
}

bool BoundedDom::binary(binary_t& value) {
  return AddValue(Json::binary(std::move(value)));
}

bool BoundedDom::start_object(std::size_t) {
  return OpenContainer(Json::object());
}

bool BoundedDom::key(string_t& name) {
  if (open_containers_.back()->contains(name)) {
    return false;
  }
  current_key_ = std::move(name);
  return true;
}

bool BoundedDom::end_object() {
  return CloseContainer();
}

bool BoundedDom::start_array(std::size_t) {
  return OpenContainer(Json::array());
}

bool BoundedDom::end_array() {
  return CloseContainer();
}

bool BoundedDom::parse_error(std::size_t,
                             const std::string&,
                             const nlohmann::detail::exception&) {
  return false;
}

bool BoundedDom::AddValue(Json value) {
  if (++value_count_ > kMaxValues) {
    return false;
  }
  if (open_containers_.empty()) {
    root_ = std::move(value);
  } else if (open_containers_.back()->is_array()) {
    open_containers_.back()->push_back(std::move(value));
  } else {
    (*open_containers_.back())[current_key_] = std::move(value);
  }
  return true;
}

bool BoundedDom::OpenContainer(Json container) {
  if (open_containers_.size() >= kMaxDepth || !AddValue(std::move(container))) {
    return false;
  }
  Json* added = &root_;
  if (!open_containers_.empty()) {
    Json& parent = *open_containers_.back();
    added = parent.is_array() ? &parent.back() : &parent[current_key_];
  }
  open_containers_.push_back(added);
  return true;
}

bool BoundedDom::CloseContainer() {
  open_containers_.pop_back();
  return true;
}

std::optional<Json> ParseJson(std::string_view text) {
  return BoundedDom::Parse(text, nlohmann::detail::input_format_t::json);
}

std::optional<Json> ParseMessagePack(std::string_view data) {
  return BoundedDom::Parse(data, nlohmann::detail::input_format_t::msgpack);
}

Json RequireMessagePack(std::string_view data) {
  auto json = ParseMessagePack(data);
  if (!json) {
    throw std::invalid_argument("malformed or excessively nested MessagePack");
  }
  return std::move(*json);
}

std::string DumpJson(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool IsUtf8(std::string_view text) {
  std::size_t at = 0;
  while (at < text.size()) {
    const auto lead = static_cast<unsigned char>(text[at]);
    std::size_t continuation_bytes = 0;
    std::uint32_t min_code_point = 0;
    std::uint32_t code_point = lead;
    if (lead < 0x80) {
      ++at;
      continue;
    }
    if (lead >= 0xC2 && lead <= 0xDF) {
      continuation_bytes = 1;
      min_code_point = 0x80;
      code_point = lead & 0x1FU;
    } else if (lead >= 0xE0 && lead <= 0xEF) {
      continuation_bytes = 2;
      min_code_point = 0x800;
      code_point = lead & 0x0FU;
    } else if (lead >= 0xF0 && lead <= 0xF4) {
      continuation_bytes = 3;
      min_code_point = 0x10000;
      code_point = lead & 0x07U;
    } else {
      return false;
    }
    if (text.size() - at <= continuation_bytes) {
      return false;
    }
    for (std::size_t n = 1; n <= continuation_bytes; ++n) {
      const auto next = static_cast<unsigned char>(text[at + n]);
      if ((next & 0xC0U) != 0x80) {
        return false;
      }
      code_point = code_point << 6 | (next & 0x3FU);
    }
    const bool surrogate = code_point >= 0xD800 && code_point <= 0xDFFF;
    if (code_point < min_code_point || code_point > 0x10FFFF || surrogate) {
      return false;
    }
    at += continuation_bytes + 1;
  }
  return true;
}

}  // namespace baobab
