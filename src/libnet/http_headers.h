#ifndef SRC_LIBNET_HTTP_HEADERS_H_
#define SRC_LIBNET_HTTP_HEADERS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libbase/base.h"

namespace baobab {

struct HttpHeader {
  std::string name;
  std::string value;

  bool operator==(const HttpHeader&) const = default;
};

/** Headers in their order of arrival; a name may occur several times. */
using HttpHeaders = std::vector<HttpHeader>;

/** Reads the header lines of the last head in `raw`, which holds all bytes up
 * to the empty line. cpp-httplib decodes %XX in header values, which changes
 * them and lets "%0d%0a" inject a header, so the raw bytes are read here.
 * Errors: a line without colon, a folded line, a bare line feed, a control
 * character, or a name which is not a token. */
Result<HttpHeaders> ParseHead(std::string_view raw);

bool EqualIgnoringCase(std::string_view a, std::string_view b);

/** Value of the first header with the name; empty if there is none. */
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

/** True if a Connection header names the option, such as "close". */
bool HasConnectionOption(const HttpHeaders& headers, std::string_view option);

/** How the end of a body is found. */
struct BodyFraming {
  bool chunked = false;
  std::optional<std::uint64_t> length;
};

/** Errors: several or non-numeric Content-Length headers, Content-Length
 * with Transfer-Encoding, or a transfer coding other than chunked. */
Result<BodyFraming> ReadFraming(const HttpHeaders& headers);

/** Headers which a proxy passes on: none of those that concern only one
 * connection, or are named in Connection, or frame the body, or begin with
 * "Baobab-". */
HttpHeaders EndToEndHeaders(const HttpHeaders& headers);

}  // namespace baobab

#endif  // SRC_LIBNET_HTTP_HEADERS_H_
