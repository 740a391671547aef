#include "daemon/view_rows.h"

#include <QCborArray>
#include <iterator>
#include <string>
#include <utility>

#include "base/clock.h"

namespace anvilridge {
namespace {

// Rows of one kind that one daemon sends; an operator's query needs no more.
constexpr size_t kMostRows = 2000;

QString ToQt(const std::string& text) { return QString::fromStdString(text); }

std::string TextAt(const QCborArray& row, qsizetype index) {
  return row.at(index).toString().toStdString();
}

int CountAt(const QCborArray& row, qsizetype index) {
  return static_cast<int>(row.at(index).toInteger());
}

absl::Duration AgeAt(const QCborArray& row, qsizetype index) {
  return absl::Milliseconds(row.at(index).toInteger());
}

qint64 Age(absl::Duration age) { return absl::ToInt64Milliseconds(age); }

QCborArray Encode(const request_row& row) {
  return {ToQt(row.id),    ToQt(row.team),     ToQt(row.route),
          ToQt(row.phase), ToQt(row.upstream), ToQt(row.prefill_upstream),
          row.pieces,      row.tokens,         Age(row.age)};
}

QCborArray Encode(const reservation_row& row) {
  return {ToQt(row.request_id), ToQt(row.upstream), ToQt(row.owner), row.pieces,
          Age(row.age)};
}

QCborArray Encode(const orphan_row& row) {
  return {ToQt(row.request_id), ToQt(row.upstream), ToQt(row.owner),
          row.pieces,           ToQt(row.state),    Age(row.age)};
}

QCborArray Encode(const order_progress& row) {
  return {ToQt(row.upstream), static_cast<qint64>(row.fence), ToQt(row.state)};
}

void Decode(const QCborArray& from, order_progress& row) {
  row.upstream = TextAt(from, 0);
  row.fence = from.at(1).toInteger();
  row.state = TextAt(from, 2);
}

void Decode(const QCborArray& from, request_row& row) {
  row.id = TextAt(from, 0);
  row.team = TextAt(from, 1);
  row.route = TextAt(from, 2);
  row.phase = TextAt(from, 3);
  row.upstream = TextAt(from, 4);
  row.prefill_upstream = TextAt(from, 5);
  row.pieces = CountAt(from, 6);
  row.tokens = CountAt(from, 7);
  row.age = AgeAt(from, 8);
}

void Decode(const QCborArray& from, reservation_row& row) {
  row.request_id = TextAt(from, 0);
  row.upstream = TextAt(from, 1);
  row.owner = TextAt(from, 2);
  row.pieces = CountAt(from, 3);
  row.age = AgeAt(from, 4);
}

void Decode(const QCborArray& from, orphan_row& row) {
  row.request_id = TextAt(from, 0);
  row.upstream = TextAt(from, 1);
  row.owner = TextAt(from, 2);
  row.pieces = CountAt(from, 3);
  row.state = TextAt(from, 4);
  row.age = AgeAt(from, 5);
}

template <typename Row>
QCborArray EncodeAll(const std::vector<Row>& rows) {
  QCborArray list;
  for (const Row& row : rows) {
    if (static_cast<size_t>(list.size()) == kMostRows) break;
    list.append(Encode(row));
  }
  return list;
}

template <typename Row>
std::vector<Row> DecodeAll(const QCborValue& value) {
  std::vector<Row> rows;
  for (const auto& from : value.toArray()) {
    if (!from.isArray() || rows.size() == kMostRows) continue;
    Decode(from.toArray(), rows.emplace_back());
  }
  return rows;
}

template <typename Row>
void Append(std::vector<Row>& rows, std::vector<Row> more) {
  rows.insert(rows.end(), std::make_move_iterator(more.begin()),
              std::make_move_iterator(more.end()));
}

std::vector<request_row> RequestRows(const control_state& state) {
  std::vector<request_row> rows;
  const absl::Time now = MonotonicNow();
  for (const auto& [id, active] : state.requests.active) {
    request_row row;
    row.id = id;
    row.team = active.team;
    row.route = active.route;
    row.phase = active.stage;
    row.upstream = active.upstream;
    row.age = now - active.since;
    rows.push_back(std::move(row));
  }
  return rows;
}

std::vector<reservation_row> ReservationRows(const control_state& state) {
  std::vector<reservation_row> rows;
  const absl::Time now = MonotonicNow();
  state.homes.ForEachDecodeReservation([&](absl::string_view engine,
                                           absl::string_view id,
                                           const decode_reservation& hold) {
    reservation_row row;
    row.request_id = std::string(id);
    row.upstream = std::string(engine);
    row.owner = hold.owner;
    row.pieces = hold.pieces;
    row.age = now - hold.start;
    rows.push_back(std::move(row));
  });
  return rows;
}

std::vector<orphan_row> OrphanRows(const control_state& state) {
  std::vector<orphan_row> rows;
  const absl::Time now = MonotonicNow();
  for (const auto& [engine, watch] : state.orphans) {
    for (const auto& [id, orphan] : watch.watched) {
      orphan_row row;
      row.request_id = id;
      row.upstream = engine;
      row.owner = orphan.owner;
      row.pieces = orphan.pieces;
      row.age = now - orphan.since;
      row.state =
          row.age < orphan_policy().resume_grace ? "grace" : "cancelling";
      rows.push_back(std::move(row));
    }
  }
  return rows;
}

std::vector<order_progress> OrderRows(const control_state& state) {
  std::vector<order_progress> rows;
  for (const order_state& order : state.loads.Progress()) {
    rows.push_back(
        {order.upstream, order.fence, std::string(NameOf(order.stage))});
  }
  return rows;
}

}  // namespace

view_rows LocalRows(const control_state& state) {
  return {RequestRows(state), ReservationRows(state), OrphanRows(state),
          OrderRows(state)};
}

QCborMap ToCbor(const view_rows& rows) {
  return {{QLatin1String("requests"), EncodeAll(rows.requests)},
          {QLatin1String("reservations"), EncodeAll(rows.reservations)},
          {QLatin1String("orphans"), EncodeAll(rows.orphans)},
          {QLatin1String("orders"), EncodeAll(rows.orders)}};
}

view_rows ParseViewRows(const QCborMap& map) {
  view_rows rows;
  rows.requests = DecodeAll<request_row>(map.value(QLatin1String("requests")));
  rows.reservations =
      DecodeAll<reservation_row>(map.value(QLatin1String("reservations")));
  rows.orphans = DecodeAll<orphan_row>(map.value(QLatin1String("orphans")));
  rows.orders = DecodeAll<order_progress>(map.value(QLatin1String("orders")));
  return rows;
}

void AddRows(operator_view& view, view_rows more) {
  Append(view.requests, std::move(more.requests));
  Append(view.reservations, std::move(more.reservations));
  Append(view.orphans, std::move(more.orphans));
  Append(view.orders, std::move(more.orders));
}

}  // namespace anvilridge
