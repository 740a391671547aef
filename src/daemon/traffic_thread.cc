#include "daemon/traffic_thread.h"

#include <QThread>

#include "requests/caller_handler.h"
#include "requests/flow_context.h"
#include "upstreams/http_client.h"

namespace anvilridge {

struct traffic_thread::impl {
  QThread thread;
  std::unique_ptr<QObject> context;
  request_services services;
  // Made, used and destroyed on the thread.
  std::unique_ptr<http_client> client;
  std::unique_ptr<flow_context> flows;

  void Open() {
    client = std::make_unique<http_client>();
    flows = std::make_unique<flow_context>();
    flows->thread = context.get();
    flows->client = client.get();
    flows->services = &services;
  }

  void Close() {
    client.reset();
    flows.reset();
  }

  void RunOnThread(const std::function<void()>& task) {
    QMetaObject::invokeMethod(context.get(), task,
                              Qt::BlockingQueuedConnection);
  }
};

traffic_thread::traffic_thread(
    const std::function<request_services(QObject* thread)>& services_for)
    : impl_(std::make_unique<impl>()) {
  impl_->context = std::make_unique<QObject>();
  impl_->context->moveToThread(&impl_->thread);
  impl_->services = services_for(impl_->context.get());
  impl_->thread.start();
  impl_->RunOnThread([this] { impl_->Open(); });
}

traffic_thread::~traffic_thread() {
  impl_->RunOnThread([this] { impl_->Close(); });
  impl_->thread.quit();
  impl_->thread.wait();
}

QObject* traffic_thread::Context() const { return impl_->context.get(); }

inbound_handler traffic_thread::Handler() const {
  return MakeCallerHandler(*impl_->flows);
}

}  // namespace anvilridge
