#include "libjobs/forecast.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <queue>
#include <set>
#include <tuple>
#include <utility>

namespace baobab {

namespace {

/** Length of the simulated period. A job that is not done within it counts as
 * never done; its forecast end is the end of the period. */
constexpr Duration kHorizon = std::chrono::seconds(60);

/** Ends that are closer together than this are handled in one step. */
constexpr Duration kMergeWindow = std::chrono::milliseconds(10);

/** Event that frees cores: tasks of one step end, or, with `tasks` 0, a host
 * arrives. */
struct CoresFreed {
  Time at;
  double cores = 0;
  std::size_t job = 0;
  std::size_t step = 0;
  int tasks = 0;

  bool operator>(const CoresFreed& other) const { return at > other.at; }
};

/** Order of placement among the steps in time, and among the late ones:
 * priority, latest start, then the indices of job and step. */
using PlacementKey = std::tuple<int, Time, std::size_t, std::size_t>;

/** Simulated state of one job. */
struct Progress {
  /** Tasks not started yet, by step. */
  std::vector<int> waiting;
  /** Tasks not done yet, by step. */
  std::vector<int> open;
  std::size_t open_steps = 0;
  /** Steps that are not done and for which the step waits, by step. */
  std::vector<int> awaited;
  /** Steps that wait for the step, by step. */
  std::vector<std::vector<std::size_t>> dependents;
};

}  // namespace

Forecast::Forecast(Time now,
                   double free_cores,
                   std::vector<IncomingCores> arriving)
    : now_(now), free_cores_(free_cores), arriving_(std::move(arriving)) {}

std::vector<Time> Forecast::Simulate(
    const std::vector<const ForecastJob*>& jobs) const {
  std::vector<Time> done(jobs.size(), now_ + kHorizon);
  std::vector<Progress> progress(jobs.size());
  std::priority_queue<CoresFreed, std::vector<CoresFreed>, std::greater<>> ends;
  std::set<PlacementKey> ready;
  for (const auto& it : arriving_) {
    ends.push({std::max(it.at, now_), it.cores, 0, 0, 0});
  }
  // Minimum cores of a ready task; with fewer free cores the scan is skipped.
  double min_cores = std::numeric_limits<double>::max();
  const auto add_if_ready = [&](std::size_t j, std::size_t i) {
    if (progress[j].waiting[i] > 0 && progress[j].awaited[i] == 0) {
      ready.emplace(jobs[j]->priority, jobs[j]->latest_start[i], j, i);
      min_cores = std::min(min_cores, jobs[j]->steps[i].cores);
    }
  };
  for (std::size_t j = 0; j < jobs.size(); ++j) {
    progress[j].dependents.resize(jobs[j]->steps.size());
    for (std::size_t i = 0; i < jobs[j]->steps.size(); ++i) {
      const auto& step = jobs[j]->steps[i];
      int awaited = 0;
      for (const int it : step.after) {
        const auto earlier = static_cast<std::size_t>(it);
        if (progress[j].open[earlier] > 0) {
          progress[j].dependents[earlier].push_back(i);
          ++awaited;
        }
      }
      progress[j].awaited.push_back(awaited);
      const int running = static_cast<int>(step.running_until.size());
      progress[j].waiting.push_back(step.waiting);
      progress[j].open.push_back(step.waiting + running);
      progress[j].open_steps += step.waiting + running > 0 ? 1 : 0;
      for (const Time it : step.running_until) {
        ends.push({std::max(it, now_), step.cores, j, i, 1});
      }
    }
    if (progress[j].open_steps == 0) {
      done[j] = now_;
    }
  }
  for (std::size_t j = 0; j < jobs.size(); ++j) {
    for (std::size_t i = 0; i < jobs[j]->steps.size(); ++i) {
      add_if_ready(j, i);
    }
  }
  Time at = now_;
  double free = free_cores_;
  while (true) {
    if (free >= min_cores) {
      double min_unplaced = std::numeric_limits<double>::max();
      bool complete = true;
      for (const bool late : {false, true}) {
        for (auto it = ready.begin(); it != ready.end();) {
          if (free < min_cores) {
            // No ready task needs less.
            complete = false;
            break;
          }
          const auto [priority, latest, j, i] = *it;
          const auto& step = jobs[j]->steps[i];
          if (latest < at && !late) {
            // Those in time follow all late ones of their priority.
            it = ready.lower_bound({priority, at, 0, 0});
            continue;
          }
          if ((latest < at) != late) {
            ++it;
            continue;
          }
          int& waiting = progress[j].waiting[i];
          if (free >= step.cores) {
            const int fit =
                step.cores > 0
                    ? std::min(waiting, static_cast<int>(free / step.cores))
                    : waiting;
            free -= fit * step.cores;
            waiting -= fit;
            ends.push({at + step.duration, fit * step.cores, j, i, fit});
          }
          if (waiting == 0) {
            it = ready.erase(it);
          } else {
            min_unplaced = std::min(min_unplaced, step.cores);
            ++it;
          }
        }
      }
      if (complete) {
        min_cores = min_unplaced;
      }
    }
    if (ends.empty() || ends.top().at > now_ + kHorizon) {
      return done;
    }
    at = ends.top().at + kMergeWindow;
    while (!ends.empty() && ends.top().at <= at) {
      const CoresFreed end = ends.top();
      ends.pop();
      free += end.cores;
      if (end.tasks == 0) {
        continue;
      }
      auto& state = progress[end.job];
      state.open[end.step] -= end.tasks;
      if (state.open[end.step] == 0) {
        if (--state.open_steps == 0) {
          done[end.job] = end.at;
        }
        for (const auto it : state.dependents[end.step]) {
          if (--state.awaited[it] == 0) {
            add_if_ready(end.job, it);
          }
        }
      }
    }
  }
}

}  // namespace baobab
