#ifndef SRC_LIBWIRE_WIRE_H_
#define SRC_LIBWIRE_WIRE_H_

// Public header of libwire: text and binary forms of what leaves a process.

#include <string>
#include <string_view>

#include "libdecision/decision.h"

namespace baobab {

/** A log record as one JSON object. */
std::string EncodeRecord(const Record& record);

/** Never fails: what cannot be decoded has an UnknownRecord body. */
Record DecodeRecord(std::string_view text);

/** A peer message as a MessagePack array. */
std::string EncodePeer(const PeerEnvelope& envelope);

/** Errors: not MessagePack, wrong shape, or another protocol version. */
Result<PeerEnvelope> DecodePeer(std::string_view data);

/** Decodes the answer of the host list's GET /hosts; skips entries of unknown
 * kind. */
Result<HostList> DecodeHostList(std::string_view text);

/** Decodes the answer of the log service's GET /read. */
Result<LogRead> DecodeLogRead(std::string_view text);

/** An edit as the operators' command sends it to a node's control port. */
std::string EncodeEdit(const TableEdit& edit);
Result<TableEdit> DecodeEdit(std::string_view text);

/** A reply of the control port as JSON; TableReply holds the CSV text. */
std::string EncodeReply(const CommandReply& reply);
Result<CommandReply> DecodeReply(std::string_view text);

/** Header and JSON names: "done", "not-run", "unknown"; "over-limit", ... */
std::string_view ToString(Outcome outcome);
std::string_view ToString(Reason reason);

}  // namespace baobab

#endif  // SRC_LIBWIRE_WIRE_H_
