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

/** Time after which an edit is answered even if its result is not known. */
inline constexpr Duration kEditAnswerTimeout = std::chrono::seconds(14);

/** Handles the commands of operators that read or edit the table. */
class TableCommands {
 public:
  /** Appends the edit to the log, or answers at once if it is refused. */
  void OnEdit(const EditSubmitted& submitted,
              Time now,
              std::int64_t wall_ms,
              const LogFold& fold,
              LogWriter& writer,
              Effects& effects);

  /** Answers with the current table. */
  void OnTable(const TableRequested& requested,
               const LogFold& fold,
               Effects& effects) const;

  /** Answers with the accepted edits. */
  void OnHistory(const HistoryRequested& requested,
                 const LogFold& fold,
                 Effects& effects) const;

  /** Answers edits that were rejected, are in force, or have waited for
   * kEditAnswerTimeout. */
  void Tick(Time now,
            const LogFold& fold,
            const Membership& membership,
            LogWriter& writer,
            Effects& effects);

  /** Number of edits without an answer. */
  std::size_t waiting() const { return waiting_.size(); }

 private:
  /** An edit without an answer. */
  struct WaitingEdit {
    CommandId command;
    TableEdit edit;
    Time deadline;
    /** Record of this node with the edit; empty if the edit was already decided
     * when it was submitted. */
    std::optional<RecordSequence> sequence;
  };

  /** Returns the answer to an edit; none if it has to wait longer. */
  std::optional<EditReply> TryAnswer(const WaitingEdit& waiting,
                                     Time now,
                                     const LogFold& fold,
                                     const Membership& membership,
                                     LogWriter& writer);
  /** Does the same for an edit that was not read back from the log yet. */
  std::optional<EditReply> TryAnswerUndecided(const WaitingEdit& waiting,
                                              Time now,
                                              const LogFold& fold,
                                              LogWriter& writer);

  std::vector<WaitingEdit> waiting_;
  /** Edits answered kUnknown whose record may still reach the log. Removed when
   * this or a later record of this process is read back. */
  std::map<EditId, RecordSequence> unresolved_;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_TABLE_COMMANDS_H_
