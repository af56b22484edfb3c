#include "libnet/http_headers.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace baobab {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool IsTokenChar(char c) {
  constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z') ||
         kTokenPunctuation.find(c) != std::string_view::npos;
}

bool IsValueChar(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= 0x20 && byte != 0x7f);
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlank = " \t";
  const std::size_t first = text.find_first_not_of(kBlank);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlank) - first + 1);
}

tl::unexpected<Error> HeadError(const char* message) {
  return tl::make_unexpected(Error{"read headers", "", message});
}

Result<HttpHeader> ParseLine(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return HeadError("a line has no colon");
  }
  const std::string_view name = line.substr(0, colon);
  if (name.empty() || !std::all_of(name.begin(), name.end(), IsTokenChar)) {
    return HeadError("a header name is not a token");
  }
  const std::string_view value = Trim(line.substr(colon + 1));
  if (!std::all_of(value.begin(), value.end(), IsValueChar)) {
    return HeadError("a header value has a control character");
  }
  return HttpHeader{std::string(name), std::string(value)};
}

// Invokes `use` with each element of a comma-separated header value.
template <typename Use>
void ForEachElement(std::string_view list, Use use) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    use(Trim(list.substr(0, comma)));
    if (comma == std::string_view::npos) {
      return;
    }
    list.remove_prefix(comma + 1);
  }
}

// Also covers Content-Length and Expect, which the proxy handles itself.
bool IsHopByHop(std::string_view name) {
  static constexpr std::array<std::string_view, 10> kNames = {
      "Connection",
      "Keep-Alive",
      "Proxy-Connection",
      "Proxy-Authorization",
      "TE",
      "Trailer",
      "Transfer-Encoding",
      "Upgrade",
      "Content-Length",
      "Expect"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [&](auto it) { return EqualIgnoringCase(it, name); });
}

}  // namespace

Result<HttpHeaders> ParseHead(std::string_view raw) {
  if (!raw.ends_with(kHeadEnd)) {
    return HeadError("the empty line is missing");
  }
  raw.remove_suffix(kHeadEnd.size());
  // Skip the heads of interim responses (100 Continue).
  if (const std::size_t n = raw.rfind(kHeadEnd); n != std::string_view::npos) {
    raw.remove_prefix(n + kHeadEnd.size());
  }
  const std::size_t start_line = raw.find(kLineEnd);
  HttpHeaders headers;
  if (start_line == std::string_view::npos) {
    return headers;
  }
  raw.remove_prefix(start_line + kLineEnd.size());
  while (true) {
    const std::size_t end = raw.find(kLineEnd);
    auto header = ParseLine(raw.substr(0, end));
    if (!header) {
      return tl::make_unexpected(header.error());
    }
    headers.push_back(std::move(*header));
    if (end == std::string_view::npos) {
      return headers;
    }
    raw.remove_prefix(end + kLineEnd.size());
  }
}

bool EqualIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return ToLower(x) == ToLower(y); });
}

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  const auto it = std::find_if(
      headers.begin(), headers.end(),
      [&](const HttpHeader& h) { return EqualIgnoringCase(h.name, name); });
  return it == headers.end() ? std::string_view() : it->value;
}

bool HasConnectionOption(const HttpHeaders& headers, std::string_view option) {
  bool found = false;
  for (const HttpHeader& it : headers) {
    if (EqualIgnoringCase(it.name, "Connection")) {
      ForEachElement(it.value, [&](std::string_view element) {
        found |= EqualIgnoringCase(element, option);
      });
    }
  }
  return found;
}

Result<BodyFraming> ReadFraming(const HttpHeaders& headers) {
  BodyFraming framing;
  for (const HttpHeader& it : headers) {
    if (EqualIgnoringCase(it.name, "Transfer-Encoding")) {
      if (framing.chunked || !EqualIgnoringCase(it.value, "chunked")) {
        return HeadError("Transfer-Encoding is not chunked");
      }
      framing.chunked = true;
    } else if (EqualIgnoringCase(it.name, "Content-Length")) {
      std::uint64_t length = 0;
      const char* const end = it.value.data() + it.value.size();
      const auto [stop, ec] = std::from_chars(it.value.data(), end, length);
      if (it.value.empty() || ec != std::errc() || stop != end) {
        return HeadError("Content-Length is not a number");
      }
      if (framing.length) {
        return HeadError("several Content-Length headers");
      }
      framing.length = length;
    }
  }
  if (framing.chunked && framing.length) {
    return HeadError("Content-Length together with Transfer-Encoding");
  }
  return framing;
}

HttpHeaders EndToEndHeaders(const HttpHeaders& headers) {
  constexpr std::string_view kOwnPrefix = "Baobab-";
  HttpHeaders result;
  for (const HttpHeader& it : headers) {
    const std::string_view name = it.name;
    const bool is_own =
        EqualIgnoringCase(name.substr(0, kOwnPrefix.size()), kOwnPrefix);
    if (!is_own && !HasConnectionOption(headers, name) && !IsHopByHop(name)) {
      result.push_back(it);
    }
  }
  return result;
}

}  // namespace baobab
