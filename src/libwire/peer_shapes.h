#ifndef SRC_LIBWIRE_PEER_SHAPES_H_
#define SRC_LIBWIRE_PEER_SHAPES_H_

#include "libdecision/decision.h"
#include "libwire/shape.h"

namespace baobab {

// kTag identifies a message type across releases: never reuse or renumber a
// tag.

template <>
struct EnumNames<ResourceKind> {
  static constexpr std::array<std::string_view, 3> kNames = {
      "minion-slots", "queue-limit", "team-quota"};
};

template <>
struct EnumNames<KeyState> {
  static constexpr std::array<std::string_view, 4> kNames = {
      "granted", "in-progress", "finished", "unknown-key"};
};

template <>
struct Shape<ResourceId> {
  static constexpr auto kFields =
      std::make_tuple(Field{"kind", &ResourceId::kind},
                      Field{"name", &ResourceId::name});
};

template <>
struct Shape<ResourceUnits> {
  static constexpr auto kFields =
      std::make_tuple(Field{"resource", &ResourceUnits::resource},
                      Field{"units", &ResourceUnits::units});

  static bool IsValid(const ResourceUnits& it) { return it.units >= Units(0); }
};

template <>
struct Shape<ServiceLoad> {
  static constexpr auto kFields =
      std::make_tuple(Field{"service", &ServiceLoad::service},
                      Field{"spare", &ServiceLoad::spare},
                      Field{"wanted", &ServiceLoad::wanted});
};

template <>
struct Shape<Heartbeat> {
  static constexpr std::uint32_t kTag = 0;
  static constexpr auto kFields =
      std::make_tuple(Field{"data_centre", &Heartbeat::data_centre},
                      Field{"view", &Heartbeat::view},
                      Field{"released_view", &Heartbeat::released_view},
                      Field{"next_offset", &Heartbeat::next_offset},
                      Field{"version", &Heartbeat::version},
                      Field{"stopping", &Heartbeat::stopping},
                      Field{"hears", &Heartbeat::hears},
                      Field{"loads", &Heartbeat::loads},
                      Field{"leaving", &Heartbeat::leaving});
};

template <>
struct Shape<BorrowRequest> {
  static constexpr std::uint32_t kTag = 1;
  static constexpr auto kFields =
      std::make_tuple(Field{"id", &BorrowRequest::id},
                      Field{"queue", &BorrowRequest::queue},
                      Field{"slots", &BorrowRequest::slots},
                      Field{"limit_units", &BorrowRequest::limit_units},
                      Field{"quota_units", &BorrowRequest::quota_units},
                      Field{"deadline_in", &BorrowRequest::deadline_in});

  static bool IsValid(const BorrowRequest& it) {
    return it.slots >= Units(0) && it.limit_units >= Units(0) &&
           it.quota_units >= Units(0);
  }
};

template <>
struct Shape<LoanGrant> {
  static constexpr std::uint32_t kTag = 2;
  static constexpr auto kFields =
      std::make_tuple(Field{"borrow", &LoanGrant::borrow},
                      Field{"loan", &LoanGrant::loan},
                      Field{"queue", &LoanGrant::queue},
                      Field{"units", &LoanGrant::units},
                      Field{"term", &LoanGrant::term});
};

template <>
struct Shape<LoanReturn> {
  static constexpr std::uint32_t kTag = 3;
  static constexpr auto kFields =
      std::make_tuple(Field{"loan", &LoanReturn::loan},
                      Field{"units", &LoanReturn::units});
};

template <>
struct Shape<KeyClaim> {
  static constexpr std::uint32_t kTag = 4;
  static constexpr auto kFields =
      std::make_tuple(Field{"request", &KeyClaim::request},
                      Field{"key_number", &KeyClaim::key_number},
                      Field{"issuer", &KeyClaim::issuer_incarnation});
};

template <>
struct Shape<StoredAnswer> {
  static constexpr auto kFields =
      std::make_tuple(Field{"status", &StoredAnswer::status},
                      Field{"content_type", &StoredAnswer::content_type, true},
                      Field{"body", &StoredAnswer::body, true});

  static bool IsValid(const StoredAnswer& it) {
    return it.status >= 0 && it.status <= 999;
  }
};

template <>
struct Shape<KeyClaimReply> {
  static constexpr std::uint32_t kTag = 5;
  static constexpr auto kFields =
      std::make_tuple(Field{"request", &KeyClaimReply::request},
                      Field{"key_number", &KeyClaimReply::key_number},
                      Field{"state", &KeyClaimReply::state},
                      Field{"outcome", &KeyClaimReply::outcome},
                      Field{"answer", &KeyClaimReply::answer});
};

template <>
struct Shape<KeyOutcome> {
  static constexpr std::uint32_t kTag = 6;
  static constexpr auto kFields =
      std::make_tuple(Field{"key_number", &KeyOutcome::key_number},
                      Field{"issuer", &KeyOutcome::issuer_incarnation},
                      Field{"outcome", &KeyOutcome::outcome},
                      Field{"answer", &KeyOutcome::answer},
                      Field{"request", &KeyOutcome::request});
};

template <>
struct Shape<MinionNotice> {
  static constexpr std::uint32_t kTag = 7;
  static constexpr auto kFields =
      std::make_tuple(Field{"minion", &MinionNotice::minion},
                      Field{"leaving", &MinionNotice::leaving},
                      Field{"healthy", &MinionNotice::healthy});
};

template <>
struct Shape<StateRequest> {
  static constexpr std::uint32_t kTag = 8;
  static constexpr auto kFields = std::make_tuple();
};

template <>
struct Shape<StateReply> {
  static constexpr std::uint32_t kTag = 9;
  static constexpr auto kFields =
      std::make_tuple(Field{"covers", &StateReply::covers},
                      Field{"text", &StateReply::text, true});
};

}  // namespace baobab

#endif  // SRC_LIBWIRE_PEER_SHAPES_H_
