#ifndef SRC_LIBSETTINGS_INI_FILE_H_
#define SRC_LIBSETTINGS_INI_FILE_H_

#include <optional>
#include <string>
#include <vector>

#include "libsettings/settings.h"

namespace baobab {

/** A `key = value` line. */
struct IniEntry {
  std::string section;
  std::string key;
  std::string value;
  /** 1-based. */
  int line = 0;
};

/** A `[section]` line. */
struct IniSection {
  std::string name;
  /** 1-based. */
  int line = 0;
};

/** The lines of an INI file in their order, without any meaning. */
struct IniFile {
  std::vector<IniSection> sections;
  std::vector<IniEntry> entries;
  /** Lines that are neither a section, a comment nor `key = value`. */
  std::vector<SettingFault> faults;
};

/** Reads a file; empty if it cannot be read. */
std::optional<IniFile> ReadIniFile(const std::string& path);

}  // namespace baobab

#endif  // SRC_LIBSETTINGS_INI_FILE_H_
