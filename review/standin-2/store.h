// The platform's store, as PROTOCOL.md describes it: a log with topics, keyed
// topics and groups.
#ifndef REVIEW_STANDIN_2_STORE_H_
#define REVIEW_STANDIN_2_STORE_H_

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.h"

namespace review2 {

using Json = nlohmann::json;

class Store {
 public:
  static constexpr int kParts = 32;

  int Start() {
    std::thread([this] {
      for (;;) {
        SleepMs(50);
        std::lock_guard lock(mutex_);
        DropSilentMembers();
      }
    }).detach();
    return port_ = server_.Start(
               0, [this](const Request& request) { return Serve(request); });
  }
  int port() const { return port_; }

  /** Writes a record as the operator or a minion does; without a value the key
   * is dropped. */
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    std::lock_guard lock(mutex_);
    AddRecord(topics_[topic][0], true,
              std::string(1, static_cast<char>(key.size())) + key + value);
    changed_.notify_all();
  }

 private:
  struct Producer {
    std::int64_t epoch = -1;
    /** Sequence number of the next append; -1 takes any. */
    std::int64_t next = -1;
    std::deque<std::pair<std::int64_t, std::string>> last;
  };
  struct Partition {
    std::vector<std::string> records;
    std::map<std::string, Producer> producers;
    /** Newest record of each key: value and offset. */
    std::map<std::string, std::pair<std::string, std::size_t>> newest;
  };
  struct Member {
    std::int64_t heard_ms = 0;
    std::int64_t ttl_ms = 0;
  };
  struct Group {
    std::int64_t generation = 0;
    std::string topic;
    std::map<std::string, Member> members;
    std::map<int, std::string> holder;
    std::map<int, std::string> target;
  };

  static bool IsKeyed(const std::string& topic) {
    return topic.rfind("keyed.", 0) == 0;
  }

  static void AddRecord(Partition& partition,
                        bool keyed,
                        const std::string& record) {
    if (keyed && !record.empty()) {
      const auto size = static_cast<unsigned char>(record[0]);
      const auto key = record.substr(1, size);
      const auto value = record.substr(1 + size);
      if (value.empty()) {
        partition.newest.erase(key);
      } else {
        partition.newest[key] = {value, partition.records.size()};
      }
    }
    partition.records.push_back(record);
  }

  static std::string Big(std::uint64_t n, int bytes) {
    std::string out;
    for (int i = bytes - 1; i >= 0; --i) {
      out += static_cast<char>(n >> (8 * i) & 0xff);
    }
    return out;
  }

  static std::string Base64(const std::string& text) {
    static const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
      std::uint32_t n = 0;
      for (std::size_t k = 0; k < 3; ++k) {
        n = n << 8 |
            (i + k < text.size() ? static_cast<unsigned char>(text[i + k])
                                 : 0u);
      }
      for (std::size_t k = 0; k < 4; ++k) {
        out += i + k > text.size() ? '=' : digits[n >> (18 - 6 * k) & 63];
      }
    }
    return out;
  }

  static Reply Answer(int status, const Json& json) {
    return {status, json.dump()};
  }

  Reply Serve(const Request& request) {
    const auto name = request.path.substr(request.path.rfind('/') + 1);
    if (name == "log-read") {
      return Read(request);
    }
    SleepMs(name == "log-append" ? 3 : 1);
    std::lock_guard lock(mutex_);
    if (name == "log-append") {
      return Append(request);
    }
    if (name == "log-newest") {
      return Newest(request);
    }
    if (name == "log-join") {
      return Join(request);
    }
    if (name == "log-leave") {
      return Leave(request);
    }
    if (name == "log-owners") {
      return Owners(request);
    }
    return {404, "{}"};
  }

  Reply Append(const Request& request) {
    const auto topic = request.Query("topic");
    if (topic == "keyed.op" || topic == "keyed.servers") {
      return {403, "{}"};
    }
    auto& partition = topics_[topic][std::stoi(request.Query("part"))];
    const auto end = partition.records.size();
    std::vector<std::string> records;
    for (std::size_t at = 0; at + 4 <= request.body.size();) {
      std::size_t size = 0;
      for (int i = 0; i < 4; ++i) {
        size = size << 8 | static_cast<unsigned char>(request.body[at + i]);
      }
      records.push_back(request.body.substr(at + 4, size));
      at += 4 + size;
    }
    if (const auto at = request.Query("at");
        !at.empty() && std::stoull(at) != end) {
      return Answer(412, {{"end_offset", end}});
    }
    const Json done = {{"offset", end}, {"end_offset", end + records.size()}};
    if (const auto name = request.Query("producer"); !name.empty()) {
      auto& producer = partition.producers[name];
      const auto epoch = std::stoll(request.Query("epoch"));
      const auto sequence = std::stoll(request.Query("seq"));
      if (epoch < producer.epoch) {
        return Answer(409, {{"reason", "fenced"}});
      }
      if (epoch > producer.epoch) {
        producer = {epoch, -1, {}};
      }
      if (records.empty()) {
        return Answer(200, done);
      }
      for (const auto& [number, answer] : producer.last) {
        if (number == sequence) {
          return {200, answer};
        }
      }
      if (producer.next >= 0 && sequence != producer.next) {
        return Answer(409, {{"reason", "seq"}, {"expected", producer.next}});
      }
      producer.next = sequence + 1;
      producer.last.emplace_back(sequence, done.dump());
      if (producer.last.size() > 5) {
        producer.last.pop_front();
      }
    }
    for (const auto& it : records) {
      AddRecord(partition, IsKeyed(topic), it);
    }
    changed_.notify_all();
    return Answer(200, done);
  }

  Reply Read(const Request& request) {
    SleepMs(1);
    std::unique_lock lock(mutex_);
    auto& partition =
        topics_[request.Query("topic")][std::stoi(request.Query("part"))];
    const auto from = std::stoull(request.Query("from"));
    const auto wait = request.Query("wait_ms");
    changed_.wait_for(lock,
                      std::chrono::milliseconds(
                          wait.empty() ? 0 : std::min(30000, std::stoi(wait))),
                      [&] { return partition.records.size() > from; });
    std::string out = Big(partition.records.size(), 8) + Big(0, 8);
    for (std::size_t i = from; i < partition.records.size() && i < from + 1024;
         ++i) {
      out += Big(partition.records[i].size(), 4) + partition.records[i];
    }
    return {200, out, "application/octet-stream"};
  }

  Reply Newest(const Request& request) {
    auto& partition =
        topics_[request.Query("topic")][std::stoi(request.Query("part"))];
    Json items = Json::array();
    bool more = false;
    const auto after = request.Query("depends_on");
    for (auto it = after.empty() ? partition.newest.begin()
                                 : partition.newest.upper_bound(after);
         it != partition.newest.end(); ++it) {
      if (items.size() == 500) {
        more = true;
        break;
      }
      items.push_back({{"key", it->first},
                       {"value", Base64(it->second.first)},
                       {"offset", it->second.second}});
    }
    return Answer(200, {{"items", items},
                        {"has_more", more},
                        {"end_offset", partition.records.size()}});
  }

  /** Deals the partitions evenly; a member keeps those that it has. */
  static void Deal(Group& group) {
    ++group.generation;
    std::map<std::string, int> counts;
    for (const auto& [name, member] : group.members) {
      counts[name] = 0;
    }
    if (counts.empty()) {
      group.target.clear();
      return;
    }
    const int n = static_cast<int>(counts.size());
    const int most = (kParts + n - 1) / n;
    std::vector<int> open;
    for (int part = 0; part < kParts; ++part) {
      const auto it = counts.find(group.target[part]);
      if (it != counts.end() && it->second < most) {
        ++it->second;
      } else {
        open.push_back(part);
      }
    }
    for (const int part : open) {
      auto least = std::min_element(
          counts.begin(), counts.end(),
          [](const auto& a, const auto& b) { return a.second < b.second; });
      group.target[part] = least->first;
      ++least->second;
    }
  }

  void Remove(Group& group, const std::string& member) {
    if (group.members.erase(member) == 0) {
      return;
    }
    for (auto& [part, name] : group.holder) {
      if (name == member) {
        name.clear();
      }
    }
    Deal(group);
  }

  void DropSilentMembers() {
    for (auto& [name, group] : groups_) {
      std::vector<std::string> silent;
      for (const auto& [member, it] : group.members) {
        if (SteadyMs() - it.heard_ms > it.ttl_ms) {
          silent.push_back(member);
        }
      }
      for (const auto& it : silent) {
        Remove(group, it);
      }
    }
  }

  Reply Join(const Request& request) {
    const auto json = Json::parse(request.body);
    auto& group = groups_[json.at("group").get<std::string>()];
    const auto name = json.at("member").get<std::string>();
    group.topic = json.at("topics").at(0).get<std::string>();
    const bool known = group.members.count(name) > 0;
    group.members[name] = {SteadyMs(), json.at("ttl_ms").get<std::int64_t>()};
    if (!known) {
      Deal(group);
    } else if (json.at("generation").get<std::int64_t>() >= group.generation) {
      for (auto& [part, holder] : group.holder) {
        if (holder == name && group.target[part] != name) {
          holder.clear();
        }
      }
    }
    Json parts = Json::array();
    for (int part = 0; part < kParts; ++part) {
      auto& holder = group.holder[part];
      if (group.target[part] == name && (holder.empty() || holder == name)) {
        holder = name;
        parts.push_back({group.topic, part, 0});
      }
    }
    return Answer(200, {{"generation", group.generation},
                        {"ttl_ms", json.at("ttl_ms")},
                        {"parts", parts}});
  }

  Reply Leave(const Request& request) {
    const auto json = Json::parse(request.body);
    Remove(groups_[json.at("group").get<std::string>()],
           json.at("member").get<std::string>());
    return {200, "{}"};
  }

  Reply Owners(const Request& request) {
    Json rows = Json::array();
    auto& group = groups_[request.Query("group")];
    for (const auto& [part, member] : group.holder) {
      if (!member.empty()) {
        rows.push_back({group.topic, part, member, 0});
      }
    }
    return Answer(200, {{"owners", rows}});
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<int, Partition>> topics_;
  std::map<std::string, Group> groups_;
  Server server_;
  int port_ = 0;
};

}  // namespace review2

#endif  // REVIEW_STANDIN_2_STORE_H_
