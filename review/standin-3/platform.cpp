// Stand-in of the platform: the metadata store and the list of machines.
// platform STORE_PORT CLOUD_PORT MACHINES_FILE
//
// The store is the log of PROTOCOL.md: topics with 32 partitions, producers,
// groups, the newest records of keyed topics. Records expire after 300 s, or
// when a partition holds more than 200 MB; with 400 MB in total appends get
// 507. An append takes 2 ms and proceeds at 20 MB/s.
#include <condition_variable>
#include <deque>
#include <fstream>
#include <iostream>
#include <mutex>
#include <set>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.h"

using nlohmann::json;
using namespace s3;

namespace {

constexpr int kParts = 32;
constexpr std::int64_t kKeepMs = 300'000;
constexpr std::size_t kPartBytes = 200'000'000;
constexpr std::size_t kTotalBytes = 400'000'000;
constexpr std::size_t kRecordBytes = 262'144;
constexpr std::size_t kRequestBytes = 2'097'152;

std::mutex mutex;
std::condition_variable changed;

struct Record {
  std::string bytes;
  std::int64_t at;
};
struct Producer {
  std::int64_t epoch = -1;
  std::int64_t next = -1;
  std::deque<std::pair<std::int64_t, std::string>> last;
};
struct Newest {
  std::string value;
  std::uint64_t offset;
};
struct Part {
  std::deque<Record> records;
  std::uint64_t first = 0;
  std::size_t bytes = 0;
  std::map<std::string, Newest> newest;
  std::map<std::string, Producer> producers;
  std::int64_t busy_until_us = 0;
  std::uint64_t end() const { return first + records.size(); }
};
std::map<std::pair<std::string, int>, Part> parts;
std::size_t total = 0;
std::uint64_t refused_full = 0;

std::int64_t SteadyUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void Expire(Part& part, std::int64_t now) {
  while (!part.records.empty() &&
         (part.records.front().at + kKeepMs < now || part.bytes > kPartBytes)) {
    part.bytes -= part.records.front().bytes.size();
    total -= part.records.front().bytes.size();
    part.records.pop_front();
    ++part.first;
  }
}

std::string Base64(const std::string& in) {
  static const char* k =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    unsigned n = static_cast<unsigned char>(in[i]) << 16;
    if (i + 1 < in.size())
      n |= static_cast<unsigned char>(in[i + 1]) << 8;
    if (i + 2 < in.size())
      n |= static_cast<unsigned char>(in[i + 2]);
    out += k[n >> 18];
    out += k[(n >> 12) & 63];
    out += i + 1 < in.size() ? k[(n >> 6) & 63] : '=';
    out += i + 2 < in.size() ? k[n & 63] : '=';
  }
  return out;
}

// Adds one record; the mutex is held.
void Add(Part& part, bool keyed, std::string record) {
  if (keyed && !record.empty()) {
    const auto n = static_cast<unsigned char>(record[0]);
    if (record.size() >= 1u + n) {
      const auto key = record.substr(1, n);
      if (record.size() == 1u + n) {
        part.newest.erase(key);
      } else {
        part.newest[key] = {record.substr(1 + n), part.end()};
      }
    }
  }
  part.bytes += record.size();
  total += record.size();
  part.records.push_back({std::move(record), SteadyMs()});
}

std::string Big(std::uint64_t n, int bytes) {
  std::string out;
  for (int i = bytes - 1; i >= 0; --i) {
    out += static_cast<char>((n >> (8 * i)) & 255);
  }
  return out;
}

Response Append(const Request& r) {
  const auto topic = r.Query("topic");
  const bool keyed = topic.rfind("keyed.", 0) == 0;
  std::vector<std::string> records;
  for (std::size_t at = 0; at < r.body.size();) {
    if (at + 4 > r.body.size())
      return {400, "{}"};
    std::uint32_t n = 0;
    for (int i = 0; i < 4; ++i) {
      n = n << 8 | static_cast<unsigned char>(r.body[at + i]);
    }
    if (n > kRecordBytes)
      return {413, "{}"};
    if (at + 4 + n > r.body.size())
      return {400, "{}"};
    records.push_back(r.body.substr(at + 4, n));
    at += 4 + n;
  }
  if (r.body.size() > kRequestBytes)
    return {413, "{}"};
  std::unique_lock lock(mutex);
  auto& part = parts[{topic, std::atoi(r.Query("part").c_str())}];
  // Appends of a partition are processed one at a time.
  const auto now_us = SteadyUs();
  if (part.busy_until_us - now_us > 2'000'000)
    return {503, "{}"};
  part.busy_until_us = std::max(part.busy_until_us, now_us) + 2000 +
                       static_cast<std::int64_t>(r.body.size()) / 20;
  const auto due = part.busy_until_us;
  lock.unlock();
  std::this_thread::sleep_for(std::chrono::microseconds(due - now_us));
  lock.lock();
  if (r.query.count("at") && std::stoull(r.Query("at")) != part.end()) {
    return {412, json{{"end_offset", part.end()}}.dump()};
  }
  Producer* producer = nullptr;
  const std::int64_t seq =
      r.query.count("seq") ? std::stoll(r.Query("seq")) : 0;
  if (r.query.count("producer")) {
    producer = &part.producers[r.Query("producer")];
    const auto epoch = std::stoll(r.Query("epoch"));
    if (epoch < producer->epoch) {
      return {409, R"({"reason":"fenced"})"};
    }
    if (epoch > producer->epoch) {
      producer->epoch = epoch;
      producer->next = -1;
      producer->last.clear();
    }
    if (!records.empty()) {
      for (const auto& [n, answer] : producer->last) {
        if (n == seq)
          return {200, answer};
      }
      if (producer->next >= 0 && seq != producer->next) {
        return {409,
                json{{"reason", "seq"}, {"expected", producer->next}}.dump()};
      }
    }
  }
  Expire(part, SteadyMs());
  if (!records.empty() && total >= kTotalBytes) {
    ++refused_full;
    return {507, "{}"};
  }
  const auto offset = part.end();
  for (auto& it : records)
    Add(part, keyed, std::move(it));
  const auto answer =
      json{{"offset", offset}, {"end_offset", part.end()}}.dump();
  if (producer && !records.empty()) {
    producer->next = seq + 1;
    producer->last.emplace_back(seq, answer);
    if (producer->last.size() > 5)
      producer->last.pop_front();
  }
  changed.notify_all();
  return {200, answer};
}

Response Read(const Request& r) {
  std::unique_lock lock(mutex);
  auto& part = parts[{r.Query("topic"), std::atoi(r.Query("part").c_str())}];
  const auto from = std::stoull(r.Query("from"));
  const auto wait =
      r.query.count("wait_ms") ? std::stoi(r.Query("wait_ms")) : 0;
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
  while (part.end() <= from &&
         changed.wait_until(lock, until) == std::cv_status::no_timeout) {
  }
  if (from < part.first) {
    return {410, json{{"first_offset", part.first}}.dump()};
  }
  std::string body = Big(part.end(), 8) + Big(part.first, 8);
  std::size_t n = 0;
  for (auto i = from; i < part.end() && n < 1024; ++i, ++n) {
    const auto& it = part.records[i - part.first].bytes;
    body += Big(it.size(), 4) + it;
  }
  return {200, body};
}

Response ReadNewest(const Request& r) {
  std::unique_lock lock(mutex);
  auto& part = parts[{r.Query("topic"), std::atoi(r.Query("part").c_str())}];
  auto items = json::array();
  std::size_t size = 0;
  auto it = r.query.count("depends_on")
                ? part.newest.upper_bound(r.Query("depends_on"))
                : part.newest.begin();
  for (; it != part.newest.end() && items.size() < 500 && size < 1'000'000;
       ++it) {
    items.push_back({{"key", it->first},
                     {"value", Base64(it->second.value)},
                     {"offset", it->second.offset}});
    size += it->second.value.size();
  }
  return {200, json{{"items", items},
                    {"has_more", it != part.newest.end()},
                    {"end_offset", part.end()}}
                   .dump()};
}

// One group. A partition goes to its next member once the former one has joined
// with the present generation, has left, or is silent for its ttl.
struct Group {
  std::int64_t generation = 0;
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> members;
  std::vector<std::string> holder = std::vector<std::string>(kParts);
  std::vector<std::string> target = std::vector<std::string>(kParts);
};
std::map<std::string, Group> groups;

void Deal(Group& group) {
  ++group.generation;
  std::vector<std::string> names;
  for (const auto& [name, it] : group.members)
    names.push_back(name);
  for (int i = 0; i < kParts; ++i) {
    group.target[i] = names.empty() ? "" : names[i % names.size()];
    if (!group.members.count(group.holder[i])) {
      group.holder[i] = group.target[i];
    }
  }
}

void ExpireMembers(Group& group) {
  const auto now = SteadyMs();
  bool lost = false;
  for (auto it = group.members.begin(); it != group.members.end();) {
    if (it->second.first + it->second.second < now) {
      it = group.members.erase(it);
      lost = true;
    } else {
      ++it;
    }
  }
  if (lost)
    Deal(group);
}

Response Join(const Request& r, bool leave) {
  const auto body = json::parse(r.body);
  std::lock_guard lock(mutex);
  auto& group = groups[body.at("group")];
  ExpireMembers(group);
  const std::string member = body.at("member");
  if (leave) {
    if (group.members.erase(member) > 0)
      Deal(group);
    return {200, "{}"};
  }
  const std::int64_t ttl = body.at("ttl_ms");
  const bool known = group.members.count(member) > 0;
  group.members[member] = {SteadyMs(), ttl};
  if (!known)
    Deal(group);
  if (body.value("generation", std::int64_t{0}) >= group.generation) {
    for (int i = 0; i < kParts; ++i) {
      if (group.holder[i] == member)
        group.holder[i] = group.target[i];
    }
  }
  auto rows = json::array();
  for (int i = 0; i < kParts; ++i) {
    if (group.holder[i] == member && group.target[i] == member) {
      rows.push_back({body.at("topics").at(0), i, 0});
    }
  }
  return {
      200,
      json{{"generation", group.generation}, {"ttl_ms", ttl}, {"parts", rows}}
          .dump()};
}

Response Owners(const Request& r) {
  std::lock_guard lock(mutex);
  auto& group = groups[r.Query("group")];
  ExpireMembers(group);
  auto rows = json::array();
  for (int i = 0; i < kParts; ++i) {
    if (!group.holder[i].empty()) {
      rows.push_back({"keyed.jobs", i, group.holder[i], 0});
    }
  }
  return {200, json{{"owners", rows}}.dump()};
}

Response ServeStore(const Request& r) {
  if (r.path == "/baobabfront/log-append")
    return Append(r);
  if (r.path == "/baobabfront/log-read")
    return Read(r);
  if (r.path == "/baobabfront/log-newest")
    return ReadNewest(r);
  if (r.path == "/baobabfront/log-join")
    return Join(r, false);
  if (r.path == "/baobabfront/log-leave")
    return Join(r, true);
  if (r.path == "/baobabfront/log-owners")
    return Owners(r);
  // For the operator, the workers and the record of a case.
  if (r.path == "/put") {
    std::lock_guard lock(mutex);
    const auto key = r.Query("key");
    Add(parts[{r.Query("topic"), 0}], true,
        std::string(1, static_cast<char>(key.size())) + key + r.body);
    changed.notify_all();
    return {200, "{}"};
  }
  if (r.path == "/figures") {
    std::lock_guard lock(mutex);
    return {
        200,
        json{{"stored_bytes", total}, {"refused_full", refused_full}}.dump()};
  }
  return {404, "{}"};
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4)
    return 2;
  const std::string machines = argv[3];
  const auto cloud = [machines](const Request& r) -> Response {
    if (r.path == "/baobabfront/machines") {
      std::ifstream in(machines);
      std::string text((std::istreambuf_iterator<char>(in)), {});
      return {200, text};
    }
    return {409, R"({"reason":"busy"})"};
  };
  if (!Serve(std::atoi(argv[1]), ServeStore) ||
      !Serve(std::atoi(argv[2]), cloud)) {
    return 2;
  }
  for (;;)
    std::this_thread::sleep_for(std::chrono::hours(1));
}
