#ifndef SRC_LIBWIRE_BOUNDED_DOM_H_
#define SRC_LIBWIRE_BOUNDED_DOM_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace baobab {

using Json = nlohmann::json;

/** SAX handler that builds a JSON value from untrusted input, with limits on
 * nesting depth and number of values. The DOM builder of nlohmann::json has no
 * limits, and its MessagePack reader recurses for each level of nesting. */
class BoundedDom : public nlohmann::json_sax<Json> {
 public:
  static constexpr std::size_t kMaxDepth = 16;
  /** A value takes at most about 100 bytes, so 25 MB in the worst case. */
  static constexpr std::size_t kMaxValues = 256u << 10;

  /** Parses JSON text or MessagePack; empty if the input is malformed, repeats
   * a key of an object or exceeds a limit. */
  static std::optional<Json> Parse(std::string_view data,
                                   nlohmann::detail::input_format_t format);

  bool null() override;
  bool boolean(bool value) override;
  bool number_integer(number_integer_t value) override;
  bool number_unsigned(number_unsigned_t value) override;
  bool number_float(number_float_t value, const string_t& text) override;
  bool string(string_t& value) override;
  bool binary(binary_t& value) override;
  bool start_object(std::size_t size) override;
  bool key(string_t& name) override;
  bool end_object() override;
  bool start_array(std::size_t size) override;
  bool end_array() override;
  bool parse_error(std::size_t position,
                   const std::string& token,
                   const nlohmann::detail::exception& error) override;

 private:
  bool AddValue(Json value);
  bool OpenContainer(Json container);
  bool CloseContainer();

  Json root_;
  /** Arrays and objects whose end was not read yet, outermost first. */
  std::vector<Json*> open_containers_;
  /** Key of the next value of the innermost open object. */
  std::string current_key_;
  std::size_t value_count_ = 0;
};

/** Parses JSON text within the limits of BoundedDom. */
std::optional<Json> ParseJson(std::string_view text);

/** Parses one MessagePack value within the limits of BoundedDom. */
std::optional<Json> ParseMessagePack(std::string_view data);

/** Does the same, but throws std::invalid_argument instead of returning
 * nothing. */
Json RequireMessagePack(std::string_view data);

/** Returns the JSON text on one line; invalid UTF-8 is replaced by U+FFFD. */
std::string DumpJson(const Json& json);

/** True if the text is valid UTF-8 without surrogates or overlong forms. */
bool IsUtf8(std::string_view text);

}  // namespace baobab

#endif  // SRC_LIBWIRE_BOUNDED_DOM_H_
