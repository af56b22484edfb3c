#include "libdecision/log_reading.h"

#include <algorithm>

namespace baobab {

void LogReading::OnRead(const LogRead& read,
                        LogFold& fold,
                        const OnFolded& on_folded) {
  fold.NoteLogRange(read.first, read.next);
  // If retention dropped records, LogFold waits for a snapshot.
  next_ = std::max(next_, read.first);
  for (const LogEntry& it : read.entries) {
    if (it.offset != next_) {
      continue;
    }
    next_ = Offset(it.offset.value() + 1);
    on_folded(it, fold.Apply(it));
  }
  OnAdopted(fold);
}

void LogReading::OnAdopted(const LogFold& fold) {
  if (fold.waits_for_snapshot()) {
    next_ = std::max(next_, fold.next_offset());
  } else {
    next_ = fold.next_offset();
  }
}

}  // namespace baobab
