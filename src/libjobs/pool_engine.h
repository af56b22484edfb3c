#ifndef SRC_LIBJOBS_POOL_ENGINE_H_
#define SRC_LIBJOBS_POOL_ENGINE_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "libjobs/admission.h"
#include "libjobs/background_throttle.h"
#include "libjobs/demand_tracker.h"
#include "libjobs/lost_runs.h"
#include "libjobs/owner_load.h"
#include "libjobs/pool_effect.h"
#include "libjobs/pool_event.h"
#include "libjobs/pool_room.h"
#include "libjobs/ready_steps.h"

namespace baobab {

/** State of a job as reported to callers. */
enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

/** Figures for the status report and metrics. */
struct PoolReport {
  int open_jobs = 0;
  int ended_jobs = 0;
  int waiting_steps = 0;
  int workers = 0;
  int usable_workers = 0;
  int runs = 0;
  int set_aside_jobs = 0;
  std::uint64_t violations = 0;
};

/** Makes all decisions on the jobs and workers of one shard, for the shard's
 * owner. It has no side effects; the caller executes the returned effects.
 *
 * Safety rests on the store alone: it refuses records of former owners, and a
 * run is only started after the choice of its worker is stored. A former owner
 * that was suspended and resumes can therefore start nothing that the new owner
 * does not know. */
class PoolEngine {
 public:
  PoolEngine(ShardId shard, const PoolTuning& tuning);
  PoolEngine(const PoolEngine&) = delete;
  PoolEngine& operator=(const PoolEngine&) = delete;

  /** Applies an event and returns the effects to execute. */
  PoolEffects Apply(const PoolEvent& event);

  /** Returns the state of a job; empty if no such job is stored. */
  std::optional<JobState> StateOf(const JobId& job) const;
  /** Returns whether the job is known, stored or not. */
  bool Knows(const JobId& job) const { return jobs_.contains(job); }
  /** Returns the cell that decides on the job, if that is stored. */
  std::optional<ShardId> DelegatedTo(const JobId& job) const;
  /** Returns the number of stored jobs of the queue without a started task. */
  int Pending(const QueueId& queue) const;
  bool IsLoaded() const { return loaded_; }
  PoolReport Report(Time now) const;
  /** Returns whether the plan is of the newest known planner. A former one that
   * cannot reach the store goes on until it learns that it was replaced. */
  bool AcceptsPlan(const HostPlan& plan) const {
    return plan.planner >= planner_;
  }
  /** Returns the usage report for the host planner. */
  PoolUsage Usage(Time now) const;
  const Workers& workers() const { return workers_; }
  const DurationModel& durations() const { return durations_; }
  const std::map<JobId, Job>& jobs() const { return jobs_; }
  /** What the engine was working on, for the report of an unexpected error. */
  struct Subject {
    const char* event = "";
    /** Empty if the error belongs to no job. */
    JobId job;
    /** Occurrence and step; -1 for the whole job. */
    int occurrence = -1;
    int step = -1;
  };
  const Subject& subject() const { return subject_; }
  /** Returns how often owners of this release have failed at the job. */
  int FailuresAt(const JobId& job) const;
  /** Returns whether no decisions are made on the job, since owners have failed
   * at it repeatedly. Its runs go on, and their ends are noted. */
  bool IsSetAside(const JobId& job) const;
  /** Returns what is kept beside the tasks and contradicts them; empty unless
   * the program is at fault. Takes a pass over all tasks. */
  std::vector<std::string> FindInconsistencies() const;

 private:
  /** Changes that take effect once the records of a commit are stored. */
  struct StagedChanges {
    /** Jobs whose progress is to be stored. */
    std::set<JobId> dirty;
    /** New jobs whose acceptance is to be stored. */
    std::set<JobId> accepted;
    /** Jobs whose records are to be deleted, with the numbers of the parts of
     * their progress. */
    std::map<JobId, std::set<int>> dropped;
    /** Jobs whose delegation is to be stored, or deleted if it has expired. */
    std::set<JobId> delegated;
    /** Workers whose wait for leases of former owners is to be stored, and
     * those of which that record is to be deleted. */
    std::set<WorkerId> lease_waits;
    std::set<WorkerId> ended_lease_waits;
    /** Workers whose starts without an answer are to be stored. */
    std::set<WorkerId> unanswered_starts;
    /** Whether to store which placements are settled although nothing else is
     * to be stored. */
    bool settled_placements = false;
    /** Answers to callers that are sent once the commit is stored. */
    std::vector<PoolEffect> answers;
    /** Runs that are started once the commit is stored. */
    std::vector<std::pair<TaskId, RunNumber>> placed;
    /** Run ends that were applied at one incarnation of a worker: all up to
     * `number`. They may be acknowledged once the commit is stored. */
    struct AppliedEnds {
      WorkerId worker;
      std::int64_t incarnation = 0;
      std::int64_t number = 0;
    };
    std::vector<AppliedEnds> ends;
    /** Ends of jobs that callers see once the commit is stored. */
    std::map<JobId, JobEnd> visible_end;

    bool empty() const {
      return dirty.empty() && accepted.empty() && dropped.empty() &&
             delegated.empty() && lease_waits.empty() &&
             ended_lease_waits.empty() && unanswered_starts.empty() &&
             !settled_placements && ends.empty();
    }
  };

  void Handle(const PoolTick& event);
  void Handle(const ShardLoaded& event);
  void Handle(const PoliciesChanged& event);
  void Handle(const DivisionChanged& event);
  void Handle(const WorkersListed& event);
  void Handle(const SubmitRequested& event);
  void Handle(const CancelRequested& event);
  void Handle(const JobOffered& event);
  void Handle(const OfferFinished& event);
  void Handle(const HostsPlanned& event);
  void Handle(const CommitStored& event);
  void Handle(const PollFinished& event);
  void Handle(const StartFinished& event);
  void Handle(const StopFinished& event);
  void Handle(const ThrottleFinished& event);
  void Handle(const AdviceReceived& event);

  /** Puts a plan into effect. */
  void UsePlan(HostPlan plan);

  // Demand and free capacity (pool_engine_demand.cc).
  /** Adds a run to the usage of its service and host. */
  void AddRun(const TaskId& id,
              const Resources& resources,
              Time now,
              ServiceUsage& service,
              HostUsage& host) const;
  AdmissionVerdict Evaluate(const Job& job) const;
  /** Returns the cores that late work may take in addition to its current runs:
   * those left by open and expected work that can be in time. Late work that
   * starts in a gap between two steps of other jobs would make these late
   * too. */
  double CoresForLateWork(const ServiceId& service);
  /** Returns the cores that the job will take in addition to its current runs,
   * without steps that are late. */
  double UpcomingCores(const Job& job) const;

  // Tasks that lack a host (pool_engine_room.cc).
  /** Hosts that waiting tasks of a pool lack. */
  struct MissingHosts {
    int hosts = 0;
    /** Those of late jobs. */
    int late = 0;
  };
  std::map<ServiceId, MissingHosts> CountMissingHosts() const;
  /** Returns the ready steps of which no worker of the cell can take a task
   * even if all its finite runs ended. */
  const std::set<StepId>& StepsLackingHosts(const ServiceId& service);
  /** Returns the room of the cell's workers without their finite runs. */
  PoolRoom RoomOf(const ServiceId& service) const;
  /** Returns whether the run of the task ends without being stopped. */
  bool EndsByItself(const TaskId& id) const;
  /** Returns the number of empty hosts that `tasks` of the step need; 0 if no
   * known host can take one. */
  int HostsFor(const StepSpec& step, int tasks) const;

  // Jobs of other cells (pool_engine_delegation.cc).
  /** Returns whether this cell decides on workers of the pool. It gets jobs of
   * other pools if it is their home and their queue was sent elsewhere. */
  bool DecidesOn(const ServiceId& service) const;
  /** Returns whether the list has a worker of the pool in this cell. */
  bool HasWorkers(const ServiceId& service) const;
  /** Delegates the job to a cell with free cores, or a job of another pool to
   * any cell there; returns false if there is none. */
  bool Delegate(const Job& job, const ReplyId& reply);
  /** Returns the cores that the job needs at the same time: those of its widest
   * step, or of all steps if they are long-running. */
  static double CoresAtOnce(const Job& job);
  /** Returns one of the cells, of which there is at least one. */
  static ShardId SpreadOver(const std::set<ShardId>& cells, const JobId& job);
  /** Returns the cell that should get a job which needs `cores`, or null. Jobs
   * are spread over cells in proportion to their free cores, since their load
   * is known with a delay. */
  CellLoad* ChooseCell(const Job& job, double cores);
  /** Returns the cells of the pool whose listed workers could take each open
   * step of the job if nothing ran on them. A sum over the workers does not
   * show that, since a task needs its label and all its resources on one. */
  std::set<ShardId> CellsThatFit(const Job& job) const;
  /** Returns the listed workers of each cell of the pool that stay. */
  std::map<ShardId, std::vector<const WorkerEntry*>> WorkersByCell(
      const ServiceId& service) const;
  /** Returns whether this cell lacks the cores or hosts for all tasks of a
   * long-running job, or whether none of its workers can ever take a task of a
   * step of another one. */
  bool LacksRoomFor(const Job& job) const;
  /** Answers a request for a delegated job once the delegation is stored. */
  void AnswerDelegated(const ReplyId& reply, const JobId& job);
  void DropExpiredDelegations();

  // Accepted jobs that go to another cell (pool_engine_hand_over.cc).
  /** A job that is being handed over; it has no runs and gets none here. */
  struct Leaving {
    std::vector<StoredRecord> records;
    /** When it was last offered. */
    Time offered_at;
    /** Cancel requests that the other cell is to carry out. */
    std::vector<ReplyId> cancels;
  };
  /** Returns whether a run of the job may be present at a worker, or arrive
   * there. */
  bool HasRuns(const Job& job) const;
  /** Begins to hand over jobs that have no runs and have waited for some time
   * for workers that this cell does not have. */
  void HandOverMisplacedJobs();
  /** Returns the cell that should get a job whose tasks have found no worker
   * for the time `lacking`; empty to keep it. */
  std::optional<ShardId> CellForHandOver(const Job& job, Duration lacking);
  void BeginHandOver(Job& job, ShardId cell);
  /** Stops all decisions on the job. */
  void Freeze(const Job& job);
  /** Sends the jobs that are being handed over, again if needed. */
  void OfferLeavingJobs();
  /** Notes which job the engine works on from now on; none by default. */
  void NoteSubject(const JobId& job = JobId(),
                   int occurrence = -1,
                   int step = -1);
  /** Ends occurrences, or the job, if all that it takes is stored and only the
   * end itself is missing. An owner for which the job was set aside has noted
   * ends of runs only. */
  void EndWhatIsDone(Job& job);
  /** Begins to decide on a job that was read from records. */
  void AdoptJob(Job& job);

  // Jobs (pool_engine.cc).
  /** Stores an unknown job as cancelled, so that a submission of it that is
   * still in transit is refused. */
  void AddTombstone(const JobId& id);
  Job MakeJob(const SubmitRequested& event) const;
  /** Returns the size of the job's acceptance record, or an upper bound that is
   * within the store's limit. */
  std::size_t AcceptanceSize(const Job& job) const;
  /** Creates the occurrences of the job that are due. */
  void BeginDueOccurrences(Job& job);
  /** Ends the job and stops its runs. */
  void EndJob(Job& job, JobEnd end, const std::string& why);
  /** Forgets a job and deletes its records. */
  void DropJob(std::map<JobId, Job>::iterator job);
  /** Deletes ended jobs after their retention time. */
  void DropExpiredJobs();
  /** Returns whether tasks of the job are placed by this owner. */
  bool PlacesTasks(const Job& job) const;
  /** Adds the steps of the occurrence that have tasks to place to `ready_`. */
  void AddReadySteps(Job& job, int occurrence);
  /** Adds the step to `ready_` if it has tasks to place. */
  void AddIfReady(Job& job, int number, Occurrence& occurrence, int step);
  /** Returns the entry of the step in `ready_`, with its sort keys. */
  static ReadyStep ReadyKey(const Job& job,
                            int number,
                            const Occurrence& occurrence,
                            int step);
  static ReadyStep ReadyKey(const Job& job, int number, int step);
  /** Returns whether the step waits for workers: all steps before it are done
   * and it has waiting tasks. */
  static bool HasTasksToPlace(const Occurrence& occurrence, int step);
  /** Returns why an entry of `ready_` should not be there; empty if it should.
   */
  std::string FaultOfReadyStep(const ServiceId& service,
                               const ReadyStep& ready) const;
  /** Returns the finite tasks whose `held_back` contradicts the workers'
   * late starts. */
  std::vector<TaskId> TasksWronglyHeldBack(const Job& job,
                                           int occurrence) const;
  /** Sends the staged changes to the store, unless a commit is in flight or the
   * last one was sent too recently. */
  void FlushCommit();
  /** Refuses new jobs of which the store has rejected a record for good, and
   * ends others; such a record would be rejected again. */
  void RefuseRejected(const std::vector<std::string>& keys);
  /** Makes the changes of the stored commit take effect: answers callers, sends
   * starts and lets run ends be acknowledged. */
  void PublishStored();

  // Workers (pool_engine_workers.cc).
  /** Returns the worker; adds it as unlisted if it is unknown. */
  Worker& WorkerFor(const WorkerId& id);
  /** Applies a worker's answer to a poll to the worker and its runs. */
  void ApplyReport(Worker& worker, const PollFinished& event);
  /** Ends a run that the worker reports as ended, once per run end. */
  void ApplyEnded(Worker& worker, const EndedRun& reported);
  /** Updates a run from its progress report; stops it if it should not run on
   * the worker. */
  void ApplyRunning(Worker& worker, const ActiveRun& reported);
  /** Throttles background runs if serving tasks of the worker are too slow. */
  void ThrottleBackgroundRuns(Worker& worker, const WorkerReport& report);
  /** Handles the runs of the worker that are neither at work nor among its
   * ends, according to a report with all ends. */
  void ApplyAbsent(Worker& worker, const std::set<TaskId>& present);

  // Workers whose hosts may run newer ones (pool_engine_rivals.cc).
  /** Updates the rivals of all workers from the list. */
  void NoteRivals();
  /** Replaces the rivals of the worker; a new one makes it contested. */
  void SetRivals(Worker& worker, std::map<WorkerId, std::int64_t> rivals);
  /** Notes whether the worker is silent; an answer refutes its rivals. */
  void NotePollResult(Worker& worker, OrderResult result);
  /** Returns whether a rival has answered with the start that is listed. */
  bool HasAnsweredRival(const Worker& worker) const;
  /** Ends the runs of silent workers of which a rival has answered. */
  void ReplaceSuperseded();

  void MaybePollWorkers();
  /** Sends a poll if one is due. */
  void MaybePollWorker(Worker& worker);
  /** Loses the runs of unreachable workers whose leases have expired. */
  void ExpireLeases();
  /** Returns whether runs of former owners may be present at the worker, which
   * has not answered this owner. */
  static bool AwaitsFormerLeases(const Worker& worker);
  /** Stores how long the leases of former owners may still run, so that the
   * next owner does not begin to wait anew. */
  void StoreLeaseWaits();
  /** Deletes the record of the wait at the worker. */
  void EndLeaseWait(Worker& worker);
  /** Returns whether all runs of the current incarnation of the worker have
   * ended, even if it is alive. */
  bool LeaseHasExpired(const Worker& worker) const;
  /** Returns the longest time for which a worker may keep a lease. */
  Duration LongestLease() const;
  /** Returns whether the run may be at work although its lease on the clock of
   * the known incarnation has ended: at one that has not answered yet, or under
   * a lease that was meant for a former one. */
  bool MayOutlastLease(const Worker& worker,
                       const TaskId& id,
                       const StepSpec& spec) const;
  /** Notes that the worker may keep all runs that a later incarnation has until
   * the longest lease from `arrives_by` on has ended. */
  static void NoteUnseenGrant(Worker& worker, Time arrives_by);
  /** Uses the answer to a start to find out which incarnation has the run. */
  void SettleStart(Worker& worker,
                   const Task& task,
                   const StartFinished& event);
  /** Returns what is known of the worker's leases and of the list of workers,
   * for the log. */
  std::string LeaseFields(const Worker& worker) const;
  /** Returns log fields: for which incarnation the run was ordered, which ones
   * have answered and are listed, and what was last sent. */
  std::string IncarnationFields(const Worker& worker, const Task& task) const;
  /** Returns the free room of the service without that of long-running tasks
   * which wait or are being stopped. */
  Placement PlacementForMoves(const ServiceId& service) const;
  /** Stops long-running tasks on draining workers, and on reserved ones if
   * another worker can take them. */
  void EvacuateWorkers();
  /** Returns whether the availability budget of the step allows stopping the
   * task now. */
  bool MayStopLongRunning(Job& job, const TaskId& id) const;
  /** Returns whether the worker may be about to stop the run on an order of a
   * former owner. */
  bool MayBeStoppedByFormerOwner(const Task& task) const;
  /** Returns whether a worker could take a task of the step now. */
  bool CanPlace(const Job& job, const StepId& id) const;
  /** Sends stops again that were not answered in time, and those that were put
   * off. */
  void RetryStops();
  /** Puts off the stop of the task's run, so that one event does not send too
   * many. */
  void StopLater(Task& task);
  /** Sends a stop for the run of the task. */
  void OrderStop(const TaskId& id, Task& task);

  // Starts that a later incarnation may carry out
  // (pool_engine_late_starts.cc).
  /** Remembers that the start of a run that was given up may still arrive. */
  void KeepLateStart(Worker& worker,
                     const TaskId& id,
                     RunNumber run,
                     Time arrives_by,
                     bool maybe_unsent);
  /** Forgets a start that can no longer take effect. */
  void ForgetLateStart(Worker& worker, TaskId id, const char* why);
  /** Returns whether starts of the task that were sent may still take effect
   * somewhere. */
  bool IsHeldBack(const TaskId& id) const;
  /** Returns whether tasks are held back by starts to the worker. */
  bool HoldsTasksBack(const Worker& worker) const;
  /** Forgets starts that can no longer arrive and have not been carried out,
   * according to a report with all runs of the worker. */
  void SettleLateStarts(Worker& worker, const WorkerReport& report);
  /** Gives up a run whose start got no answer. */
  void GiveUpStart(Worker& worker,
                   const Job& job,
                   const TaskId& id,
                   Task& task);
  /** Forgets the starts that can no longer take effect whatever the worker
   * does, also in the store. */
  void ForgetLateStarts(Worker& worker);
  /** Ends a task that is held back if its late start was carried out and the
   * run is done; otherwise returns false. */
  bool ApplyLateEnd(Worker& worker,
                    Job& job,
                    const EndedRun& reported,
                    Task& task);
  /** Returns the starts to the worker that may still take effect, with the time
   * that is left until they can no longer arrive. */
  std::vector<UnansweredStart> UnansweredStarts(const Worker& worker) const;
  /** Takes over the starts without an answer of former owners. */
  void AdoptUnansweredStarts(const WorkerId& id,
                             const std::vector<UnansweredStart>& starts);
  /** Treats starts of former owners that may still be under way as starts
   * without an answer. */
  void DoubtUnsettledPlacements(PlacementNumber settled);
  /** Returns the highest placement up to `last` that is settled with all before
   * it. */
  PlacementNumber SettledPlacements(PlacementNumber last) const;
  /** Stores which placements are settled if no other commit has done so for
   * some time. */
  void StoreSettledPlacements();
  /** Notes that a new incarnation knows of no stop that the former one has
   * answered. */
  static void ReadmitLateStarts(Worker& worker);
  /** Sends stops of the runs whose starts the present incarnation may carry
   * out, so that it refuses them. */
  void ExcludeLateStarts(Worker& worker);

  // Runs that are lost with their worker (pool_engine_crashes.cc).
  /** What is known of a worker whose runs are lost. */
  enum class WorkerFate {
    kCrashed,
    /** It may only be cut off. */
    kUnknown,
  };
  /** Resets the state of a worker that has restarted. */
  void BeginNewIncarnation(Worker& worker, const WorkerReport& report);
  /** Treats the runs of the worker, but those that a later incarnation may
   * have, as ended without a result; their tasks wait to be placed again. */
  void LoseRuns(Worker& worker, const std::string& why, WorkerFate fate);
  /** Stores the placements that awaited an answer of the worker. */
  void StoreAwaitingPlacements(Worker& worker);
  /** Undoes the placements that await an answer of the worker. */
  void UndoAwaitingPlacements(Worker& worker);
  /** Makes a placed task wait again, and its gang, if that is not started. */
  void UndoPlacement(Job& job, const TaskId& id, Task& task);
  /** Counts a crash of the worker under the newest run of the task, once. */
  void RecordCrash(const TaskId& id, Task& task);
  /** Returns whether the task is not placed until it is known whether the
   * workers of its last runs have crashed, since its job may have failed. */
  bool AwaitsFateOfWorkers(const Task& task) const {
    return task.unexplained_losses > 0 &&
           task.Suspicion() >= tuning_.max_crashes &&
           now_ - task.waiting_since < kMaxTrialWait;
  }
  /** Ends the job as failed if too many workers have crashed under the task. */
  bool FailsForCrashes(Job& job, const TaskId& id, const Task& task);
  /** Counts the crashes under runs that were lost before their worker was known
   * to have crashed. */
  void CountLateCrashes(const std::vector<WorkerEntry>& workers);
  /** Clears the tasks of the suspicion that these runs have brought. */
  void ForgetLosses(const std::vector<LostRuns::Run>& runs);
  /** Forgets the crashes under a long-running task that has been at work for
   * long enough. */
  void ClearSuspicion(const Job& job,
                      const ActiveRun& reported,
                      Worker& worker,
                      Task& task);

  // Reasons why tasks wait (pool_engine_waits.cc).
  /** Writes a line on each step that has waited for long, at intervals. */
  void LogWaits();
  /** Returns why the waiting tasks of the step are not placed, for the log. */
  std::string WaitReason(const Placement& placement,
                         const ReadyStep& ready) const;

  // Tasks (pool_engine_tasks.cc).
  /** Frees the resources of the task's run on its worker. */
  void ReleaseResources(const TaskId& id, const Task& task);
  /** Ends the run of the task; the task then is done, is placed again or fails
   * its job. */
  void EndRun(Job& job,
              const TaskId& id,
              Task& task,
              EndKind kind,
              const std::string& checkpoint);
  /** Makes the task wait for its next placement. */
  void ReturnToWaiting(Job& job, const TaskId& id, Task& task);
  /** Marks the task as done, and ends its occurrence and job if it was the last
   * one. */
  void FinishTask(Job& job, const TaskId& id, Task& task);
  /** Places waiting tasks of all services. */
  void Schedule();
  /** Returns the lateness class: 0 for steps that can be in time, 1 for late
   * ones, 2 for those deferred or too late to have any utility. */
  int LatenessOf(const ReadyStep& ready, Time now) const;
  static int LatenessOf(const Job& job,
                        const Occurrence& occurrence,
                        int step,
                        Time now);
  /** Places waiting tasks of the service's steps by lateness class, until too
   * many steps found no worker. Leaves out the steps that lack a host, or, with
   * `only_lacking`, all others; `lacking` is null if none is known to. */
  void PlaceSteps(const ServiceId& service,
                  Placement& placement,
                  const std::set<StepId>* lacking,
                  bool only_lacking);
  /** Returns the first step from `at` on that may have the lateness class,
   * which that at `at` does not have. */
  std::set<ReadyStep>::const_iterator SkipLateness(
      const std::set<ReadyStep>& steps,
      std::set<ReadyStep>::const_iterator at,
      int lateness) const;
  /** Returns whether no further tasks are placed until starts are answered. */
  bool HasStartsToSend() const;
  /** Places waiting tasks of the step; returns false if one found no worker.
   * `allowance` is the number of cores that they may take, and is lowered by
   * those taken. */
  bool PlaceStep(const ServiceId& service,
                 Placement& placement,
                 const ReadyStep& ready,
                 double& allowance);
  /** Holds room for the waiting tasks of a long-running step. Finite tasks
   * would otherwise take each part of it as it becomes free. */
  void HoldRoom(Placement& placement, const ReadyStep& ready) const;
  /** Returns the condition that the advice service has given a ticket for the
   * worker; empty if the job needs none. */
  Placement::Filter AdvisedOnly(const Job& job, const StepId& step) const;
  /** Requests advice on workers with free capacity for the step. */
  void RequestAdvice(const Placement& placement,
                     const Job& job,
                     const ReadyStep& ready);
  /** Places all tasks of a gang or none; returns whether it placed them. */
  bool PlaceGang(const Placement& placement, Job& job, const ReadyStep& ready);
  /** Assigns the task to the worker; its start is sent once that is stored.
   * With `await_poll`, the worker must answer a poll before that. */
  void Place(Job& job,
             const TaskId& id,
             Task& task,
             const WorkerId& worker,
             bool await_poll);
  /** Sends the start of a stored placement; undoes the placement if the worker
   * can no longer take the run. */
  void SendStart(const TaskId& id, RunNumber run);

  /** Writes a decision to the log. */
  void Log(const std::string& decision, const JobId& job, std::string fields);
  /** Same as Log(), for a decision on one run. */
  void LogRun(const std::string& decision,
              const TaskId& task,
              std::string fields);

  const ShardId shard_;
  const PoolTuning tuning_;
  bool loaded_ = false;
  std::shared_ptr<const PolicySet> policies_;
  /** Null until the first one is known; then no worker belongs to the shard. */
  std::shared_ptr<const PoolDivision> division_;
  std::map<JobId, Job> jobs_;
  Workers workers_;
  /** The platform's list of all workers, also of other cells and pools. */
  std::shared_ptr<const WorkerList> listed_ =
      std::make_shared<const WorkerList>();
  /** When that list was read from the store. */
  Time list_read_at_;
  ReadySteps ready_;
  /** Open jobs with further occurrences to create. */
  std::set<JobId> scheduled_jobs_;
  /** Ended jobs by the wall clock of their end. */
  std::set<std::pair<std::int64_t, JobId>> ended_;
  AdviceCache advice_;
  BackgroundThrottle throttle_;
  LostRuns lost_runs_;
  DurationModel durations_;
  Admission admission_;

  /** Changes for the next commit. */
  StagedChanges staged_;
  /** Changes of the commit that awaits the store. */
  std::optional<StagedChanges> in_flight_;
  /** Number of the last placement that was sent to the store. */
  PlacementNumber last_placement_;
  /** Highest one that is settled with all before it, as last sent to the store.
   */
  PlacementNumber stored_settled_;
  /** Id of the last commit sent to the store. */
  CommitId commit_;
  Time commit_sent_at_;
  /** Moving average of the duration of a commit. */
  Duration commit_time_{0};
  /** A WakeUp for the next commit was requested. */
  bool wake_requested_ = false;
  /** Last sweep over all workers and jobs for expired leases, evacuations,
   * unanswered stops and expired jobs. */
  Time swept_at_;
  /** Starts that were sent and are not answered. */
  std::size_t starts_in_flight_ = 0;
  /** Stops may be due that were put off. */
  bool stops_left_ = false;
  /** Schedule() is to run after the current event. */
  bool schedule_needed_ = false;
  DemandTracker demand_;
  OwnerLoad load_;
  /** Result of CoresForLateWork, cached by service, since a pass over all runs
   * costs as much as placing dozens of tasks. */
  struct LateWorkCores {
    Time at;
    double cores = 0;
  };
  std::map<ServiceId, LateWorkCores> late_work_cores_;
  /** Result of StepsLackingHosts, cached by service for the same reason. */
  struct LackingHosts {
    Time at;
    std::set<StepId> steps;
  };
  std::map<ServiceId, LackingHosts> lacking_hosts_;
  /** When the last line on the wait of a step was written. */
  std::map<StepId, Time> waits_logged_;
  /** Jobs that other cells decide on, and their ids by time of the decision. */
  std::map<JobId, Delegation> delegated_;
  std::set<std::pair<std::int64_t, JobId>> delegated_at_;
  /** Jobs that are being handed over; `delegated_` has the cells. */
  std::map<JobId, Leaving> leaving_;
  /** Since when no worker of the cell could take a task of the job. */
  std::map<JobId, Time> lacking_since_;
  /** How often owners have failed at a job. */
  std::map<JobId, int> job_failures_;
  Subject subject_;
  HostPlan plan_;
  /** Highest fencing token of a planner that has sent a plan. */
  FenceToken planner_;
  /** When `plan_` was received. */
  Time planned_at_;
  /** Number of polls sent, which is the sequence number of the last one. */
  std::uint64_t polls_ = 0;
  std::uint64_t violations_ = 0;
  Time loaded_at_;

  /** The report being applied was sent as soon as its runs ended. */
  bool prompt_report_ = false;

  // Time and effects of the event that is being applied.
  Time now_;
  std::int64_t wall_ms_ = 0;
  PoolEffects effects_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_POOL_ENGINE_H_
