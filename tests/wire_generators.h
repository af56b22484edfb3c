#ifndef TESTS_WIRE_GENERATORS_H_
#define TESTS_WIRE_GENERATORS_H_

// RapidCheck generators of all values that libwire encodes, built from the same
// field lists. Strings that must be UTF-8 hold code points of one to four
// bytes; byte strings hold any bytes.

#include <string>
#include <variant>

#include <rapidcheck.h>

#include "libwire/peer_shapes.h"
#include "libwire/report_shapes.h"

namespace baobab {

/** Generates a UTF-8 string. */
inline std::string AnyText() {
  static const std::vector<std::string> parts = {"a",
                                                 "7",
                                                 "-",
                                                 ",",
                                                 "\"",
                                                 "\\",
                                                 "\n",
                                                 std::string(1, '\0'),
                                                 "\x7f",
                                                 "\xc3\xa9",
                                                 "\xe1\xbb\x8d",
                                                 "\xf0\x9f\x8c\xb3"};
  std::string text;
  const int n = *rc::gen::inRange(0, 6);
  for (int i = 0; i < n; ++i) {
    text += *rc::gen::elementOf(parts);
  }
  return text;
}

template <typename T>
T AnyValue();

template <Shaped T>
T AnyStruct() {
  T value;
  std::apply(
      [&](const auto&... field) {
        [[maybe_unused]] const auto set_member = [&](const auto& it) {
          using Member = std::remove_cvref_t<decltype(value.*it.member)>;
          if (it.any_bytes) {
            if constexpr (std::same_as<Member, std::string>) {
              value.*it.member = *rc::gen::arbitrary<std::string>();
            }
          } else {
            value.*it.member = AnyValue<Member>();
          }
        };
        (set_member(field), ...);
      },
      Shape<T>::kFields);
  return value;
}

template <typename T>
T AnyValue() {
  if constexpr (Shaped<T>) {
    return AnyStruct<T>();
  } else if constexpr (IsVector<T>::value) {
    T values;
    const int n = *rc::gen::inRange(0, 4);
    for (int i = 0; i < n; ++i) {
      values.push_back(AnyValue<typename T::value_type>());
    }
    return values;
  } else if constexpr (std::is_enum_v<T>) {
    return static_cast<T>(
        *rc::gen::inRange<int>(0, std::size(EnumNames<T>::kNames)));
  } else if constexpr (std::same_as<T, Duration>) {
    const auto max_count = kMaxDuration.count();
    return Duration(*rc::gen::inRange<std::int64_t>(-max_count, max_count + 1));
  } else if constexpr (IsQuantity<T>::value) {
    return T(*rc::gen::inRange<std::int64_t>(0, kMaxQuantity + 1));
  } else if constexpr (IsStrongId<T>::value) {
    return T(AnyValue<std::remove_cvref_t<decltype(T().value())>>());
  } else if constexpr (std::same_as<T, std::string>) {
    return AnyText();
  } else if constexpr (std::same_as<T, bool>) {
    return *rc::gen::arbitrary<bool>();
  } else {
    // Mixes small numbers with the limits of the type.
    return *rc::gen::oneOf(rc::gen::arbitrary<T>(),
                           rc::gen::just(std::numeric_limits<T>::max()),
                           rc::gen::just(std::numeric_limits<T>::min()));
  }
}

template <>
inline StoredAnswer AnyStruct<StoredAnswer>() {
  return {*rc::gen::inRange(0, 1000), *rc::gen::arbitrary<std::string>(),
          *rc::gen::arbitrary<std::string>()};
}

template <>
inline SnapshotPart AnyStruct<SnapshotPart>() {
  const auto parts = *rc::gen::inRange<std::uint32_t>(1, 1000);
  return {AnyValue<Term>(),
          AnyText(),
          AnyValue<Offset>(),
          *rc::gen::inRange<std::uint32_t>(0, parts),
          parts,
          *rc::gen::arbitrary<std::string>()};
}

}  // namespace baobab

#endif  // TESTS_WIRE_GENERATORS_H_
