#ifndef ANVILRIDGE_TESTS_HARNESS_PLATFORM_SCENE_H_
#define ANVILRIDGE_TESTS_HARNESS_PLATFORM_SCENE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/event_thread.h"
#include "harness/child_process.h"
#include "upstreams/testing/raw_server.h"

namespace anvilridge {

/// One daemon of a fleet as a process, with a store, a prefill and a decode
/// engine and a plain service by the platform's calls, which live in the test
/// on a thread of their own. Routes: `/draft/` streams and may be resumed,
/// `/post/` runs once at most, `/read/` may be repeated; host `a.example`.
class platform_scene {
 public:
  platform_scene();
  ~platform_scene();

  /// Starts the daemon and waits until it is ready.
  /// @param budget lines of the settings' section `[budget]`, and further
  ///     sections.
  bool Start(const std::string& budget = "slack = 50");

  /// Rewrites the settings file of the daemon.
  /// @param budget as for `Start`.
  void WriteSettings(const std::string& budget);

  child_process& Daemon() { return *daemon_; }
  uint16_t CallerPort() const { return caller_port_; }
  uint16_t ReadyPort() const { return ready_port_; }
  /// `a.b.c.d:port` of the service, the prefill and the decode engine.
  std::string ServiceAddress() const;
  std::string PrefillAddress() const;
  std::string DecodeAddress() const;

  /// Replaces what the plain service does with a request.
  void OnService(raw_server::handler handler);
  /// Replaces what the prefill engine does with a request.
  void OnPrefill(raw_server::handler handler);
  /// Replaces what the decode engine does with a request.
  void OnDecode(raw_server::handler handler);
  /// Requests that arrived at the service, the prefill and the decode engine.
  std::vector<raw_request> AtService();
  std::vector<raw_request> AtPrefill();
  std::vector<raw_request> AtDecode();

  /// Writes a record of the operators' or the upstreams' topic.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value);
  /// Whether the store answers.
  void SetStoreUp(bool up);

  /// An answer's status line and fields for `request`, with the marks of an
  /// upstream's own answer.
  static std::string Head(const raw_request& request, int status);
  /// Returns one field of a request's head, or "".
  static std::string Field(const raw_request& request, absl::string_view name);
  /// Writes events `from` to `to` as chunks.
  static void Events(QTcpSocket& socket, int from, int to);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
  std::unique_ptr<child_process> daemon_;
  uint16_t caller_port_ = 0;
  uint16_t ready_port_ = 0;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_HARNESS_PLATFORM_SCENE_H_
