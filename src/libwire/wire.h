#ifndef SRC_LIBWIRE_WIRE_H_
#define SRC_LIBWIRE_WIRE_H_

// Public header of libwire: encodings of log records, peer messages, platform
// responses and operator commands.

#include <string>
#include <string_view>

#include "libdecision/decision.h"

namespace baobab {

/** Encodes a log record as one JSON object. */
std::string EncodeRecord(const Record& record);

/** Decodes a log record. Never fails: the body is an UnknownRecord if the text
 * cannot be decoded. */
Record DecodeRecord(std::string_view text);

/** Encodes a peer message as a MessagePack array. */
std::string EncodePeer(const PeerEnvelope& envelope);

/** Decodes a peer message; fails if the data is malformed or has another
 * protocol version. */
Result<PeerEnvelope> DecodePeer(std::string_view data);

/** Decodes the response of the host list to GET /hosts; skips entries of an
 * unknown kind. */
Result<HostList> DecodeHostList(std::string_view text);

/** Decodes the response of the log service to GET /read. */
Result<LogRead> DecodeLogRead(std::string_view text);

/** Encodes an edit as the operators' command sends it to a control port. */
std::string EncodeEdit(const TableEdit& edit);
Result<TableEdit> DecodeEdit(std::string_view text);

/** Encodes a reply of the control port as JSON; a TableReply holds the table as
 * CSV text. */
std::string EncodeReply(const CommandReply& reply);
Result<CommandReply> DecodeReply(std::string_view text);

/** Names in HTTP headers and JSON, such as "done" or "not-run". */
std::string_view ToString(Outcome outcome);
/** Names in HTTP headers and JSON, such as "over-limit". */
std::string_view ToString(Reason reason);

}  // namespace baobab

#endif  // SRC_LIBWIRE_WIRE_H_
