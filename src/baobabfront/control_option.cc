#include "baobabfront/commands.h"

namespace baobab {

CLI::Option* AddNodeOption(CLI::App& app, std::vector<std::string>& nodes) {
  return app
      .add_option("--node", nodes,
                  "Control port of a node as IP:PORT; may be repeated")
      ->check(
          [](const std::string& text) {
            return ParseAddress(text)
                       ? std::string()
                       : "'" + text + "' is not IP:PORT, such as 10.0.0.1:8081";
          },
          "IP:PORT")
      ->take_all()
      ->expected(1)
      ->allow_extra_args(false);
}

std::vector<Address> ParseNodeAddresses(const std::vector<std::string>& nodes) {
  std::vector<Address> addresses;
  for (const auto& it : nodes) {
    if (const auto address = ParseAddress(it)) {
      addresses.push_back(*address);
    }
  }
  return addresses;
}

}  // namespace baobab
