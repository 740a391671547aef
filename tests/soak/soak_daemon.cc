#include "soak/soak_daemon.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QUdpSocket>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "harness/temp_folder.h"
#include "soak/soak_config.h"
#include "soak/soak_teams.h"

namespace anvilridge {
struct soak_daemon::impl {
  impl(int number, std::string run, std::vector<std::string> given,
       absl::string_view store_address, double send_ratio, int memory_mb)
      : index(number),
        program(std::move(run)),
        arguments(std::move(given)),
        store_link(store_address),
        ratio(send_ratio),
        machine_mb(memory_mb),
        port_holder(std::make_unique<QUdpSocket>()) {
    port_holder->bind(QHostAddress::LocalHost);
    sharing_port = port_holder->localPort();
  }

  int index = 0;
  std::string program;
  std::vector<std::string> arguments;
  fault_proxy store_link;
  double ratio = 0;
  int machine_mb = 0;
  // Keeps the sharing port from the other daemons until the first start.
  std::unique_ptr<QUdpSocket> port_holder;
  uint16_t sharing_port = 0;
  temp_folder folder;
  std::unique_ptr<child_process> process;
  int starts = 0;
  uint16_t caller_port = 0;
  uint16_t ready_port = 0;

  void WriteSettings(int slack) const {
    folder.Write(
        "fleet.ini",
        absl::StrCat("[daemon]\nname = entry-", index,
                     "\nfailure_domain = z\n"
                     "[caller]\nlisten = 127.0.0.1:0\n"
                     "[readiness]\nlisten = 127.0.0.1:0\n"
                     "[metrics]\nlisten = 127.0.0.1:0\n"
                     "[sharing]\nlisten = 127.0.0.1:",
                     sharing_port, "\n[budget]\nratio = ", ratio, "\nslack = ",
                     slack, "\n[store]\naddress = ", store_link.Address(),
                     "\n[stop]\ngrace = ", absl::ToInt64Seconds(kStopGrace),
                     "s\n[memory]\nmachine_mb = ", machine_mb,
                     "\n[caps]\nwindow = ", absl::ToInt64Seconds(kCapWindow),
                     "s\nexcess = ", kCapExcess, "\nslack = ", kCapSlack,
                     "\n[log]\ndestination = stdout\n"));
  }

  void ReadPorts() {
    if (caller_port != 0 || !process) return;
    for (absl::string_view line : absl::StrSplit(process->Out(), '\n')) {
      const QJsonObject event =
          QJsonDocument::fromJson(
              QByteArray(line.data(), static_cast<qsizetype>(line.size())))
              .object();
      if (event["event"] != "started") continue;
      caller_port = static_cast<uint16_t>(event["caller_port"].toInt());
      ready_port = static_cast<uint16_t>(event["readiness_port"].toInt());
    }
  }
};

soak_daemon::soak_daemon(int index, std::string program,
                         std::vector<std::string> arguments,
                         absl::string_view store_address, int slack,
                         double ratio, int machine_mb)
    : impl_(std::make_unique<impl>(index, std::move(program),
                                   std::move(arguments), store_address, ratio,
                                   machine_mb)) {
  impl_->WriteSettings(slack);
}

soak_daemon::~soak_daemon() = default;

void soak_daemon::Start() {
  std::vector<std::string> arguments = impl_->arguments;
  arguments.insert(arguments.end(),
                   {"--config", impl_->folder.File("fleet.ini")});
  impl_->caller_port = 0;
  impl_->ready_port = 0;
  impl_->port_holder.reset();
  impl_->process =
      std::make_unique<child_process>(impl_->program, std::move(arguments));
  ++impl_->starts;
}

int soak_daemon::Starts() const { return impl_->starts; }

child_process& soak_daemon::Process() { return *impl_->process; }

uint16_t soak_daemon::CallerPort() {
  impl_->ReadPorts();
  return impl_->caller_port;
}

uint16_t soak_daemon::ReadyPort() {
  impl_->ReadPorts();
  return impl_->ready_port;
}

void soak_daemon::ChangeSettings(int slack) { impl_->WriteSettings(slack); }

fault_proxy& soak_daemon::StoreLink() { return impl_->store_link; }

}  // namespace anvilridge
