#include "baobabfront/control_client.h"

#include <chrono>
#include <utility>

#include <fmt/format.h>
#include <httplib.h>

namespace baobab {

namespace {

constexpr std::chrono::seconds kConnectTimeout{2};
// Longer than the 20 s after which a node times out a command itself.
constexpr std::chrono::seconds kResponseTimeout{25};

httplib::Client MakeClient(const Address& node) {
  httplib::Client client(node.ip, node.port);
  client.set_connection_timeout(kConnectTimeout);
  client.set_write_timeout(kResponseTimeout);
  client.set_read_timeout(kResponseTimeout);
  return client;
}

ControlResponse ToResponse(const Address& node,
                           const std::string& step,
                           const httplib::Result& result) {
  ControlResponse response;
  if (!result) {
    response.sent = result.error() != httplib::Error::Connection &&
                    result.error() != httplib::Error::ConnectionTimeout;
    response.reply = tl::unexpected(
        Error{step, ToString(node),
              response.sent ? "no complete answer: " + to_string(result.error())
                            : "not reachable"});
    return response;
  }
  response.sent = true;
  response.status = result->status;
  response.reply = DecodeReply(result->body);
  if (!response.reply) {
    response.reply =
        tl::unexpected(Error{step, ToString(node),
                             "HTTP status " + std::to_string(result->status) +
                                 ", " + response.reply.error().message});
  }
  return response;
}

}  // namespace

ControlResponse GetControl(const Address& node, const std::string& path) {
  auto client = MakeClient(node);
  return ToResponse(node, "GET " + path, client.Get(path));
}

ControlResponse PostEdit(const Address& node, const TableEdit& edit) {
  auto client = MakeClient(node);
  return ToResponse(
      node, "POST /table",
      client.Post("/table", EncodeEdit(edit), "application/json"));
}

void PrintError(const Error& error) {
  fmt::print(stderr, "baobabfront: {}\n", ToString(error));
}

}  // namespace baobab
