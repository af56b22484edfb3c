#ifndef REVIEW_STANDIN_STORE_HPP_
#define REVIEW_STANDIN_STORE_HPP_

// Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

#include "http.hpp"
#include "record.hpp"

namespace review {

using Json = nlohmann::json;

inline std::string Base64(const std::string& text) {
  namespace base64 = boost::beast::detail::base64;
  std::string out(base64::encoded_size(text.size()), '\0');
  out.resize(base64::encode(out.data(), text.data(), text.size()));
  return out;
}

inline void AppendBig(std::string& out, std::uint64_t n, int bytes) {
  for (int i = bytes - 1; i >= 0; --i) {
    out += static_cast<char>((n >> (8 * i)) & 0xff);
  }
}

class Store {
 public:
  static constexpr std::size_t kRecordBytes = 262144;
  static constexpr std::size_t kRequestBytes = 2097152;
  static constexpr int kParts = 32;
  static constexpr int kAppendMs = 2;

  explicit Store(Record& record)
      : record_(record),
        server_([this](const Request& request) { return Serve(request); }) {}

  std::string address() const { return server_.address(); }

  /** While set, each call is answered with 503 and has no effect; the times of
   * memberships pause. */
  void SetDown(bool down) {
    const std::lock_guard lock(mutex_);
    if (!down && down_) {
      for (auto& [name, member] : members_) {
        member.joined_at += Now() - down_since_;
      }
    }
    down_ = down;
    down_since_ = Now();
    record_.Line(down ? "store: down, answers 503" : "store: serves again");
  }

  /** A record of the operator or of a minion; an empty value drops the key. */
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    const std::lock_guard lock(mutex_);
    std::string data(1, static_cast<char>(key.size()));
    AppendOne(topics_[{topic, 0}], data + key + value);
    changed_.notify_all();
  }

  /** Number of appends that have stored records. */
  int stored_appends() {
    const std::lock_guard lock(mutex_);
    return stored_appends_;
  }

  bool IsDown() {
    const std::lock_guard lock(mutex_);
    return down_;
  }

 private:
  struct Producer {
    std::int64_t epoch = -1;
    std::int64_t last = -1;
    bool fresh = true;
    std::deque<std::pair<std::int64_t, std::string>> answers;
  };
  struct Part {
    std::vector<std::string> records;
    std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
    std::map<std::string, Producer> producers;
  };
  struct Member {
    std::int64_t joined_at = 0;
    std::int64_t ttl = 0;
  };

  static void AppendOne(Part& part, std::string data) {
    if (!data.empty()) {
      const auto key_size = static_cast<unsigned char>(data[0]);
      const auto key = data.substr(1, key_size);
      const auto value =
          data.size() > 1u + key_size ? data.substr(1 + key_size) : "";
      if (value.empty()) {
        part.newest.erase(key);
      } else {
        part.newest[key] = {value, part.records.size()};
      }
    }
    part.records.push_back(std::move(data));
  }

  std::optional<Response> Serve(const Request& request) {
    const auto path = PathOf(request);
    SleepMs(1);
    std::unique_lock lock(mutex_);
    if (down_) {
      return Answer(503);
    }
    if (path == "/baobabfront/log-append") {
      return Append(request, lock);
    }
    if (path == "/baobabfront/log-read") {
      return Read(request, lock);
    }
    if (path == "/baobabfront/log-newest") {
      return Newest(request);
    }
    if (path == "/baobabfront/log-join") {
      return Join(Json::parse(request.body()));
    }
    if (path == "/baobabfront/log-leave") {
      return Leave(Json::parse(request.body()));
    }
    if (path == "/baobabfront/log-owners") {
      Expire();
      Json rows = Json::array();
      for (int i = 0; i < kParts; ++i) {
        if (!owner_[i].empty()) {
          rows.push_back({"keyed.jobs", i, owner_[i], 0});
        }
      }
      return Answer(200, Json{{"owners", rows}}.dump());
    }
    return Answer(404);
  }

  Response Append(const Request& request, std::unique_lock<std::mutex>& lock) {
    const auto topic = Param(request, "topic");
    if (topic == "keyed.op" || topic == "keyed.servers") {
      return Answer(403);
    }
    const auto& body = request.body();
    if (body.size() > kRequestBytes) {
      record_.Line("store: refuses an append of " +
                   std::to_string(body.size()) +
                   " bytes with 413, more than request_bytes");
      return Answer(413);
    }
    std::vector<std::string> records;
    for (std::size_t at = 0; at + 4 <= body.size();) {
      std::size_t size = 0;
      for (int i = 0; i < 4; ++i) {
        size = size << 8 | static_cast<unsigned char>(body[at + i]);
      }
      if (size > kRecordBytes) {
        if (++large_records_ <= 3 || large_records_ % 500 == 0) {
          record_.Line(
              "store: refuses a record of " + std::to_string(size) +
              " bytes with 413, more than record_bytes; key " +
              body.substr(at + 5, static_cast<unsigned char>(body[at + 4])) +
              "; time " + std::to_string(large_records_));
        }
        return Answer(413);
      }
      records.push_back(body.substr(at + 4, size));
      at += 4 + size;
    }
    lock.unlock();
    SleepMs(kAppendMs);
    lock.lock();
    auto& part = topics_[{topic, std::stoi(Param(request, "part"))}];
    const auto end = part.records.size();
    if (const auto at = Param(request, "at");
        !at.empty() && std::stoull(at) != end) {
      return Answer(412, Json{{"end_offset", end}}.dump());
    }
    const auto name = Param(request, "producer");
    const auto answer =
        Json{{"offset", end}, {"end_offset", end + records.size()}}.dump();
    if (!name.empty()) {
      auto& producer = part.producers[name];
      const auto epoch = std::stoll(Param(request, "epoch"));
      const auto seq = std::stoll(Param(request, "seq"));
      if (epoch < producer.epoch) {
        return Answer(409, R"({"reason":"fenced"})");
      }
      if (epoch > producer.epoch) {
        producer = {};
        producer.epoch = epoch;
      }
      if (records.empty()) {
        return Answer(200, answer);
      }
      for (const auto& [old, first] : producer.answers) {
        if (old == seq) {
          return Answer(200, first);
        }
      }
      if (!producer.fresh && seq != producer.last + 1) {
        return Answer(
            409, Json{{"reason", "seq"}, {"seq", producer.last + 1}}.dump());
      }
      producer.fresh = false;
      producer.last = seq;
      producer.answers.emplace_back(seq, answer);
      if (producer.answers.size() > 5) {
        producer.answers.pop_front();
      }
    }
    for (auto& it : records) {
      AppendOne(part, std::move(it));
    }
    stored_appends_ += records.empty() ? 0 : 1;
    changed_.notify_all();
    return Answer(200, answer);
  }

  Response Read(const Request& request, std::unique_lock<std::mutex>& lock) {
    const std::pair key(Param(request, "topic"),
                        std::stoi(Param(request, "part")));
    const auto from = std::stoull(Param(request, "from"));
    const auto wait = Param(request, "wait_ms");
    const auto until = Clock::now() + std::chrono::milliseconds(
                                          wait.empty() ? 0 : std::stoi(wait));
    changed_.wait_until(lock, until, [&] {
      return topics_[key].records.size() > from || down_;
    });
    if (down_) {
      return Answer(503);
    }
    const auto& records = topics_[key].records;
    std::string body;
    AppendBig(body, records.size(), 8);
    AppendBig(body, 0, 8);
    for (std::size_t i = from; i < records.size() && i < from + 1024; ++i) {
      AppendBig(body, records[i].size(), 4);
      body += records[i];
    }
    return Answer(200, body);
  }

  Response Newest(const Request& request) {
    const auto& part =
        topics_[{Param(request, "topic"), std::stoi(Param(request, "part"))}];
    Json items = Json::array();
    std::size_t bytes = 0;
    auto it = part.newest.upper_bound(Param(request, "depends_on"));
    for (; it != part.newest.end() && items.size() < 500 && bytes < 1000000;
         ++it) {
      items.push_back({{"key", it->first},
                       {"value", Base64(it->second.first)},
                       {"offset", it->second.second}});
      bytes += it->second.first.size();
    }
    return Answer(200, Json{{"items", items},
                            {"has_more", it != part.newest.end()},
                            {"end_offset", part.records.size()}}
                           .dump());
  }

  void Rebalance() {
    ++generation_;
    std::vector<std::string> names;
    for (const auto& [name, member] : members_) {
      names.push_back(name);
    }
    for (int i = 0; i < kParts; ++i) {
      target_[i] = names.empty()
                       ? ""
                       : names[static_cast<std::size_t>(i) % names.size()];
      if (!members_.contains(owner_[i])) {
        owner_[i] = target_[i];
      }
    }
    record_.Line("store: generation " + std::to_string(generation_) + ", " +
                 std::to_string(names.size()) + " members");
  }

  void Expire() {
    const auto n = std::erase_if(members_, [](const auto& it) {
      return Now() - it.second.joined_at > it.second.ttl;
    });
    if (n > 0) {
      Rebalance();
    }
  }

  Response Join(const Json& body) {
    Expire();
    const std::string name = body.at("member");
    const bool known = members_.contains(name);
    members_[name] = {Now(), body.at("ttl_ms").get<std::int64_t>()};
    if (!known) {
      Rebalance();
    }
    Json rows = Json::array();
    for (int i = 0; i < kParts; ++i) {
      if (owner_[i] == name && target_[i] != name &&
          body.at("generation").get<std::int64_t>() >= generation_) {
        owner_[i] = target_[i];
      }
      if (owner_[i] == name && target_[i] == name) {
        rows.push_back({"keyed.jobs", i, 0});
      }
    }
    return Answer(200,
                  Json{{"generation", generation_}, {"parts", rows}}.dump());
  }

  Response Leave(const Json& body) {
    if (members_.erase(body.at("member").get<std::string>()) > 0) {
      Rebalance();
    }
    return Answer(200);
  }

  Record& record_;
  int large_records_ = 0;
  int stored_appends_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool down_ = false;
  std::int64_t down_since_ = 0;
  std::map<std::pair<std::string, int>, Part> topics_;
  std::map<std::string, Member> members_;
  std::string owner_[kParts];
  std::string target_[kParts];
  std::int64_t generation_ = 0;
  Server server_;
};

}  // namespace review

#endif  // REVIEW_STANDIN_STORE_HPP_
