#include "baobabfront/control_client.h"

#include <chrono>
#include <utility>

#include <fmt/format.h>
#include <httplib.h>

namespace baobab {

namespace {

constexpr std::chrono::seconds kConnectTimeout{2};
// Above the 20 s after which a node gives up on a command.
constexpr std::chrono::seconds kAnswerTimeout{25};

httplib::Client MakeClient(const Address& node) {
  httplib::Client client(node.ip, node.port);
  client.set_connection_timeout(kConnectTimeout);
  client.set_write_timeout(kAnswerTimeout);
  client.set_read_timeout(kAnswerTimeout);
  return client;
}

ControlAnswer ToAnswer(const Address& node,
                       const std::string& step,
                       const httplib::Result& result) {
  ControlAnswer answer;
  if (!result) {
    answer.sent = result.error() != httplib::Error::Connection &&
                  result.error() != httplib::Error::ConnectionTimeout;
    answer.reply = tl::unexpected(
        Error{step, ToString(node),
              answer.sent ? "no whole answer: " + to_string(result.error())
                          : "not reachable"});
    return answer;
  }
  answer.sent = true;
  answer.status = result->status;
  answer.reply = DecodeReply(result->body);
  if (!answer.reply) {
    answer.reply =
        tl::unexpected(Error{step, ToString(node),
                             "status " + std::to_string(result->status) + ", " +
                                 answer.reply.error().message});
  }
  return answer;
}

}  // namespace

ControlAnswer GetControl(const Address& node, const std::string& path) {
  auto client = MakeClient(node);
  return ToAnswer(node, "GET " + path, client.Get(path));
}

ControlAnswer PostEdit(const Address& node, const TableEdit& edit) {
  auto client = MakeClient(node);
  return ToAnswer(node, "POST /table",
                  client.Post("/table", EncodeEdit(edit), "application/json"));
}

void PrintError(const Error& error) {
  fmt::print(stderr, "baobabfront: {}\n", ToString(error));
}

}  // namespace baobab
