#include "daemon/traffic_thread.h"

#include "base/event_thread.h"
#include "requests/caller_handler.h"
#include "requests/flow_context.h"
#include "upstreams/http_client.h"

namespace anvilridge {

struct traffic_thread::impl {
  event_thread thread{"traffic"};
  request_services services;
  // Made, used and destroyed on the thread.
  std::unique_ptr<http_client> client;
  std::unique_ptr<flow_context> flows;

  void Open() {
    client = std::make_unique<http_client>();
    flows = std::make_unique<flow_context>();
    flows->thread = thread.Context();
    flows->client = client.get();
    flows->services = &services;
  }

  void Close() {
    client.reset();
    flows.reset();
  }
};

traffic_thread::traffic_thread(
    const std::function<request_services(QObject* thread)>& services_for)
    : impl_(std::make_unique<impl>()) {
  impl_->services = services_for(impl_->thread.Context());
  RunAndWait(impl_->thread.Context(), [this] { impl_->Open(); });
}

traffic_thread::~traffic_thread() {
  RunAndWait(impl_->thread.Context(), [this] { impl_->Close(); });
}

QObject* traffic_thread::Context() const { return impl_->thread.Context(); }

inbound_handler traffic_thread::Handler() const {
  return MakeCallerHandler(*impl_->flows);
}

}  // namespace anvilridge
