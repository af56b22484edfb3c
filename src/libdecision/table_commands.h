#ifndef SRC_LIBDECISION_TABLE_COMMANDS_H_
#define SRC_LIBDECISION_TABLE_COMMANDS_H_

#include <map>
#include <optional>
#include <vector>

#include "libdecision/event.h"
#include "libdecision/log_fold.h"
#include "libdecision/log_writer.h"
#include "libdecision/membership.h"

namespace baobab {

/** An edit is answered at the latest after this time. */
inline constexpr Duration kEditAnswerTimeout = std::chrono::seconds(14);

/** Answers operators' commands about the table. */
class TableCommands {
 public:
  /** Checks an edit and queues it, or answers at once. */
  void OnEdit(const EditSubmitted& submitted,
              Time now,
              std::int64_t wall_ms,
              const LogFold& fold,
              LogWriter& writer,
              Effects& effects);

  void OnTable(const TableRequested& requested,
               const LogFold& fold,
               Effects& effects) const;

  void OnHistory(const HistoryRequested& requested,
                 const LogFold& fold,
                 Effects& effects) const;

  /** Answers edits that were decided, are in force, or took 14 s. */
  void Tick(Time now,
            const LogFold& fold,
            const Membership& membership,
            LogWriter& writer,
            Effects& effects);

  std::size_t waiting() const { return waiting_.size(); }

 private:
  struct WaitingEdit {
    CommandId command;
    TableEdit edit;
    Time deadline;
    /** Own record of the edit; empty if it was already decided or another
     * command of this node sent it. */
    std::optional<RecordSequence> sequence;
  };

  /** The answer to a waiting edit, or none if it has to wait on. */
  std::optional<EditReply> TryAnswer(const WaitingEdit& waiting,
                                     Time now,
                                     const LogFold& fold,
                                     const Membership& membership,
                                     LogWriter& writer);
  std::optional<EditReply> TryAnswerUndecided(const WaitingEdit& waiting,
                                              Time now,
                                              const LogFold& fold,
                                              LogWriter& writer);

  std::vector<WaitingEdit> waiting_;
  /** Edits answered kUnknown whose records may still come into the log. One
   * ends when a record of this process from it on is read. */
  std::map<EditId, RecordSequence> unresolved_;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_TABLE_COMMANDS_H_
