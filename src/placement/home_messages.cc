#include "placement/home_messages.h"

#include <QCborArray>
#include <utility>

#include "base/error_kind.h"

namespace anvilridge {
namespace {

using field = home_field;

// Most releases in one message. More indicate a fault of the sender.
constexpr qsizetype kMaxAttachedReleases = 1000;

}  // namespace

QCborMap ToCbor(const reserve_decode_message& message, key_form form) {
  field_writer fields(form);
  fields.Put(field::engine, message.engine)
      .PutId(message.request.request_id)
      .Put(field::owner, message.request.owner)
      .Put(field::pieces, message.request.pieces)
      .Put(field::needed, message.request.needed_in)
      .Put(field::use, message.request.expected_use)
      .Put(field::wait, message.request.max_queue_wait);
  if (!message.request.team.empty()) {
    fields.Put(field::team, message.request.team);
  }
  return fields.Message();
}

// Omits the link fields inside a failure domain, to save bytes.
QCborMap ToCbor(const reserve_prefill_message& message, key_form form) {
  field_writer fields(form);
  fields.Put(field::engine, message.engine)
      .PutId(message.request.request_id)
      .Put(field::owner, message.request.owner)
      .Put(field::tokens, message.request.tokens)
      .Put(field::wait, message.request.longest_wait);
  if (message.request.to_domain.empty()) return fields.Message();
  return fields.Put(field::to, message.request.to_domain)
      .Put(field::pieces, message.request.pieces)
      .Message();
}

QCborMap ToCbor(const release_message& message, key_form form) {
  return field_writer(form)
      .Put(field::engine, message.engine)
      .PutId(message.request_id)
      .Put(field::tokens, message.prefill_tokens)
      .Put(field::time, message.prefill_time)
      .Put(field::finished, message.finished)
      .Message();
}

QCborMap ToCbor(const reserve_decode_reply& reply, key_form form) {
  return field_writer(form)
      .Put(field::granted, reply.granted)
      .Put(field::slots, reply.free_slots)
      .Put(field::pieces, reply.free_pieces)
      .Put(field::free_in, reply.free_in)
      .Message();
}

QCborMap ToCbor(const reserve_prefill_reply& reply, key_form form) {
  field_writer fields(form);
  fields.Put(field::granted, reply.granted)
      .Put(field::wait, reply.wait)
      .Put(field::work, reply.work);
  if (reply.link_full) fields.Put(field::link_full, true);
  return fields.Message();
}

void AttachReleases(absl::Span<const release_message> releases,
                    QCborMap& message) {
  if (releases.empty()) return;
  QCborArray array;
  for (const release_message& release : releases) {
    array.append(ToCbor(release, key_form::numbers));
  }
  message[static_cast<qint64>(field::releases)] = array;
}

absl::StatusOr<std::vector<release_message>> ParseAttachedReleases(
    const QCborMap& map) {
  const QCborArray array =
      map.value(static_cast<qint64>(field::releases)).toArray();
  if (array.size() > kMaxAttachedReleases) {
    return MakeError(error_kind::malformed_request,
                     "too many releases attached to a peer message");
  }
  std::vector<release_message> releases;
  for (const QCborValue entry : array) {
    auto release = ParseRelease(entry.toMap());
    if (!release.ok()) return release.status();
    releases.push_back(*std::move(release));
  }
  return releases;
}

absl::StatusOr<reserve_decode_message> ParseReserveDecode(const QCborMap& map) {
  field_reader fields(map);
  reserve_decode_message message;
  message.engine = fields.Text(field::engine);
  message.request.request_id = fields.Id();
  message.request.owner = fields.Text(field::owner);
  message.request.pieces = fields.Count(field::pieces);
  message.request.needed_in = fields.Time(field::needed);
  message.request.expected_use = fields.Time(field::use);
  message.request.max_queue_wait = fields.Time(field::wait);
  // Daemons of the previous version don't send a team.
  if (fields.Has(field::team)) message.request.team = fields.Text(field::team);
  return fields.Finish(std::move(message));
}

absl::StatusOr<reserve_prefill_message> ParseReservePrefill(
    const QCborMap& map) {
  field_reader fields(map);
  reserve_prefill_message message;
  message.engine = fields.Text(field::engine);
  message.request.request_id = fields.Id();
  message.request.owner = fields.Text(field::owner);
  message.request.tokens = fields.Count(field::tokens);
  message.request.longest_wait = fields.Time(field::wait);
  const bool linked = fields.Has(field::to) || fields.Has(field::pieces);
  if (!linked) return fields.Finish(std::move(message));
  message.request.to_domain = fields.Text(field::to);
  message.request.pieces = fields.Count(field::pieces);
  return fields.Finish(std::move(message));
}

absl::StatusOr<release_message> ParseRelease(const QCborMap& map) {
  field_reader fields(map);
  release_message message;
  message.engine = fields.Text(field::engine);
  message.request_id = fields.Id();
  message.prefill_tokens = fields.Count(field::tokens);
  message.prefill_time = fields.Time(field::time);
  message.finished = fields.Flag(field::finished);
  return fields.Finish(std::move(message));
}

absl::StatusOr<reserve_decode_reply> ParseReserveDecodeReply(
    const QCborMap& map) {
  field_reader fields(map);
  reserve_decode_reply reply;
  reply.granted = fields.Flag(field::granted);
  reply.free_slots = fields.Count(field::slots);
  reply.free_pieces = fields.Count(field::pieces);
  reply.free_in = fields.Time(field::free_in);
  return fields.Finish(reply);
}

absl::StatusOr<reserve_prefill_reply> ParseReservePrefillReply(
    const QCborMap& map) {
  field_reader fields(map);
  reserve_prefill_reply reply;
  reply.granted = fields.Flag(field::granted);
  reply.wait = fields.Time(field::wait);
  reply.work = fields.Time(field::work);
  if (fields.Has(field::link_full)) {
    reply.link_full = fields.Flag(field::link_full);
  }
  return fields.Finish(reply);
}

}  // namespace anvilridge
