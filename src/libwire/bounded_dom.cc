#include "libwire/bounded_dom.h"

#include <cstdint>
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
  return Add(nullptr);
}

bool BoundedDom::boolean(bool value) {
  return Add(value);
}

bool BoundedDom::number_integer(number_integer_t value) {
  return Add(value);
}

bool BoundedDom::number_unsigned(number_unsigned_t value) {
  return Add(value);
}

bool BoundedDom::number_float(number_float_t value, const string_t&) {
  return Add(value);
}

bool BoundedDom::string(string_t& value) {
  return Add(std::move(value));
}

bool BoundedDom::binary(binary_t& value) {
  return Add(Json::binary(std::move(value)));
}

bool BoundedDom::start_object(std::size_t) {
  return Open(Json::object());
}

bool BoundedDom::key(string_t& name) {
  if (open_.back()->contains(name)) {
    return false;
  }
  key_ = std::move(name);
  return true;
}

bool BoundedDom::end_object() {
  return Close();
}

bool BoundedDom::start_array(std::size_t) {
  return Open(Json::array());
}

bool BoundedDom::end_array() {
  return Close();
}

bool BoundedDom::parse_error(std::size_t,
                             const std::string&,
                             const nlohmann::detail::exception&) {
  return false;
}

bool BoundedDom::Add(Json value) {
  if (++values_ > kMaxValues) {
    return false;
  }
  if (open_.empty()) {
    root_ = std::move(value);
  } else if (open_.back()->is_array()) {
    open_.back()->push_back(std::move(value));
  } else {
    (*open_.back())[key_] = std::move(value);
  }
  return true;
}

bool BoundedDom::Open(Json container) {
  if (open_.size() >= kMaxDepth || !Add(std::move(container))) {
    return false;
  }
  Json* added = &root_;
  if (!open_.empty()) {
    Json& parent = *open_.back();
    added = parent.is_array() ? &parent.back() : &parent[key_];
  }
  open_.push_back(added);
  return true;
}

bool BoundedDom::Close() {
  open_.pop_back();
  return true;
}

std::optional<Json> ParseJson(std::string_view text) {
  return BoundedDom::Parse(text, nlohmann::detail::input_format_t::json);
}

std::optional<Json> ParseMessagePack(std::string_view data) {
  return BoundedDom::Parse(data, nlohmann::detail::input_format_t::msgpack);
}

std::string JsonText(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool IsUtf8(std::string_view text) {
  std::size_t at = 0;
  while (at < text.size()) {
    const auto lead = static_cast<unsigned char>(text[at]);
    std::size_t follow = 0;
    std::uint32_t lowest = 0;
    std::uint32_t point = lead;
    if (lead < 0x80) {
      ++at;
      continue;
    }
    if (lead >= 0xC2 && lead <= 0xDF) {
      follow = 1;
      lowest = 0x80;
      point = lead & 0x1FU;
    } else if (lead >= 0xE0 && lead <= 0xEF) {
      follow = 2;
      lowest = 0x800;
      point = lead & 0x0FU;
    } else if (lead >= 0xF0 && lead <= 0xF4) {
      follow = 3;
      lowest = 0x10000;
      point = lead & 0x07U;
    } else {
      return false;
    }
    if (text.size() - at <= follow) {
      return false;
    }
    for (std::size_t n = 1; n <= follow; ++n) {
      const auto next = static_cast<unsigned char>(text[at + n]);
      if ((next & 0xC0U) != 0x80) {
        return false;
      }
      point = point << 6 | (next & 0x3FU);
    }
    const bool surrogate = point >= 0xD800 && point <= 0xDFFF;
    if (point < lowest || point > 0x10FFFF || surrogate) {
      return false;
    }
    at += follow + 1;
  }
  return true;
}

}  // namespace baobab
