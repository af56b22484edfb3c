// A small HTTP/1.1 server and client for the stand-ins: one thread for each
// connection, so that a handler may wait as long as it likes.
#ifndef REVIEW_STANDIN_2_HTTP_H_
#define REVIEW_STANDIN_2_HTTP_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review2 {

inline std::int64_t SteadyMs() {
  using namespace std::chrono;
  static const auto begin = steady_clock::now();
  return duration_cast<milliseconds>(steady_clock::now() - begin).count();
}

inline std::int64_t WallMs() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(std::int64_t ms) {
  if (ms > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
  }
}

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  /** Names in lower case. */
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Query(const std::string& name) const {
    const auto it = query.find(name);
    return it == query.end() ? "" : it->second;
  }
  std::string Header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

struct Reply {
  int status = 200;
  std::string body;
  std::string type = "application/json";
  /** No answer is sent; the connection stays open until the caller closes it.
   */
  bool silent = false;
};

inline std::string Unescape(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

/** Reads one message (head and body) from a socket. Returns its head lines and
 * body, or nothing if the connection ended. */
struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
};

inline std::optional<Message> ReadMessage(int fd, std::string& buffer) {
  Message message;
  std::size_t head_end;
  while ((head_end = buffer.find("\r\n\r\n")) == std::string::npos) {
    char chunk[16384];
    const auto n = ::recv(fd, chunk, sizeof(chunk), 0);
    if (n <= 0) {
      return std::nullopt;
    }
    buffer.append(chunk, static_cast<std::size_t>(n));
  }
  std::size_t at = 0;
  bool first = true;
  while (at < head_end) {
    auto end = buffer.find("\r\n", at);
    const auto line = buffer.substr(at, end - at);
    at = end + 2;
    if (first) {
      message.first_line = line;
      first = false;
      continue;
    }
    const auto colon = line.find(':');
    auto name = line.substr(0, colon);
    for (auto& c : name) {
      c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    auto value = colon == std::string::npos ? "" : line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ') {
      value.erase(0, 1);
    }
    message.headers[name] = value;
  }
  buffer.erase(0, head_end + 4);
  std::size_t length = 0;
  if (message.headers.count("content-length")) {
    length = std::stoul(message.headers["content-length"]);
  }
  while (buffer.size() < length) {
    char chunk[65536];
    const auto n = ::recv(fd, chunk, sizeof(chunk), 0);
    if (n <= 0) {
      return std::nullopt;
    }
    buffer.append(chunk, static_cast<std::size_t>(n));
  }
  message.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return message;
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

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/** Returns a port that was free a moment ago, below those that the system
 * gives to connections. */
inline int FreePort() {
  constexpr int kFirst = 10000;
  constexpr int kCount = 20000;
  static int next = static_cast<int>(::getpid()) * 41 % kCount;
  for (;;) {
    const int port = kFirst + next++ % kCount;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = Loopback(port);
    const bool is_free = ::bind(fd, reinterpret_cast<const sockaddr*>(&address),
                                sizeof(address)) == 0;
    ::close(fd);
    if (is_free) {
      return port;
    }
  }
}

class Server {
 public:
  using Handler = std::function<Reply(const Request&)>;

  ~Server() { Stop(); }

  /** Listens at a loopback port; 0 takes a free one. Returns the port, or 0 if
   * it cannot be had. */
  int Start(int port, Handler handler) {
    state_ = std::make_shared<State>();
    state_->handler = std::move(handler);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = Loopback(port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
            0 ||
        ::listen(fd, 512) != 0) {
      ::close(fd);
      return 0;
    }
    socklen_t size = sizeof(address);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    state_->listener = fd;
    std::thread([state = state_, fd] {
      while (!state->stopped) {
        const int peer = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (peer < 0) {
          break;
        }
        const int yes = 1;
        ::setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
        {
          std::lock_guard lock(state->mutex);
          if (state->stopped) {
            ::close(peer);
            break;
          }
          state->open.insert(peer);
        }
        std::thread([state, peer] { Serve(state, peer); }).detach();
      }
      ::close(fd);
    }).detach();
    return ntohs(address.sin_port);
  }

  /** Closes the listener and all connections, as when a process is killed. */
  void Stop() {
    if (!state_) {
      return;
    }
    {
      std::lock_guard lock(state_->mutex);
      state_->stopped = true;
      ::shutdown(state_->listener, SHUT_RDWR);
      for (const int it : state_->open) {
        const linger now{1, 0};
        ::setsockopt(it, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        ::shutdown(it, SHUT_RDWR);
      }
    }
    state_.reset();
  }

 private:
  struct State {
    Handler handler;
    int listener = -1;
    std::atomic<bool> stopped{false};
    std::mutex mutex;
    std::set<int> open;
  };

  static void Serve(const std::shared_ptr<State>& state, int fd) {
    std::string buffer;
    while (!state->stopped) {
      auto message = ReadMessage(fd, buffer);
      if (!message || state->stopped) {
        break;
      }
      Request request;
      const auto& line = message->first_line;
      const auto a = line.find(' ');
      const auto b = line.find(' ', a + 1);
      request.method = line.substr(0, a);
      auto target = line.substr(a + 1, b - a - 1);
      const auto mark = target.find('?');
      request.path = target.substr(0, mark);
      if (mark != std::string::npos) {
        std::size_t at = mark + 1;
        while (at < target.size()) {
          const auto end = std::min(target.find('&', at), target.size());
          const auto part = target.substr(at, end - at);
          const auto eq = part.find('=');
          request.query[part.substr(0, eq)] =
              eq == std::string::npos ? "" : Unescape(part.substr(eq + 1));
          at = end + 1;
        }
      }
      request.headers = std::move(message->headers);
      request.body = std::move(message->body);
      const auto reply = state->handler(request);
      if (state->stopped) {
        break;
      }
      if (reply.silent) {
        char byte;
        while (::recv(fd, &byte, 1, 0) > 0) {
        }
        break;
      }
      std::string text =
          "HTTP/1.1 " + std::to_string(reply.status) +
          " X\r\nContent-Type: " + reply.type +
          "\r\nContent-Length: " + std::to_string(reply.body.size()) +
          "\r\n\r\n" + reply.body;
      if (!SendAll(fd, text)) {
        break;
      }
    }
    std::lock_guard lock(state->mutex);
    state->open.erase(fd);
    ::close(fd);
  }

  std::shared_ptr<State> state_;
};

struct Answer {
  /** 0 if there was no answer. */
  int status = 0;
  std::string body;
};

/** Sends one request on a new connection. */
inline Answer Call(int port,
                   const std::string& method,
                   const std::string& target,
                   const std::string& host,
                   const std::string& body,
                   std::int64_t timeout_ms) {
  Answer answer;
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  auto address = Loopback(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
      0) {
    std::string text =
        method + " " + target + " HTTP/1.1\r\nHost: " + host +
        "\r\nX-Deadline-Ms: " + std::to_string(timeout_ms) +
        "\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    if (SendAll(fd, text)) {
      std::string buffer;
      if (auto message = ReadMessage(fd, buffer)) {
        answer.status = std::stoi(message->first_line.substr(9, 3));
        answer.body = std::move(message->body);
      }
    }
  }
  ::close(fd);
  return answer;
}

}  // namespace review2

#endif  // REVIEW_STANDIN_2_HTTP_H_
