#include <arpa/inet.h>

#include <charconv>
#include <system_error>

#include "libsettings/settings.h"

namespace baobab {

namespace {

bool IsIpAddress(int family, const std::string& text) {
  in6_addr buf{};
  return inet_pton(family, text.c_str(), &buf) == 1;
}

}  // namespace

std::optional<Address> ParseAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string ip(text.substr(0, colon));
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
    if (!IsIpAddress(AF_INET6, ip)) {
      return std::nullopt;
    }
  } else if (!IsIpAddress(AF_INET, ip)) {
    return std::nullopt;
  }
  const std::string_view digits = text.substr(colon + 1);
  int port = 0;
  const auto [end, ec] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (ec != std::errc() || end != digits.data() + digits.size() || port < 1 ||
      port > 65535) {
    return std::nullopt;
  }
  return Address{std::move(ip), port};
}

std::string ToString(const Address& address) {
  const bool v6 = address.ip.find(':') != std::string::npos;
  return (v6 ? "[" + address.ip + "]" : address.ip) + ":" +
         std::to_string(address.port);
}

}  // namespace baobab
