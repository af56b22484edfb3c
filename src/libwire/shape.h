#ifndef SRC_LIBWIRE_SHAPE_H_
#define SRC_LIBWIRE_SHAPE_H_

#include <array>
#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

#include "libbase/base.h"
#include "libwire/bounded_dom.h"

namespace baobab {

/** A member of a struct and its JSON name. */
template <typename Owner, typename Member>
struct Field {
  const char* name;
  Member Owner::*member;
  /** Whether the string may hold bytes that are not valid UTF-8. */
  bool any_bytes = false;
};

template <typename Owner, typename Member>
Field(const char*, Member Owner::*) -> Field<Owner, Member>;
template <typename Owner, typename Member>
Field(const char*, Member Owner::*, bool) -> Field<Owner, Member>;

/** Encoding of a struct. Each specialisation has kFields, a tuple of Field, and
 * may have `static bool IsValid(const T&)` to check decoded values. */
template <typename T>
struct Shape;

/** Encoding of an enum. Each specialisation has kNames, the JSON names of the
 * values in order. */
template <typename T>
struct EnumNames;

/** Encoding of structs: as objects with named members, or as arrays of the
 * members in order. */
enum class JsonStyle { kObject, kArray };

/** A struct with a Shape. */
template <typename T>
concept Shaped = requires {
  Shape<T>::kFields;
};

/** Placeholder for MemberCount(): converts to any member type of the aggregate
 * Owner. */
template <typename Owner>
struct AnyMember {
  template <typename T>
  // NOLINTNEXTLINE(google-explicit-constructor): must convert implicitly.
  requires(!std::same_as<T, Owner>) operator T() const;
};

/** Returns the number of members of an aggregate: the maximum number of values
 * that can initialise it. */
template <typename T, typename... Values>
consteval std::size_t MemberCount() {
  if constexpr (requires { T{Values{}..., AnyMember<T>{}}; }) {
    return MemberCount<T, Values..., AnyMember<T>>();
  } else {
    return sizeof...(Values);
  }
}

/** Fails to compile if a member of T is missing from its Shape, since the
 * receiving process would not get it. */
template <Shaped T>
constexpr void CheckAllMembersListed() {
  static_assert(
      MemberCount<T>() ==
          std::tuple_size_v<std::remove_cvref_t<decltype(Shape<T>::kFields)>>,
      "Shape<T>::kFields must list all members of T");
}

template <typename T>
struct IsVector : std::false_type {};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type {};

template <typename T>
struct IsQuantity : std::false_type {};
template <typename Tag>
struct IsQuantity<Quantity<Tag>> : std::true_type {};

template <typename T>
struct IsStrongId : std::false_type {};
template <typename Tag, typename Rep>
struct IsStrongId<StrongId<Tag, Rep>> : std::true_type {};

/** Maximum absolute value of a decoded quantity, so that sums do not overflow.
 */
inline constexpr std::int64_t kMaxQuantity = 1'000'000'000;
/** Maximum absolute value of a decoded duration, so that sums do not overflow.
 */
inline constexpr Duration kMaxDuration = std::chrono::hours(24 * 3650);

/** Reads an integer; fails if it does not fit into T. */
template <std::integral T>
bool ReadInteger(const Json& json, T& value) {
  if (json.is_number_unsigned()) {
    const auto found = json.get<std::uint64_t>();
    if (!std::in_range<T>(found)) {
      return false;
    }
    value = static_cast<T>(found);
    return true;
  }
  if (!json.is_number_integer()) {
    return false;
  }
  const auto found = json.get<std::int64_t>();
  if (!std::in_range<T>(found)) {
    return false;
  }
  value = static_cast<T>(found);
  return true;
}

/** Reads a string; fails if it is not valid UTF-8. */
inline bool ReadText(const Json& json, std::string& value) {
  if (!json.is_string() || !IsUtf8(json.get_ref<const std::string&>())) {
    return false;
  }
  value = json.get_ref<const std::string&>();
  return true;
}

/** Encodes any bytes: as binary in an array (MessagePack); in an object (JSON
 * text) as a string if they are valid UTF-8, else as an object with one
 * character U+0000 to U+00FF for each byte. */
Json WriteBytes(const std::string& value, JsonStyle style);
/** Decodes the result of WriteBytes(). */
bool ReadBytes(const Json& json, std::string& value);

/** Encodes a struct, vector, enum or scalar value. */
template <JsonStyle S, typename T>
Json Write(const T& value);
/** Decodes the result of Write(); fails on a wrong type or a value out of
 * range. */
template <JsonStyle S, typename T>
bool Read(const Json& json, T& value);

template <JsonStyle S, typename T, typename M>
Json WriteField(const Field<T, M>& field, const T& value) {
  if constexpr (std::same_as<M, std::string>) {
    if (field.any_bytes) {
      return WriteBytes(value.*field.member, S);
    }
  }
  return Write<S>(value.*field.member);
}

template <JsonStyle S, typename T, typename M>
bool ReadField(const Field<T, M>& field, const Json& json, T& value) {
  if constexpr (std::same_as<M, std::string>) {
    if (field.any_bytes) {
      return ReadBytes(json, value.*field.member);
    }
  }
  return Read<S>(json, value.*field.member);
}

/** Adds the members of a struct to an object, or appends them to an array. */
template <JsonStyle S, Shaped T>
void WriteFields(const T& value, Json& json) {
  CheckAllMembersListed<T>();
  std::apply(
      [&](const auto&... field) {
        if constexpr (S == JsonStyle::kObject) {
          ((json[field.name] = WriteField<S>(field, value)), ...);
        } else {
          (json.push_back(WriteField<S>(field, value)), ...);
        }
      },
      Shape<T>::kFields);
}

/** Reads the members of a struct from an object, or from an array starting at
 * index `first`. An array must have no further elements; an object may. */
template <JsonStyle S, Shaped T>
bool ReadFields(const Json& json, T& value, std::size_t first = 0) {
  const bool ok = std::apply(
      [&](const auto&... field) {
        if constexpr (S == JsonStyle::kObject) {
          return json.is_object() &&
                 ((json.contains(field.name) &&
                   ReadField<S>(field, json.at(field.name), value)) &&
                  ...);
        } else {
          std::size_t n = first;
          return json.is_array() && json.size() == first + sizeof...(field) &&
                 (ReadField<S>(field, json.at(n++), value) && ...);
        }
      },
      Shape<T>::kFields);
  if constexpr (requires { Shape<T>::IsValid(value); }) {
    return ok && Shape<T>::IsValid(value);
  }
  return ok;
}

template <JsonStyle S, typename T>
Json Write(const T& value) {
  if constexpr (Shaped<T>) {
    Json json = S == JsonStyle::kObject ? Json::object() : Json::array();
    WriteFields<S>(value, json);
    return json;
  } else if constexpr (IsVector<T>::value) {
    Json json = Json::array();
    for (const auto& it : value) {
      json.push_back(Write<S>(it));
    }
    return json;
  } else if constexpr (std::is_enum_v<T>) {
    if constexpr (S == JsonStyle::kObject) {
      return std::string(EnumNames<T>::kNames.at(static_cast<int>(value)));
    } else {
      return static_cast<std::uint64_t>(value);
    }
  } else if constexpr (std::same_as<T, Duration>) {
    return value.count();
  } else if constexpr (IsStrongId<T>::value || IsQuantity<T>::value) {
    return value.value();
  } else {
    return value;
  }
}

template <JsonStyle S, typename T>
bool Read(const Json& json, T& value) {
  if constexpr (Shaped<T>) {
    return ReadFields<S>(json, value);
  } else if constexpr (IsVector<T>::value) {
    if (!json.is_array()) {
      return false;
    }
    value.clear();
    for (const auto& it : json) {
      if (!Read<S>(it, value.emplace_back())) {
        return false;
      }
    }
    return true;
  } else if constexpr (std::is_enum_v<T>) {
    constexpr auto& kNames = EnumNames<T>::kNames;
    std::size_t index = kNames.size();
    if constexpr (S == JsonStyle::kObject) {
      std::string text;
      if (!ReadText(json, text)) {
        return false;
      }
      for (index = 0; index < kNames.size() && kNames.at(index) != text;) {
        ++index;
      }
    } else if (!ReadInteger(json, index)) {
      return false;
    }
    value = static_cast<T>(index);
    return index < kNames.size();
  } else if constexpr (std::same_as<T, Duration>) {
    std::int64_t count = 0;
    if (!ReadInteger(json, count) || count > kMaxDuration.count() ||
        count < -kMaxDuration.count()) {
      return false;
    }
    value = Duration(count);
    return true;
  } else if constexpr (IsStrongId<T>::value) {
    std::remove_cvref_t<decltype(value.value())> rep{};
    if (!Read<S>(json, rep)) {
      return false;
    }
    value = T(std::move(rep));
    return true;
  } else if constexpr (IsQuantity<T>::value) {
    std::int64_t count = 0;
    if (!ReadInteger(json, count) || count > kMaxQuantity ||
        count < -kMaxQuantity) {
      return false;
    }
    value = T(count);
    return true;
  } else if constexpr (std::same_as<T, bool>) {
    if (!json.is_boolean()) {
      return false;
    }
    value = json.get<bool>();
    return true;
  } else if constexpr (std::same_as<T, std::string>) {
    return ReadText(json, value);
  } else {
    return ReadInteger(json, value);
  }
}

}  // namespace baobab

#endif  // SRC_LIBWIRE_SHAPE_H_
