#include "baobabfront/node_runner.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <future>
#include <optional>
#include <string>
#include <utility>

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/atom.hpp>
#include <caf/send.hpp>

#include "baobabfront/node_actor.h"
#include "libnet/net.h"
#include "libtelemetry/telemetry.h"

namespace baobab {
namespace {

constexpr int kProbeThreads = 4;
constexpr std::size_t kActorThreads = 2;

// A PING and its ACK take 34 bytes. One per second to each of 80 peers would
// use two thirds of the 4 KB/s that a node may spend on control traffic, so
// the interval grows with the number of peers.
constexpr Duration kPingIntervalPerPeer = std::chrono::milliseconds(50);
constexpr Duration kPingInterval = std::chrono::seconds(1);
constexpr Duration kPingAckTimeout = std::chrono::seconds(2);

// Bounds the time that a /healthz request of a load balancer takes.
constexpr Duration kReadinessTimeout = std::chrono::seconds(1);

constexpr int kExitOk = 0;
constexpr int kExitForced = 1;
constexpr int kExitCannotStart = 2;

Endpoint ToEndpoint(const Address& address) {
  return {address.ip, address.port};
}

LogLevel ParseLogLevel(const std::string& name) {
  if (name == "debug") {
    return LogLevel::kDebug;
  }
  if (name == "warning") {
    return LogLevel::kWarning;
  }
  return name == "error" ? LogLevel::kError : LogLevel::kInfo;
}

Incarnation IncarnationNow() {
  const auto since_epoch =
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch());
  return Incarnation(static_cast<std::uint64_t>(since_epoch.count()));
}

/** Receives SIGTERM and SIGINT through a file descriptor. Must be created
 * before any thread starts, so that all threads inherit the blocked signals. */
class StopSignals {
 public:
  StopSignals() {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    ::pthread_sigmask(SIG_BLOCK, &set, nullptr);
    fd_ = UniqueFd(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
    std::signal(SIGPIPE, SIG_IGN);
  }

  int fd() const { return fd_.get(); }
  /** Consumes one pending signal; returns false if there is none. */
  bool ConsumeSignal() {
    signalfd_siginfo info;
    return ::read(fd_.get(), &info, sizeof(info)) == sizeof(info);
  }

 private:
  UniqueFd fd_;
};

/** Owns the components of a running node; starts and stops them in order. */
class Node {
 public:
  Node(const Settings& settings, caf::actor_system& system)
      : settings_(settings),
        system_(system),
        timeline_(settings.timeline_path,
                  settings.node.id,
                  settings.node.incarnation),
        done_event_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
        commands_(MakePostEvent()),
        backend_(metrics_),
        callers_(MakeCallerOptions(),
                 backend_,
                 metrics_,
                 MakePostEvent(),
                 [this] { return IsReady(); }),
        control_(ToEndpoint(settings.control), commands_, metrics_),
        peers_(MakePeerOptions(), metrics_, timeline_, MakePostEvent()),
        prober_(kProbeThreads, metrics_, MakePostEvent()),
        hosts_(ToEndpoint(settings.host_list),
               settings.host_list_interval,
               metrics_,
               MakePostEvent()),
        log_reader_(ToEndpoint(settings.log_service),
                    metrics_,
                    MakePostEvent()),
        log_appender_(ToEndpoint(settings.log_service),
                      metrics_,
                      MakePostEvent()) {}

  /** Starts all components. Error: a listen address cannot be bound. */
  Result<void> Start() {
    state_ = MakeState(settings_.node, ActorClockNow(system_));
    actor_ = system_.spawn<NodeActor>(NodeActorDependencies{
        [this](const Event& event) { return ReduceAndSeek(event); },
        [this](const Effect& effect) { Execute(effect); }, &metrics_,
        &timeline_});
    if (auto started = peers_.Start(); !started) {
      return started;
    }
    if (auto started = control_.Start(); !started) {
      return started;
    }
    if (auto started = callers_.Start(); !started) {
      return started;
    }
    peers_.Connect();
    log_appender_.Start();
    log_reader_.Start();
    hosts_.Start();
    return {};
  }

  /** Descriptor that is readable once the reducer lets the process exit. */
  int done_fd() const { return done_event_.get(); }

  void CloseIdleConnections() { backend_.CloseIdle(); }

  void RequestStop() {
    callers_.AnnounceStop();
    caf::anon_send(actor_, NodeInput{StopRequested{}});
  }

  /** Stops all components. The actor stops last, since the threads that serve
   * callers wait for its decisions until they have sent their responses. */
  void Stop() {
    callers_.Stop();
    control_.Stop();
    hosts_.Stop();
    log_reader_.Stop();
    log_appender_.Stop();
    prober_.Stop();
    peers_.Stop();
    caf::anon_send_exit(actor_, caf::exit_reason::user_shutdown);
    system_.await_all_actors_done();
  }

 private:
  PostEvent MakePostEvent() {
    return [this](EventBody body) {
      caf::anon_send(actor_, NodeInput{std::move(body)});
    };
  }

  CallerServerOptions MakeCallerOptions() const {
    CallerServerOptions options;
    options.endpoint = ToEndpoint(settings_.caller);
    options.node = settings_.node.id;
    options.incarnation = settings_.node.incarnation;
    options.threads = settings_.caller_threads;
    options.max_body = settings_.max_body;
    return options;
  }

  PeerLinksOptions MakePeerOptions() const {
    PeerLinksOptions options;
    options.endpoint = ToEndpoint(settings_.peer);
    options.node = settings_.node.id;
    options.incarnation = settings_.node.incarnation;
    for (const PeerSettings& it : settings_.peers) {
      if (it.id != settings_.node.id) {
        options.peers.push_back({it.id, ToEndpoint(it.address)});
      }
    }
    const auto count = static_cast<int>(options.peers.size());
    options.ping_interval =
        std::max(kPingInterval, kPingIntervalPerPeer * count);
    options.ping_timeout = options.ping_interval + kPingAckTimeout;
    return options;
  }

  /** Runs the reducer and moves the log reader if the fold has gone back to
   * read a snapshot or ahead by adopting the state of a peer. */
  Effects ReduceAndSeek(const Event& event) {
    Effects effects = Reduce(*state_, event);
    const auto* read = std::get_if<LogRead>(&event.body);
    if (read != nullptr) {
      const Offset end = read->entries.empty()
                             ? read->next
                             : Offset(read->entries.back().offset.value() + 1);
      if (const Offset next = NextLogOffset(*state_); next != end) {
        log_reader_.SeekTo(next);
      }
    }
    return effects;
  }

  bool IsReady() {
    const auto reply = commands_.Ask(
        [](CommandId id) { return StatusRequested{id}; }, kReadinessTimeout);
    const auto* status = reply ? std::get_if<StatusReport>(&*reply) : nullptr;
    return status != nullptr && status->ready;
  }

  void Execute(const Effect& effect) {
    std::visit([this](const auto& it) { ExecuteEffect(it); }, effect);
  }

  void ExecuteEffect(const StartAttempt& it) { callers_.Execute(it); }
  void ExecuteEffect(const DeliverAnswer& it) { callers_.Execute(it); }
  void ExecuteEffect(const Respond& it) { callers_.Execute(it); }
  void ExecuteEffect(const DeliverStoredAnswer& it) { callers_.Execute(it); }
  void ExecuteEffect(const IssueKey& it) { callers_.Execute(it); }
  void ExecuteEffect(const SendPeer& it) { peers_.Execute(it); }
  void ExecuteEffect(const AppendRecord& it) { log_appender_.Execute(it); }
  void ExecuteEffect(const ProbeMinion& it) { prober_.Execute(it); }
  void ExecuteEffect(const AnswerCommand& it) { commands_.Execute(it); }
  void ExecuteEffect(const WriteTimelineEntry&) {}  // NodeActor writes it.
  void ExecuteEffect(const StopProcess&) {
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t n =
        ::write(done_event_.get(), &one, sizeof(one));
  }

  const Settings& settings_;
  caf::actor_system& system_;
  Metrics metrics_;
  Timeline timeline_;
  UniqueFd done_event_;
  std::shared_ptr<State> state_;
  caf::actor actor_;
  CommandWaiter commands_;
  BackendClient backend_;
  CallerServer callers_;
  ControlServer control_;
  PeerLinks peers_;
  Prober prober_;
  HostListReader hosts_;
  LogReader log_reader_;
  LogAppender log_appender_;
};

[[noreturn]] void ExitImmediately() {
  Log(LogLevel::kWarning, "node",
      "second stop signal: exiting without waiting for requests in flight");
  // Threads may still be serving requests, so destructors must not run.
  std::_Exit(kExitForced);
}

/** Waits for a stop signal, then until the node has stopped gracefully. A
 * second signal ends the process immediately. */
void WaitUntilDone(Node& node, StopSignals& signals) {
  constexpr int kIdleCheckIntervalMs = 1000;
  bool stopping = false;
  while (true) {
    pollfd fds[] = {{signals.fd(), POLLIN, 0}, {node.done_fd(), POLLIN, 0}};
    ::poll(fds, 2, kIdleCheckIntervalMs);
    node.CloseIdleConnections();
    if (fds[1].revents != 0) {
      break;
    }
    if (fds[0].revents != 0 && signals.ConsumeSignal()) {
      if (stopping) {
        ExitImmediately();
      }
      stopping = true;
      Log(LogLevel::kInfo, "node",
          "stopping: taking no new requests, finishing those in flight");
      node.RequestStop();
    }
  }
  constexpr auto kSignalPollInterval = std::chrono::milliseconds(20);
  const auto stopped = std::async(std::launch::async, [&] { node.Stop(); });
  while (stopped.wait_for(kSignalPollInterval) != std::future_status::ready) {
    if (signals.ConsumeSignal()) {
      ExitImmediately();
    }
  }
}

}  // namespace

int RunNode(const Settings& node_settings) {
  Settings settings = node_settings;
  if (settings.node.incarnation == Incarnation()) {
    settings.node.incarnation = IncarnationNow();
  }
  SetLogLevel(ParseLogLevel(settings.log_level));
  StopSignals signals;
  caf::actor_system_config config;
  config.set("scheduler.max-threads", kActorThreads);
  // Idle threads of the default work-stealing policy poll every 50 us, which
  // takes 8.5 % of a core at a tick of 50 ms.
  config.set("scheduler.policy", caf::atom("sharing"));
  caf::actor_system system(config);
  Node node(settings, system);
  if (const auto started = node.Start(); !started) {
    Log(LogLevel::kError, "node", "{}", ToString(started.error()));
    node.Stop();
    return kExitCannotStart;
  }
  Log(LogLevel::kInfo, "node", "{} started: callers {}, operators {}, peers {}",
      settings.node.id.value(), ToString(ToEndpoint(settings.caller)),
      ToString(ToEndpoint(settings.control)),
      ToString(ToEndpoint(settings.peer)));
  WaitUntilDone(node, signals);
  Log(LogLevel::kInfo, "node", "stopped");
  return kExitOk;
}

}  // namespace baobab
