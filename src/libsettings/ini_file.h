#ifndef SRC_LIBSETTINGS_INI_FILE_H_
#define SRC_LIBSETTINGS_INI_FILE_H_

#include <optional>
#include <string>
#include <vector>

#include "libsettings/settings.h"

namespace baobab {

/** A `key = value` line and the section it belongs to. */
struct IniEntry {
  std::string section;
  std::string key;
  std::string value;
  /** Line number, from 1. */
  int line = 0;
};

/** A `[section]` line. */
struct IniSection {
  std::string name;
  /** Line number, from 1. */
  int line = 0;
};

/** Contents of an INI file in file order, not interpreted. */
struct IniFile {
  std::vector<IniSection> sections;
  std::vector<IniEntry> entries;
  /** Lines that are neither a section, a comment nor `key = value`. */
  std::vector<SettingFault> faults;
};

/** Reads an INI file; empty if it cannot be read or is larger than 1 MiB. */
std::optional<IniFile> ReadIniFile(const std::string& path);

}  // namespace baobab

#endif  // SRC_LIBSETTINGS_INI_FILE_H_
