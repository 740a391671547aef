#ifndef ANVILRIDGE_TESTS_SOAK_SOAK_UPSTREAMS_H_
#define ANVILRIDGE_TESTS_SOAK_SOAK_UPSTREAMS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "soak/fault_proxy.h"
#include "soak/soak_record.h"

namespace anvilridge {

/// How an upstream treats the requests that reach it.
enum class upstream_fault {
  none,
  /// Refuses them and says so.
  refuse,
  /// Runs them and answers with a failure of its own.
  fail,
  /// Runs them and breaks the connection.
  lose,
  /// Runs them and answers only much later than their time limits.
  late,
  /// Runs them and sends bytes without end in place of an answer.
  endless,
};

enum class upstream_stage { service, prefill, decode };

/// Stand-in of one upstream by the platform's calls behind a proxy. Notes what
/// runs. Used on one thread with a Qt event loop.
class soak_upstream {
 public:
  soak_upstream(std::string id, upstream_stage stage,
                std::map<std::string, upstream_record>& records);
  ~soak_upstream();
  soak_upstream(const soak_upstream&) = delete;
  soak_upstream& operator=(const soak_upstream&) = delete;

  /// Its entry in the store, ready or leaving.
  std::string Entry(bool leaving) const;
  const std::string& Id() const;

  /// Comes back as another instance at the same address.
  void Renew(std::string id);

  /// States in all its answers that it leaves, until it is renewed.
  void Leave();
  /// Refuses all requests for `lasts` and states so.
  void Pause(absl::Duration lasts);

  /// Sets what happens when a prompt crashes the engine.
  void OnCrash(std::function<void()> crash);

  void SetFault(upstream_fault fault);
  /// Falls silent for `lasts` and goes on then, unless it has been silent so
  /// lately that callers would see one silence.
  void FallSilent(absl::Duration lasts);
  /// Besides, loses or fails each `period`th run; 0 for none.
  void SpoilEach(int period);
  /// Sets whether it sends bytes without end unless it has another fault.
  void SendEndlessly(bool endless);
  /// Besides, refuses each `period`th request, after half of the time that it
  /// would take; 0 for none.
  void RefuseEach(int period);
  fault_proxy& Link();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_SOAK_SOAK_UPSTREAMS_H_
