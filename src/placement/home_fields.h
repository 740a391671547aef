#ifndef ANVILRIDGE_PLACEMENT_HOME_FIELDS_H_
#define ANVILRIDGE_PLACEMENT_HOME_FIELDS_H_

#include <QCborMap>
#include <QCborValue>
#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "absl/time/time.h"

namespace anvilridge {

/// Keys of messages to and from homes. A number is never reused for another
/// field. Engine and owner have the lowest numbers because their values repeat
/// from call to call, see `peer_client::Call`.
enum class home_field : int {
  engine = 0,
  owner = 1,
  id = 2,
  pieces = 3,
  needed = 4,
  use = 5,
  wait = 6,
  tokens = 7,
  time = 8,
  finished = 9,
  granted = 10,
  slots = 11,
  free_in = 12,
  work = 13,
  releases = 14,
  to = 15,
  link_full = 16,
  team = 17,
};

/// Encoding of the keys of a message. Daemons of the first version support
/// names only. A reader accepts both, and a reply uses the encoding of its
/// request.
enum class key_form { numbers, names };

/// Returns the encoding of the keys of `message`, a request to a home.
key_form KeyFormOf(const QCborMap& message);

/// Builds one message.
class field_writer {
 public:
  explicit field_writer(key_form form) : form_(form) {}

  /// Adds `field` with the given value.
  field_writer& Put(home_field field, const QCborValue& value);
  field_writer& Put(home_field field, const std::string& text);
  /// Adds `time` in microseconds, clamped to between zero and one hour.
  field_writer& Put(home_field field, absl::Duration time);
  /// Adds a request id; under numeric keys, lower-case hexadecimal digits are
  /// packed into bytes.
  field_writer& PutId(const std::string& id);
  QCborMap Message() const { return map_; }

 private:
  key_form form_;
  QCborMap map_;
};

/// Reads the fields of one message and records the first invalid one. The value
/// returned for an invalid field is unspecified.
class field_reader {
 public:
  /// `map` must outlive this object.
  explicit field_reader(const QCborMap& map) : map_(map) {}

  /// Returns a non-empty string.
  std::string Text(home_field field);
  /// Returns the request id as text, also when it is packed into bytes.
  std::string Id();
  /// Returns an integer from 0 to 10,000,000.
  int Count(home_field field);
  /// Returns a duration from zero to one hour, sent in microseconds.
  absl::Duration Time(home_field field);
  bool Flag(home_field field);
  /// Returns whether an optional field is present.
  bool Has(home_field field) const;

  /// Returns `message`, or `malformed_request` if a field was invalid.
  template <typename T>
  absl::StatusOr<T> Finish(T message) const {
    if (first_invalid_.empty()) return message;
    return InvalidFieldError();
  }

 private:
  QCborValue Value(home_field field) const;
  int64_t Integer(home_field field, int64_t max_value);
  void MarkInvalid(home_field field);
  absl::Status InvalidFieldError() const;

  const QCborMap& map_;
  std::string first_invalid_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_HOME_FIELDS_H_
