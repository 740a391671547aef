#ifndef ANVILRIDGE_DAEMON_VIEW_ROWS_H_
#define ANVILRIDGE_DAEMON_VIEW_ROWS_H_

#include <QCborMap>
#include <vector>

#include "daemon/control_state.h"
#include "operators/operator_view.h"

namespace anvilridge {

/// Peer method that answers with one daemon's rows.
inline constexpr char kViewRowsMethod[] = "operators/rows";

/// The rows of an operator's view that each daemon has its own part of.
struct view_rows {
  std::vector<request_row> requests;
  std::vector<reservation_row> reservations;
  std::vector<orphan_row> orphans;
  std::vector<order_progress> orders;
};

/// Returns this daemon's rows.
view_rows LocalRows(const control_state& state);

QCborMap ToCbor(const view_rows& rows);

/// Reads rows from another daemon; what is malformed is left out.
view_rows ParseViewRows(const QCborMap& map);

/// Appends `more` to the rows of `view`.
void AddRows(operator_view& view, view_rows more);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_VIEW_ROWS_H_
