#ifndef SRC_LIBDECISION_TABLE_COMMANDS_H_
#define SRC_LIBDECISION_TABLE_COMMANDS_H_

#include <optional>
#include <vector>

#include "libdecision/event.h"
#include "libdecision/log_fold.h"
#include "libdecision/log_writer.h"
#include "libdecision/membership.h"

namespace baobab {

/** An edit is answered at the latest after this time. */
inline constexpr Duration kEditAnswer = std::chrono::seconds(14);

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
  struct Waiting {
    CommandId command;
    TableEdit edit;
    Time deadline;
    /** Own record of the edit; empty if it was already decided or another
     * command of this node sent it. */
    std::optional<RecordSequence> sequence;
  };

  /** The answer to a waiting edit, or none if it has to wait on. */
  std::optional<EditReply> Answer(Waiting& waiting,
                                  Time now,
                                  const LogFold& fold,
                                  const Membership& membership,
                                  LogWriter& writer);
  std::optional<EditReply> AnswerUndecided(const Waiting& waiting,
                                           Time now,
                                           const LogFold& fold,
                                           LogWriter& writer);

  std::vector<Waiting> waiting_;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_TABLE_COMMANDS_H_
