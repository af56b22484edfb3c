#ifndef SRC_LIBNET_HTTP_HEADERS_H_
#define SRC_LIBNET_HTTP_HEADERS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libbase/base.h"

namespace baobab {

/** One header field. */
struct HttpHeader {
  std::string name;
  std::string value;

  bool operator==(const HttpHeader&) const = default;
};

/** Headers in order of arrival; a name may occur several times. */
using HttpHeaders = std::vector<HttpHeader>;

/** Parses the header lines of the last head in `raw`, which holds all bytes up
 * to and including the empty line. The raw bytes are parsed since cpp-httplib
 * decodes %XX in header values, which alters them and lets "%0d%0a" inject a
 * header. Errors: a line without a colon, a folded line, a bare line feed, a
 * control character, or a name that is not a token. */
Result<HttpHeaders> ParseHead(std::string_view raw);

/** Compares header names or tokens, ignoring ASCII case. */
bool EqualIgnoringCase(std::string_view a, std::string_view b);

/** Returns the value of the first header with this name; empty if none. */
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

/** Returns true if a Connection header lists the option, such as "close". */
bool HasConnectionOption(const HttpHeaders& headers, std::string_view option);

/** How the length of a body is determined. */
struct BodyFraming {
  bool chunked = false;
  /** Value of Content-Length. */
  std::optional<std::uint64_t> length;
};

/** Determines the framing of a body. Errors: several or non-numeric
 * Content-Length headers, Content-Length with Transfer-Encoding, or a transfer
 * coding other than chunked. */
Result<BodyFraming> ReadFraming(const HttpHeaders& headers);

/** Returns the headers that a proxy forwards: all except hop-by-hop headers,
 * those listed in Connection, those that frame the body, and those whose name
 * starts with "Baobab-". */
HttpHeaders EndToEndHeaders(const HttpHeaders& headers);

}  // namespace baobab

#endif  // SRC_LIBNET_HTTP_HEADERS_H_
