#ifndef REVIEW_STANDIN_HTTP_HPP_
#define REVIEW_STANDIN_HTTP_HPP_

// A small blocking HTTP/1.1 server and client for the stand-ins of the review.

#include <atomic>
#include <chrono>
#include <exception>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

inline Response Answer(int status, std::string body = "{}") {
  Response answer;
  answer.result(static_cast<unsigned>(status));
  answer.set(http::field::content_type, "application/json");
  answer.body() = std::move(body);
  return answer;
}

/** Serves each connection with a thread. A handler that returns nothing closes
 * the connection without an answer. */
class Server {
 public:
  using Handler = std::function<std::optional<Response>(const Request&)>;

  explicit Server(Handler handler, int port = 0)
      : handler_(std::move(handler)), acceptor_(loop_) {
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"),
                                           static_cast<unsigned short>(port));
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(1024);
    port_ = acceptor_.local_endpoint().port();
    std::thread([this] { Accept(); }).detach();
  }

  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void Accept() {
    while (true) {
      boost::system::error_code ec;
      asio::ip::tcp::socket socket(loop_);
      acceptor_.accept(socket, ec);
      if (!ec) {
        std::thread([this, s = std::move(socket)]() mutable {
          Serve(std::move(s));
        }).detach();
      }
    }
  }

  void Serve(asio::ip::tcp::socket socket) {
    boost::system::error_code ec;
    socket.set_option(asio::ip::tcp::no_delay(true), ec);
    boost::beast::flat_buffer buffer;
    while (true) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(64u << 20);
      http::read(socket, buffer, parser, ec);
      if (ec) {
        return;
      }
      const Request request = parser.release();
      std::optional<Response> answer;
      try {
        answer = handler_(request);
      } catch (const std::exception&) {
        answer = Answer(400);
      }
      if (!answer) {
        return;
      }
      answer->version(11);
      answer->keep_alive(request.keep_alive());
      answer->prepare_payload();
      http::write(socket, *answer, ec);
      if (ec || !request.keep_alive()) {
        return;
      }
    }
  }

  Handler handler_;
  asio::io_context loop_;
  asio::ip::tcp::acceptor acceptor_;
  int port_ = 0;
};

/** Result of a call; status 0 if there was no answer. */
struct Reply {
  int status = 0;
  std::string body;
};

/** Calls once over a new connection, which is closed afterwards. */
inline Reply Call(int port,
                  const std::string& method,
                  const std::string& target,
                  const std::string& host,
                  const std::string& body,
                  int deadline_ms) {
  asio::io_context loop;
  boost::beast::tcp_stream stream(loop);
  Request request;
  request.method_string(method);
  request.target(target);
  request.version(11);
  request.keep_alive(false);
  request.set(http::field::host, host);
  request.set("X-Deadline-Ms", std::to_string(deadline_ms));
  if (!body.empty()) {
    request.set(http::field::content_type, "application/json");
    request.body() = body;
  }
  request.prepare_payload();
  boost::beast::flat_buffer buffer;
  Response response;
  Reply reply;
  stream.expires_after(std::chrono::milliseconds(deadline_ms));
  stream.async_connect(
      asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"),
                              static_cast<unsigned short>(port)),
      [&](const auto& ec) {
        if (ec) {
          return;
        }
        http::async_write(stream, request, [&](const auto& sent, std::size_t) {
          if (sent) {
            return;
          }
          http::async_read(
              stream, buffer, response, [&](const auto& received, std::size_t) {
                if (!received) {
                  reply.status = static_cast<int>(response.result_int());
                  reply.body = response.body();
                }
              });
        });
      });
  loop.run();
  return reply;
}

/** Returns a parameter of the query, or an empty string. */
inline std::string Param(const Request& request, const std::string& name) {
  const std::string target(request.target());
  const auto query = target.find('?');
  if (query == std::string::npos) {
    return {};
  }
  std::size_t at = query + 1;
  while (at < target.size()) {
    auto end = target.find('&', at);
    end = end == std::string::npos ? target.size() : end;
    const auto pair = target.substr(at, end - at);
    const auto eq = pair.find('=');
    if (pair.substr(0, eq) == name && eq != std::string::npos) {
      std::string out;
      for (std::size_t i = eq + 1; i < pair.size(); ++i) {
        if (pair[i] == '%' && i + 2 < pair.size()) {
          out +=
              static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          out += pair[i];
        }
      }
      return out;
    }
    at = end + 1;
  }
  return {};
}

inline std::string PathOf(const Request& request) {
  const std::string target(request.target());
  return target.substr(0, target.find('?'));
}

}  // namespace review

#endif  // REVIEW_STANDIN_HTTP_HPP_
