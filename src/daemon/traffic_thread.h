#ifndef ANVILRIDGE_DAEMON_TRAFFIC_THREAD_H_
#define ANVILRIDGE_DAEMON_TRAFFIC_THREAD_H_

#include <QObject>
#include <functional>
#include <memory>

#include "caller/caller_port.h"
#include "requests/request_services.h"

namespace anvilridge {

/// One thread that carries callers' requests, with its own upstream client.
class traffic_thread {
 public:
  /// Starts the thread; `services_for` makes the services whose callbacks run
  /// on the given context.
  explicit traffic_thread(
      const std::function<request_services(QObject* thread)>& services_for);
  /// Ends the thread's loop and waits for it.
  ~traffic_thread();

  /// An object that lives on the thread.
  QObject* Context() const;

  /// The caller port's handler for this thread.
  inbound_handler Handler() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_TRAFFIC_THREAD_H_
