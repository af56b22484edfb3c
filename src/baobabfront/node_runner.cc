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

// A PING and its answer take 34 bytes. One a second to each of 80 peers would
// take two thirds of the 4 KB/s that a node may use for control.
constexpr Duration kPingShare = std::chrono::milliseconds(50);
constexpr Duration kPingInterval = std::chrono::seconds(1);
constexpr Duration kPingAnswer = std::chrono::seconds(2);

// A load balancer that polls /healthz gets its answer or gives up soon.
constexpr Duration kReadyTimeout = std::chrono::seconds(1);

constexpr int kExitOk = 0;
constexpr int kExitForced = 1;
constexpr int kExitCannotStart = 2;

Endpoint ToEndpoint(const Address& address) {
  return {address.ip, address.port};
}

LogLevel ToLevel(const std::string& name) {
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

/** Reads SIGTERM and SIGINT from a descriptor. Must be made before any thread,
 * since threads inherit the blocked signals. */
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
  /** True if a signal has arrived; takes it. */
  bool Take() {
    signalfd_siginfo info;
    return ::read(fd_.get(), &info, sizeof(info)) == sizeof(info);
  }

 private:
  UniqueFd fd_;
};

/** The parts of a running node and their order of start and stop. */
class Node {
 public:
  Node(const Settings& settings, caf::actor_system& system)
      : settings_(settings),
        system_(system),
        timeline_(settings.timeline_path,
                  settings.node.id,
                  settings.node.incarnation),
        done_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
        commands_(Poster()),
        backend_(metrics_),
        callers_(CallerOptions(),
                 backend_,
                 metrics_,
                 Poster(),
                 [this] { return IsReady(); }),
        control_(ToEndpoint(settings.control), commands_, metrics_),
        peers_(PeerOptions(), metrics_, timeline_, Poster()),
        prober_(kProbeThreads, metrics_, Poster()),
        hosts_(ToEndpoint(settings.host_list),
               settings.host_list_interval,
               metrics_,
               Poster()),
        log_reader_(ToEndpoint(settings.log_service), metrics_, Poster()),
        log_appender_(ToEndpoint(settings.log_service), metrics_, Poster()) {}

  /** Errors: an address cannot be bound. */
  Result<void> Start() {
    state_ = MakeState(settings_.node, NowOf(system_));
    actor_ = system_.spawn<NodeActor>(NodeActorParts{
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

  /** Readable once the reducer says that the process may exit. */
  int done_fd() const { return done_.get(); }

  void CloseIdleConnections() { backend_.CloseIdle(); }

  void RequestStop() {
    callers_.AnnounceStop();
    caf::anon_send(actor_, NodeInput{StopRequested{}});
  }

  /** Ends all parts. The actor runs until the callers' last answers are sent,
   * since their threads wait for its decisions. */
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
  PostEvent Poster() {
    return [this](EventBody body) {
      caf::anon_send(actor_, NodeInput{std::move(body)});
    };
  }

  CallerServerOptions CallerOptions() const {
    CallerServerOptions options;
    options.endpoint = ToEndpoint(settings_.caller);
    options.node = settings_.node.id;
    options.incarnation = settings_.node.incarnation;
    options.threads = settings_.caller_threads;
    options.max_body = settings_.max_body;
    return options;
  }

  PeerLinksOptions PeerOptions() const {
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
    options.ping_interval = std::max(kPingInterval, kPingShare * count);
    options.ping_timeout = options.ping_interval + kPingAnswer;
    return options;
  }

  /** Lets the log reader follow when the fold went back for a snapshot, or
   * ahead with the state of a peer. */
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
        [](CommandId id) { return StatusRequested{id}; }, kReadyTimeout);
    const auto* status = reply ? std::get_if<StatusReport>(&*reply) : nullptr;
    return status != nullptr && status->ready;
  }

  void Execute(const Effect& effect) {
    std::visit([this](const auto& it) { Do(it); }, effect);
  }

  void Do(const StartAttempt& it) { callers_.Execute(it); }
  void Do(const DeliverAnswer& it) { callers_.Execute(it); }
  void Do(const Respond& it) { callers_.Execute(it); }
  void Do(const DeliverStoredAnswer& it) { callers_.Execute(it); }
  void Do(const IssueKey& it) { callers_.Execute(it); }
  void Do(const SendPeer& it) { peers_.Execute(it); }
  void Do(const AppendRecord& it) { log_appender_.Execute(it); }
  void Do(const ProbeMinion& it) { prober_.Execute(it); }
  void Do(const AnswerCommand& it) { commands_.Execute(it); }
  void Do(const WriteTimelineEntry&) {}  // The node actor writes it.
  void Do(const StopProcess&) {
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t n = ::write(done_.get(), &one, sizeof(one));
  }

  const Settings& settings_;
  caf::actor_system& system_;
  Metrics metrics_;
  Timeline timeline_;
  UniqueFd done_;
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

[[noreturn]] void ExitAtOnce() {
  Log(LogLevel::kWarning, "node",
      "second signal: exit without waiting for requests in flight");
  // Threads may still serve requests, so no destructor can run.
  std::_Exit(kExitForced);
}

/** Waits until the node has stopped gracefully. */
void WaitUntilDone(Node& node, StopSignals& signals) {
  constexpr int kIdleCheckMs = 1000;
  bool stopping = false;
  while (true) {
    pollfd fds[] = {{signals.fd(), POLLIN, 0}, {node.done_fd(), POLLIN, 0}};
    ::poll(fds, 2, kIdleCheckMs);
    node.CloseIdleConnections();
    if (fds[1].revents != 0) {
      break;
    }
    if (fds[0].revents != 0 && signals.Take()) {
      if (stopping) {
        ExitAtOnce();
      }
      stopping = true;
      Log(LogLevel::kInfo, "node",
          "stopping: no new requests, those in flight finish");
      node.RequestStop();
    }
  }
  constexpr auto kSignalCheck = std::chrono::milliseconds(20);
  const auto stopped = std::async(std::launch::async, [&] { node.Stop(); });
  while (stopped.wait_for(kSignalCheck) != std::future_status::ready) {
    if (signals.Take()) {
      ExitAtOnce();
    }
  }
}

}  // namespace

int RunNode(const Settings& given) {
  Settings settings = given;
  if (settings.node.incarnation == Incarnation()) {
    settings.node.incarnation = IncarnationNow();
  }
  SetLogLevel(ToLevel(settings.log_level));
  StopSignals signals;
  caf::actor_system_config config;
  config.set("scheduler.max-threads", kActorThreads);
  // Idle threads of the default work-stealing policy poll each 50 us, which
  // took 8.5 % of a core with a 50 ms tick.
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
