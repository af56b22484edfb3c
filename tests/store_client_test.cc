#include "platform/store_client.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/beast/core/detail/base64.hpp>
#include <boost/endian/conversion.hpp>

#include "libnet/async_http_server.h"
#include "platform/decode.h"
#include "platform/log_records.h"

namespace baobab::platform {
namespace {

using std::chrono::milliseconds;

constexpr char kWorker[] =
    R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1",)"
    R"("slots":8,"state":"ready","cold_left_ms":0,"seq":4,)"
    R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],)"
    R"("clock_ms":482113,"born":17,"machine":"m-1"})";

std::string Base64(const std::string& text) {
  namespace base64 = boost::beast::detail::base64;
  std::string out(base64::encoded_size(text.size()), '\0');
  out.resize(base64::encode(out.data(), text.data(), text.size()));
  return out;
}

Json Item(const std::string& key, const std::string& value) {
  return {{"key", key}, {"value", Base64(value)}, {"offset", 1}};
}

/** Store that answers each call with the next of `answers`, then with 503. */
class StoreClientTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).has_value());
    StoreSettings settings;
    settings.address = "127.0.0.1:" + std::to_string(server.Port());
    store = std::make_unique<StoreClient>(loop, client, settings);
  }

  void AddPage(const std::vector<Json>& items, const Json& more) {
    answers.push_back(
        DumpJson({{"items", items}, {"has_more", more}, {"end_offset", kEnd}}));
  }

  void AddRead(const std::string& records, std::uint64_t end = kEnd) {
    std::string body(16, '\0');
    boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(body.data()),
                                 end);
    answers.push_back(body + records);
  }

  /** Reads the worker list once; empty if that failed or was not answered. */
  std::optional<std::vector<std::string>> ReadWorkers() {
    std::optional<std::vector<std::string>> ids;
    bool ended = false;
    store->ReadWorkers([&](const auto& read) {
      ended = true;
      if (read) {
        ids.emplace();
        for (const auto& it : (*read)->entries) {
          ids->push_back(it.id.value());
        }
      }
    });
    const auto limit = std::chrono::steady_clock::now() + milliseconds(2000);
    loop.restart();
    while (!ended && std::chrono::steady_clock::now() < limit) {
      loop.run_one_for(milliseconds(100));
    }
    return ids;
  }

  static constexpr char kEnd = 9;
  using Ids = std::vector<std::string>;

  boost::asio::io_context loop;
  AsyncHttpClient client{loop};
  std::vector<std::string> targets;
  std::vector<std::string> answers;
  AsyncHttpServer server{
      loop, [this](const HttpRequest& request, const auto& respond) {
        targets.push_back(request.target);
        if (targets.size() <= answers.size()) {
          respond({200, {}, answers[targets.size() - 1]});
        } else {
          respond({503, {}, ""});
        }
      }};
  std::unique_ptr<StoreClient> store;
};

struct ItemCase {
  const char* name;
  Json item;
};

class OddItemTest : public StoreClientTest,
                    public testing::WithParamInterface<ItemCase> {};

// Guards against one odd record in a page after which the topic is never
// followed, because the page is rejected or its successor is not asked for.
TEST_P(OddItemTest, OtherRecordsAreRead) {
  AddPage({Item("i1", kWorker), GetParam().item}, true);
  AddPage({GetParam().item, Item("i2", kWorker)}, false);
  EXPECT_EQ(ReadWorkers(), (Ids{"i1", "i2"}));
  EXPECT_EQ(targets.size(), 2u);
}

INSTANTIATE_TEST_SUITE_P(
    Items,
    OddItemTest,
    testing::Values(
        ItemCase{"MalformedBase64", {{"key", "j"}, {"value", "%%%"}}},
        ItemCase{"ValueIsNoText", {{"key", "j"}, {"value", 7}}},
        ItemCase{"NoKey", {{"value", Base64(kWorker)}}},
        ItemCase{"EmptyKey", Item("", kWorker)},
        ItemCase{"KeyIsNoText", {{"key", 7}, {"value", Base64(kWorker)}}},
        ItemCase{"NoObject", 7},
        ItemCase{"Null", nullptr},
        ItemCase{"NoWorker", Item("j", "[]")}),
    [](const auto& it) { return it.param.name; });

// Guards against a field of the wrong type that ends the reading of a topic for
// good, since the exception leaves the loop without another call.
TEST_F(StoreClientTest, AnswersIfHasMoreIsNoFlag) {
  AddPage({Item("i1", kWorker)}, "no");
  EXPECT_EQ(ReadWorkers(), Ids{"i1"});
}

// Guards against a page without a key to go on after, of which the first page
// would be read again without end.
TEST_F(StoreClientTest, ReadsNoPageTwice) {
  AddPage({7}, true);
  AddPage({7}, true);
  EXPECT_EQ(ReadWorkers(), std::nullopt);
  EXPECT_EQ(targets.size(), 1u);
}

// Guards against a first page that passes for all records if the next one
// cannot be asked for.
TEST_F(StoreClientTest, RejectsAPageThatLeadsToNoNextOne) {
  AddPage({Item("i1", kWorker)}, true);
  AddPage({Item("i1", kWorker)}, true);
  EXPECT_EQ(ReadWorkers(), std::nullopt);
  AddPage({}, true);
  EXPECT_EQ(ReadWorkers(), std::nullopt);
}

struct EndCase {
  const char* body;
  std::optional<std::uint64_t> end;
};

void PrintTo(const EndCase& it, std::ostream* out) {
  *out << it.body;
}

class StatedEndTest : public StoreClientTest,
                      public testing::WithParamInterface<EndCase> {};

// Guards against an answer without a usable end of the shard that passes for
// one with an end, so that an old state is taken for the current one.
TEST_P(StatedEndTest, IsReadFromTheAnswer) {
  answers.emplace_back(GetParam().body);
  std::optional<AppendAnswer> answer;
  store->Fence({ShardId(1)}, FenceToken(3),
               [&](const AppendAnswer& it) { answer = it; });
  const auto limit = std::chrono::steady_clock::now() + milliseconds(2000);
  while (!answer && std::chrono::steady_clock::now() < limit) {
    loop.run_one_for(milliseconds(100));
  }
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->outcome, AppendOutcome::kStored);
  EXPECT_EQ(answer->end, GetParam().end);
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    StatedEndTest,
    testing::Values(EndCase{R"({"offset":9,"end_offset":9})", 9},
                    EndCase{R"({"end_offset":0})", 0},
                    EndCase{R"({"offset":9})", std::nullopt},
                    EndCase{R"({"end_offset":"9"})", std::nullopt},
                    EndCase{R"({"end_offset":-1})", std::nullopt},
                    EndCase{R"({"end_offset":1.5})", std::nullopt},
                    EndCase{"[9]", std::nullopt},
                    EndCase{"", std::nullopt}));

// Guards against a list of workers that is used before the records that one
// answer could not hold are read: a worker that registered again seems gone.
TEST_F(StoreClientTest, ReadsToTheEndOfTheTopic) {
  AddPage({Item("i1", kWorker)}, false);
  AddRead(EncodeRecords({{"i1", ""}}), kEnd + 2);
  AddRead(EncodeRecords({{"i1", kWorker}}), kEnd + 2);
  EXPECT_EQ(ReadWorkers(), Ids{"i1"});
  EXPECT_EQ(ReadWorkers(), Ids{"i1"});
  EXPECT_EQ(targets.size(), 3u);
}

// Guards against a reader that stays behind a topic which grows as fast as it
// reads.
TEST_F(StoreClientTest, ReadsTheNewestRecordsIfFarBehind) {
  AddPage({Item("i1", kWorker)}, false);
  AddRead(EncodeRecords({{"i1", ""}}), kEnd + 5000);
  AddPage({Item("i2", kWorker)}, false);
  EXPECT_EQ(ReadWorkers(), Ids{"i1"});
  EXPECT_EQ(ReadWorkers(), Ids{"i2"});
  EXPECT_NE(targets.back().find("log-newest"), std::string::npos);
}

// Guards against a record that is cut short, at whose offset a reader stays for
// ever.
TEST_F(StoreClientTest, StartsOverAfterARecordThatIsCutShort) {
  AddPage({Item("i1", kWorker)}, false);
  AddRead(std::string("\0\0\1\0x", 5));
  AddPage({Item("i1", kWorker), Item("i2", kWorker)}, false);
  EXPECT_EQ(ReadWorkers(), Ids{"i1"});
  EXPECT_EQ(ReadWorkers(), std::nullopt);
  EXPECT_EQ(ReadWorkers(), (Ids{"i1", "i2"}));
}

// Guards against an odd record among those that follow, which must neither
// shift the offsets nor hide the next one.
TEST_F(StoreClientTest, FollowsPastOddRecords) {
  AddPage({Item("i1", kWorker)}, false);
  AddRead(std::string("\0\0\0\0\0\0\0\1\x7f", 9) +
          EncodeRecords({{"i1", "[["}, {"", kWorker}, {"i2", kWorker}}));
  EXPECT_EQ(ReadWorkers(), Ids{"i1"});
  EXPECT_EQ(ReadWorkers(), Ids{"i2"});
  EXPECT_EQ(ReadWorkers(), std::nullopt);
  EXPECT_NE(targets.back().find("from=14"), std::string::npos);
}

// Guards against a rejected record that leaves no line in the log, a line with
// each read, and a line of any length or with line breaks.
TEST_F(StoreClientTest, ReportsARejectedRecordOnce) {
  std::vector<std::string> lines;
  store->SetOnRejected([&](const std::string& record, const FieldFault& fault) {
    lines.push_back(record + ": " + fault.message);
  });
  const std::string odd_key = "a\n\"" + std::string(200, 'k');
  const std::string odd_state =
      R"({"service":"s","address":"10.0.0.9:80","state":"\n)" +
      std::string(5000, 's') + "\"}";
  AddPage({Item("i1", "[]"),
           Item(odd_key, kWorker),
           {{"key", "j"}, {"value", "%%%"}}},
          false);
  AddRead(EncodeRecords({{"i1", "[]"}}));
  AddRead(EncodeRecords({{"i1", odd_state}}));
  AddRead(EncodeRecords({{"i1", kWorker}}));
  AddRead(EncodeRecords({{"i1", "[]"}}));
  for (std::size_t n = answers.size(); n > 0; --n) {
    ASSERT_TRUE(ReadWorkers().has_value());
  }
  ASSERT_EQ(lines.size(), 5u);
  EXPECT_EQ(lines[0], "keyed.servers/j: the key or the value cannot be read");
  EXPECT_TRUE(lines[1].starts_with("keyed.servers/a??kkk")) << lines[1];
  EXPECT_EQ(lines[2], "keyed.servers/i1: no JSON object");
  EXPECT_TRUE(lines[3].starts_with("keyed.servers/i1: state is unknown: ?sss"))
      << lines[3];
  EXPECT_EQ(lines[4], "keyed.servers/i1: no JSON object");
  for (const auto& it : lines) {
    EXPECT_LT(it.size(), 250u);
    EXPECT_EQ(it.find('\n'), std::string::npos);
  }
}

}  // namespace
}  // namespace baobab::platform
