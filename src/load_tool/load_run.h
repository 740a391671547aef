#ifndef ANVILRIDGE_LOAD_TOOL_LOAD_RUN_H_
#define ANVILRIDGE_LOAD_TOOL_LOAD_RUN_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "load_tool/arrival_plan.h"
#include "load_tool/load_sample.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// Where a run sends its requests and how.
struct load_run_options {
  /// `a.b.c.d:port` of the daemons' caller ports.
  std::vector<std::string> daemons;
  /// Caller's key.
  std::string key;
  load_profile profile;
  uint64_t seed = 1;
};

/// Sends the requests of a plan when they are due, whatever became of those
/// before, each to a random daemon as the balancer would; a connection that
/// fails goes to another, and a stream that breaks off is resumed there. Needs
/// a Qt event loop.
class load_run {
 public:
  using callback = std::function<void(std::vector<request_sample>)>;

  /// `client` must outlive this object.
  load_run(http_client& client, load_run_options options);
  ~load_run();

  /// Runs `plan` and hands over one sample for each request once all ended.
  void Start(std::vector<planned_request> plan, callback done);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_LOAD_TOOL_LOAD_RUN_H_
