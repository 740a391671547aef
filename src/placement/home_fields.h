#ifndef ANVILRIDGE_PLACEMENT_HOME_FIELDS_H_
#define ANVILRIDGE_PLACEMENT_HOME_FIELDS_H_

#include <QCborMap>
#include <QCborValue>
#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "absl/time/time.h"

namespace anvilridge {

/// The keys of messages to and from homes. Numbers are never given to another
/// field. The first two repeat from call to call, see `peer_client::Call`.
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

/// How the keys of a message are written. Daemons of the first version know
/// names only; whoever reads takes both, and answers as it was asked.
enum class key_form { numbers, names };

/// Returns the form of `message`.
key_form FormOf(const QCborMap& message);

/// Builds one message.
class field_writer {
 public:
  explicit field_writer(key_form form) : form_(form) {}

  field_writer& Put(home_field field, const QCborValue& value);
  field_writer& Put(home_field field, const std::string& text);
  field_writer& Put(home_field field, absl::Duration time);
  /// A request id of hexadecimal digits is written as bytes.
  field_writer& PutId(const std::string& id);
  QCborMap Message() const { return map_; }

 private:
  key_form form_;
  QCborMap map_;
};

/// Reads the fields of one message and remembers the first that is wrong.
class field_reader {
 public:
  explicit field_reader(const QCborMap& map) : map_(map) {}

  std::string Text(home_field field);
  std::string Id();
  int Count(home_field field);
  absl::Duration Time(home_field field);
  bool Flag(home_field field);
  /// Whether an optional field is there.
  bool Has(home_field field) const;

  /// Returns `message`, or `malformed_request` if a field was wrong.
  template <typename T>
  absl::StatusOr<T> Finish(T message) const {
    if (wrong_.empty()) return message;
    return Error();
  }

 private:
  QCborValue Value(home_field field) const;
  int64_t Integer(home_field field, int64_t most);
  void Fail(home_field field);
  absl::Status Error() const;

  const QCborMap& map_;
  std::string wrong_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_HOME_FIELDS_H_
