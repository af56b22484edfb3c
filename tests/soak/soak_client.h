#ifndef TESTS_SOAK_SOAK_CLIENT_H_
#define TESTS_SOAK_SOAK_CLIENT_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <httplib.h>

#include "soak_world.h"

namespace baobab {

/** Submits jobs and asks for their states, with a thread of its own. */
class SoakClient {
 public:
  SoakClient(SoakWorld& world, int number, std::uint64_t seed)
      : world_(world),
        number_(number),
        random_(seed),
        thread_([this] { Run(); }) {}

  /** Submits no more jobs from now on. */
  void StopSubmitting() { submits_ = false; }

  /** Number of accepted jobs that have not been seen as completed; submitting
   * counts as one. */
  int open_jobs() const { return open_jobs_ + (is_submitting_ ? 1 : 0); }

  /** Ends the thread and checks all jobs. */
  void Finish() {
    ends_ = true;
    thread_.join();
    for (const auto& it : jobs_) {
      if (it.state == State::kAccepted) {
        world_.findings.Add("not-completed", it.id,
                            "the state is " + it.answer + ", " +
                                std::to_string(it.tasks) + " tasks");
      }
      if (it.state == State::kCompleted) {
        const int done = world_.checks.CountDone(it.id);
        if (done < it.tasks) {
          world_.findings.Add("completed-without-done", it.id,
                              std::to_string(done) + " of " +
                                  std::to_string(it.tasks) +
                                  " tasks have ended done");
        }
      }
      if (it.state == State::kRefused && world_.runs.Started(it.id) > 0) {
        world_.findings.Add("refused-job-runs", it.id, it.answer);
      }
    }
  }

  std::size_t CountJobs() const { return jobs_.size(); }

 private:
  enum class State { kUnanswered, kAccepted, kCompleted, kRefused };

  struct Job {
    std::string id;
    int tasks = 0;
    State state = State::kUnanswered;
    /** The last answer. */
    std::string answer;
    std::int64_t completed_at = 0;
    std::string body;
  };

  /** How long states of completed jobs are asked for; less than the nodes keep
   * them. */
  static constexpr std::int64_t kAskCompletedMs = 60000;
  static constexpr int kDeadlineMs = 3000;
  static constexpr std::int64_t kSubmitTimeMs = 20000;

  int Draw(int from, int to) {
    return std::uniform_int_distribution<>(from, to)(random_);
  }

  void Run() {
    while (!ends_) {
      review::SleepMs(Draw(100, 500));
      const bool submits = Draw(1, 100) <= 25;
      is_submitting_ = submits;
      if (submits && submits_) {
        Submit();
      }
      is_submitting_ = false;
      if (!submits) {
        Ask();
      }
    }
  }

  /** Calls the node of the open connection, or any node if there is none. The
   * status is 0 if there was no response. */
  review::Reply Call(const std::string& method,
                     const std::string& id,
                     const std::string& body = "") {
    if (!connection_) {
      node_ = Draw(0, SoakWorld::kNodes - 1);
      connection_.emplace("127.0.0.1", world_.nodes[node_]->port());
      connection_->set_keep_alive(true);
      connection_->set_read_timeout(std::chrono::milliseconds(kDeadlineMs));
    }
    const httplib::Headers headers = {
        {"Host", "shop.example"},
        {"X-Deadline-Ms", std::to_string(kDeadlineMs)}};
    const auto path = SoakWorld::kPrefix + id;
    const auto begin = review::Now();
    const auto response =
        method == "POST"
            ? connection_->Post(path, headers, body, "application/json")
            : connection_->Get(path, headers);
    review::Reply reply;
    if (response) {
      reply = {response->status, response->body};
    }
    if (!response || response->get_header_value("Connection") == "close") {
      connection_.reset();
    }
    world_.record.Line("client: " + method + " " + id + " at n" +
                       std::to_string(node_ + 1) + " -> " +
                       std::to_string(reply.status) + " " +
                       reply.body.substr(0, 100) + " after " +
                       std::to_string(review::Now() - begin) + " ms");
    return reply;
  }

  void Submit() {
    char id[17];
    std::snprintf(id, sizeof(id), "%04x%012x", number_,
                  static_cast<unsigned>(jobs_.size()));
    const int work_ms = Draw(1, 10) * 1000;
    Job job;
    job.id = id;
    job.tasks = Draw(1, 4);
    job.body =
        review::Deployment::JobBody("work " + std::to_string(work_ms) + " " +
                                        std::to_string(work_ms + 2000),
                                    job.tasks, Draw(1, 3) * 500, work_ms);
    bool may_be_stored = false;
    const auto until = review::Now() + kSubmitTimeMs;
    while (review::Now() < until && !ends_) {
      const auto reply = Call("POST", job.id, job.body);
      job.answer = std::to_string(reply.status) + " " + reply.body;
      if (reply.status == 200) {
        job.state = State::kAccepted;
        ++open_jobs_;
        break;
      }
      const bool refused = reply.status == 429 || reply.status == 503;
      may_be_stored = may_be_stored || !refused;
      // A refused job was not accepted, so the client may give it up.
      if (refused && !may_be_stored && Draw(1, 100) <= 30) {
        job.state = State::kRefused;
        break;
      }
      review::SleepMs(300);
    }
    jobs_.push_back(std::move(job));
  }

  /** Asks for the state of a job, or submits it once more. */
  void Ask() {
    std::vector<Job*> open;
    std::vector<Job*> completed;
    for (auto& it : jobs_) {
      if (it.state == State::kAccepted) {
        open.push_back(&it);
      } else if (it.state == State::kCompleted &&
                 review::Now() - it.completed_at < kAskCompletedMs) {
        completed.push_back(&it);
      }
    }
    const bool ask_completed =
        !completed.empty() && (open.empty() || Draw(1, 100) <= 20);
    const auto& from = ask_completed ? completed : open;
    if (from.empty()) {
      return;
    }
    Job& job = *from[Draw(0, static_cast<int>(from.size()) - 1)];
    const bool repeats = submits_ && Draw(1, 100) <= 10;
    const auto reply =
        repeats ? Call("POST", job.id, job.body) : Call("GET", job.id);
    job.answer = std::to_string(reply.status) + " " + reply.body;
    if (reply.status == 410 || reply.status == 404) {
      world_.findings.Add("accepted-job-unknown", job.id,
                          job.answer + " at n" + std::to_string(node_ + 1));
    }
    if (repeats || reply.status != 200) {
      return;
    }
    const auto body = review::Json::parse(reply.body, nullptr, false);
    const auto state = body.is_object() ? body.value("state", "") : "";
    if (state == "completed" && job.state == State::kAccepted) {
      job.state = State::kCompleted;
      job.completed_at = review::Now();
      --open_jobs_;
    } else if (state != "completed" && job.state == State::kCompleted) {
      world_.findings.Add("completed-job-open", job.id, job.answer);
    } else if (state == "failed" || state == "cancelled") {
      world_.findings.Add("accepted-job-ended", job.id, job.answer);
    }
  }

  SoakWorld& world_;
  const int number_;
  std::mt19937_64 random_;
  int node_ = 0;
  std::optional<httplib::Client> connection_;
  std::vector<Job> jobs_;
  std::atomic<int> open_jobs_ = 0;
  std::atomic<bool> is_submitting_ = false;
  std::atomic<bool> submits_ = true;
  std::atomic<bool> ends_ = false;
  std::thread thread_;
};

}  // namespace baobab

#endif  // TESTS_SOAK_SOAK_CLIENT_H_
