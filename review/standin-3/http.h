// A small HTTP/1.1 server and client for the stand-ins: one thread for each
// connection, loopback addresses only.
#ifndef REVIEW_STANDIN_3_HTTP_H_
#define REVIEW_STANDIN_3_HTTP_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <string>
#include <thread>

namespace s3 {

struct Request {
  std::string method, path, body;
  std::map<std::string, std::string> query, headers;
  std::string Query(const std::string& name) const {
    const auto it = query.find(name);
    return it == query.end() ? "" : it->second;
  }
  std::string Header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

struct Response {
  int status = 200;
  std::string body;
  // The connection is closed without an answer.
  bool drop = false;
};

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

inline std::string Unescape(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

// Reads one message; `buffer` keeps what follows it.
inline bool ReadMessage(int fd,
                        std::string& buffer,
                        std::string& first_line,
                        std::map<std::string, std::string>& headers,
                        std::string& body) {
  const auto more = [&] {
    char part[65536];
    const auto n = ::recv(fd, part, sizeof(part), 0);
    if (n <= 0) {
      return false;
    }
    buffer.append(part, static_cast<std::size_t>(n));
    return true;
  };
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return false;
    }
  }
  headers.clear();
  std::size_t at = buffer.find("\r\n");
  first_line = buffer.substr(0, at);
  while (at < end) {
    const auto next = buffer.find("\r\n", at + 2);
    const auto line = buffer.substr(at + 2, next - at - 2);
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      headers[Lower(line.substr(0, colon))] = value;
    }
    at = next;
  }
  const auto length = headers.count("content-length")
                          ? std::stoul(headers["content-length"])
                          : 0;
  while (buffer.size() < end + 4 + length) {
    if (!more()) {
      return false;
    }
  }
  body = buffer.substr(end + 4, length);
  buffer.erase(0, end + 4 + length);
  return true;
}

inline bool SendAll(int fd, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const auto n =
        ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

inline sockaddr_in Address(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int FreePort() {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  auto address = Address(0);
  ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  socklen_t size = sizeof(address);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(fd);
  return ntohs(address.sin_port);
}

// Serves until the process ends. Returns false if the port cannot be bound.
inline bool Serve(int port, std::function<Response(const Request&)> handler) {
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  const int one = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  auto address = Address(port);
  if (::bind(listener, reinterpret_cast<sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(listener, 512) != 0) {
    return false;
  }
  std::thread([listener, handler] {
    for (;;) {
      const int fd = ::accept(listener, nullptr, nullptr);
      if (fd < 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        continue;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([fd, handler] {
        std::string buffer, line;
        Request request;
        while (ReadMessage(fd, buffer, line, request.headers, request.body)) {
          const auto a = line.find(' ');
          const auto b = line.find(' ', a + 1);
          request.method = line.substr(0, a);
          auto target = line.substr(a + 1, b - a - 1);
          request.query.clear();
          if (const auto mark = target.find('?'); mark != std::string::npos) {
            std::string rest = target.substr(mark + 1);
            target.resize(mark);
            while (!rest.empty()) {
              const auto amp = rest.find('&');
              const auto part = rest.substr(0, amp);
              rest = amp == std::string::npos ? "" : rest.substr(amp + 1);
              const auto eq = part.find('=');
              request.query[part.substr(0, eq)] =
                  eq == std::string::npos ? "" : Unescape(part.substr(eq + 1));
            }
          }
          request.path = target;
          const auto response = handler(request);
          if (response.drop ||
              !SendAll(fd, "HTTP/1.1 " + std::to_string(response.status) +
                               " X\r\nContent-Type: application/json\r\n"
                               "Content-Length: " +
                               std::to_string(response.body.size()) +
                               "\r\n\r\n" + response.body)) {
            break;
          }
        }
        ::close(fd);
      }).detach();
    }
  }).detach();
  return true;
}

// Sends one request on a connection of its own. Status 0: no answer.
inline Response Call(int port,
                     const std::string& method,
                     const std::string& target,
                     const std::string& body = "",
                     const std::string& host = "127.0.0.1",
                     int timeout_ms = 3500) {
  Response response;
  response.status = 0;
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  timeval tv{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
  auto address = Address(port);
  std::string buffer, line;
  std::map<std::string, std::string> headers;
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
          0 &&
      SendAll(fd, method + " " + target + " HTTP/1.1\r\nHost: " + host +
                      "\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\n"
                      "Content-Type: application/json\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body) &&
      ReadMessage(fd, buffer, line, headers, response.body)) {
    response.status = std::atoi(line.substr(9, 3).c_str());
  }
  ::close(fd);
  return response;
}

inline std::int64_t SteadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace s3

#endif  // REVIEW_STANDIN_3_HTTP_H_
