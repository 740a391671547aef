#include "lab.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

namespace lab {
namespace {

// Time for which the store holds a read at most.
constexpr double kMaxReadWait = 30;
// Time within which a daemon must become ready.
constexpr double kStartTime = 10;
// Path of the daemon that the deploy file's build makes, from the root.
constexpr char kDaemon[] = "target/anvilridge_fleet";

const auto kStart = std::chrono::steady_clock::now();

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  const size_t query = target.find('?');
  if (query == std::string::npos) return "";
  std::stringstream parts(target.substr(query + 1));
  for (std::string part; std::getline(parts, part, '&');) {
    if (part.rfind(name + "=", 0) == 0) return part.substr(name.size() + 1);
  }
  return "";
}

// Returns the text of the JSON string `name` in `body`.
std::string JsonText(const std::string& body, const std::string& name) {
  const size_t key = body.find("\"" + name + "\"");
  if (key == std::string::npos) return "";
  const size_t begin = body.find('"', body.find(':', key));
  return body.substr(begin + 1, body.find('"', begin + 1) - begin - 1);
}

std::string BigEndian(uint64_t number, int bytes) {
  std::string text;
  for (int i = bytes - 1; i >= 0; --i) {
    text.push_back(static_cast<char>((number >> (8 * i)) & 0xff));
  }
  return text;
}

std::string Base64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      const size_t at = i + j;
      group = group << 8 |
              (at < bytes.size() ? static_cast<unsigned char>(bytes[at]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      const bool padding = i + j > bytes.size();
      text.push_back(padding ? '=' : kDigits[(group >> (18 - 6 * j)) & 63]);
    }
  }
  return text;
}

void SendAnswer(int descriptor, const std::string& body) {
  SendAll(descriptor, "HTTP/1.1 200 OK\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body);
}

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

int PortOf(int descriptor) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// Returns a port that was free a moment ago.
int FreePort(int type) {
  const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(0);
  (void)::bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address));
  const int port = PortOf(descriptor);
  ::close(descriptor);
  return port;
}

std::string Listen(int port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

bool IsCalm() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       kStart)
      .count();
}

void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

record::record(const std::string& file)
    : descriptor_(::open(file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                         0644)) {}

record::~record() {
  if (descriptor_ >= 0) ::close(descriptor_);
}

void record::Add(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f  ", Now());
  const std::string text = time + line + "\n";
  const std::lock_guard lock(mutex_);
  for (const int to : {descriptor_, STDOUT_FILENO}) {
    if (to >= 0 && ::write(to, text.data(), text.size()) < 0) return;
  }
}

std::string message::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

std::string message::Word() const {
  const size_t begin = start.find(' ');
  if (begin == std::string::npos) return "";
  const size_t end = start.find(' ', begin + 1);
  return start.substr(begin + 1,
                      end == std::string::npos ? end : end - begin - 1);
}

bool reader::Fill() {
  char buffer[16384];
  ssize_t read = 0;
  do {
    read = ::recv(descriptor_, buffer, sizeof(buffer), 0);
  } while (read < 0 && errno == EINTR);
  if (read <= 0) return false;
  pending_.append(buffer, static_cast<size_t>(read));
  return true;
}

bool reader::TakeLine(std::string& line) {
  size_t end = 0;
  while ((end = pending_.find("\r\n")) == std::string::npos) {
    if (!Fill()) return false;
  }
  line = pending_.substr(0, end);
  pending_.erase(0, end + 2);
  return true;
}

bool reader::TakeBytes(size_t count, std::string& into) {
  while (pending_.size() < count) {
    if (!Fill()) return false;
  }
  into.append(pending_, 0, count);
  pending_.erase(0, count);
  return true;
}

bool reader::ReadHead(message& into) {
  into = {};
  if (!TakeLine(into.start)) return false;
  std::string line;
  while (TakeLine(line)) {
    if (line.empty()) return true;
    const size_t colon = line.find(':');
    if (colon == std::string::npos) return false;
    const size_t begin = line.find_first_not_of(' ', colon + 1);
    into.fields[Lower(line.substr(0, colon))] =
        begin == std::string::npos ? "" : line.substr(begin);
  }
  return false;
}

bool reader::ReadBody(message& into) {
  if (into.Field("transfer-encoding").empty()) {
    const std::string length = into.Field("content-length");
    if (length.empty()) return true;
    return TakeBytes(std::stoul(length), into.body);
  }
  std::string line;
  while (TakeLine(line)) {
    const size_t size = std::stoul(line, nullptr, 16);
    if (!TakeBytes(size, into.body) || !TakeLine(line)) return false;
    if (size == 0) return true;
  }
  return false;
}

bool SendAll(int descriptor, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t wrote = ::send(descriptor, bytes.data() + sent,
                                 bytes.size() - sent, MSG_NOSIGNAL);
    if (wrote < 0 && errno == EINTR) continue;
    if (wrote <= 0) return false;
    sent += static_cast<size_t>(wrote);
  }
  return true;
}

int Connect(int port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return -1;
  const sockaddr_in address = Loopback(port);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(descriptor);
    return -1;
  }
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return descriptor;
}

void SetReadTimeout(int descriptor, double seconds) {
  timeval time{};
  time.tv_sec = static_cast<time_t>(seconds);
  time.tv_usec = static_cast<suseconds_t>(
      (seconds - static_cast<double>(time.tv_sec)) * 1e6);
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

server::server(handler serve) : serve_(std::move(serve)) {
  constexpr int kBacklog = 512;
  listening_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(0);
  (void)::bind(listening_, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address));
  ::listen(listening_, kBacklog);
  port_ = PortOf(listening_);
  accepting_ = std::thread([this] { Accept(); });
}

server::~server() {
  {
    std::unique_lock lock(mutex_);
    stopping_ = true;
    ::shutdown(listening_, SHUT_RDWR);
    for (const auto& [descriptor, unused] : open_) {
      ::shutdown(descriptor, SHUT_RDWR);
    }
    idle_.wait(lock, [this] { return open_.empty(); });
  }
  accepting_.join();
  ::close(listening_);
}

void server::Accept() {
  while (true) {
    const int descriptor =
        ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0 && (errno == EINTR || errno == ECONNABORTED)) continue;
    if (descriptor < 0) return;
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      ::close(descriptor);
      return;
    }
    open_[descriptor] = true;
    std::thread([this, descriptor] {
      serve_(descriptor);
      const std::lock_guard closing(mutex_);
      ::close(descriptor);
      open_.erase(descriptor);
      idle_.notify_all();
    }).detach();
  }
}

// Returns the beginning of the row of partition `index` of the group's topics.
static std::string PartitionRow(size_t index) {
  return "[\"daemons-" + std::to_string(index / kPartitions) + "\"," +
         std::to_string(index % kPartitions);
}

store::store() : server_([this](int descriptor) { Serve(descriptor); }) {}

void store::Put(const std::string& topic, const std::string& key,
                const std::string& value) {
  const std::lock_guard lock(mutex_);
  topics_[topic].push_back({key, value});
  changed_.notify_all();
}

std::string store::Read(const std::string& target) {
  const size_t from = std::stoul("0" + QueryValue(target, "From"));
  const double wait = std::min(
      kMaxReadWait, std::stod("0" + QueryValue(target, "WaitMs")) / 1000);
  std::unique_lock lock(mutex_);
  std::vector<entry>& entries = topics_[QueryValue(target, "Topic")];
  changed_.wait_for(lock, std::chrono::duration<double>(wait),
                    [&] { return entries.size() > from; });
  std::string body = BigEndian(entries.size(), 8) + BigEndian(0, 8);
  for (size_t i = from; i < entries.size(); ++i) {
    const std::string content =
        BigEndian(entries[i].key.size(), 1) + entries[i].key + entries[i].value;
    body += BigEndian(content.size(), 4) + content;
  }
  return body;
}

std::string store::Newest(const std::string& target) {
  const std::lock_guard lock(mutex_);
  const std::vector<entry>& entries = topics_[QueryValue(target, "Topic")];
  std::map<std::string, size_t> newest;
  for (size_t i = 0; i < entries.size(); ++i) newest[entries[i].key] = i;
  std::string items;
  for (const auto& [key, at] : newest) {
    if (entries[at].value.empty()) continue;
    if (!items.empty()) items += ",";
    items += "{\"Key\":\"" + key + "\",\"Value\":\"" +
             Base64(entries[at].value) + "\",\"Offset\":" + std::to_string(at) +
             "}";
  }
  return "{\"items\":[" + items +
         "],\"HasMore\":false,\"End\":" + std::to_string(entries.size()) + "}";
}

void store::Assign() {
  constexpr double kLease = 3;
  for (auto it = members_.begin(); it != members_.end();) {
    const bool lapsed = it->second + kLease < Now();
    if (lapsed) ++generation_;
    it = lapsed ? members_.erase(it) : std::next(it);
  }
  if (members_.empty()) return;
  // Evenly, in the order of the members; a partition stays with its holder
  // until that has given it up or has left.
  auto next = members_.begin();
  for (size_t i = 0; i < holders_.size(); ++i) {
    targets_[i] = next->first;
    if (members_.find(holders_[i]) == members_.end()) holders_[i] = next->first;
    if (++next == members_.end()) next = members_.begin();
  }
}

std::string store::Join(const std::string& body) {
  const std::string member = JsonText(body, "Member");
  const std::string generation = "\"Generation\":";
  const size_t named_at = body.find(generation);
  const int named =
      named_at == std::string::npos
          ? 0
          : std::atoi(body.c_str() + named_at + generation.size());
  const std::lock_guard lock(mutex_);
  if (members_.find(member) == members_.end()) ++generation_;
  members_[member] = Now();
  Assign();
  std::string rows;
  for (size_t i = 0; i < holders_.size(); ++i) {
    const bool gives_up = holders_[i] == member && targets_[i] != member;
    if (gives_up && named >= generation_) {
      holders_[i] = targets_[i];
      ++generation_;
    }
    if (holders_[i] != member || targets_[i] != member) continue;
    if (!rows.empty()) rows += ",";
    rows += PartitionRow(i) + ",0]";
  }
  return "{\"Generation\":" + std::to_string(generation_) +
         ",\"TtlMs\":3000,\"parts\":[" + rows + "]}";
}

std::string store::Owners() {
  const std::lock_guard lock(mutex_);
  Assign();
  std::string rows;
  for (size_t i = 0; i < holders_.size(); ++i) {
    if (holders_[i].empty()) continue;
    if (!rows.empty()) rows += ",";
    rows += PartitionRow(i) + ",\"" + holders_[i] + "\",0]";
  }
  return "[" + rows + "]";
}

void store::Serve(int descriptor) {
  reader in(descriptor);
  message request;
  while (in.Read(request)) {
    const std::string target = request.Word();
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/api/log-read") {
      SendAnswer(descriptor, Read(target));
    } else if (path == "/api/log-newest") {
      SendAnswer(descriptor, Newest(target));
    } else if (path == "/api/log-join") {
      SendAnswer(descriptor, Join(request.body));
    } else if (path == "/api/log-owners") {
      SendAnswer(descriptor, Owners());
    } else {
      if (path == "/api/log-leave") {
        const std::lock_guard lock(mutex_);
        members_.erase(JsonText(request.body, "Member"));
        ++generation_;
      }
      SendAnswer(descriptor, "{}");
    }
  }
}

daemon::daemon(const machine& machine, int store_port)
    : machine_(machine),
      caller_port_(FreePort(SOCK_STREAM)),
      ready_port_(FreePort(SOCK_STREAM)),
      metrics_port_(FreePort(SOCK_STREAM)),
      sharing_port_(FreePort(SOCK_DGRAM)) {
  char folder[] = "/tmp/anvilridge-review-XXXXXX";
  folder_ = ::mkdtemp(folder) == nullptr ? "" : folder;
  WriteSettings(store_port);
}

void daemon::WriteSettings(int store_port) const {
  const std::string file = folder_ + "/settings.ini";
  std::ofstream(file + ".new")
      << "[daemon]\nname = " << machine_.name << "\n"
      << "failure_domain = " << machine_.zone << "\n"
      << "[caller]\nlisten = " << Listen(caller_port_) << "\n"
      << "[readiness]\nlisten = " << Listen(ready_port_)
      << "\npath = /api/readyz\n"
      << "[metrics]\nlisten = " << Listen(metrics_port_) << "\n"
      << "[sharing]\nlisten = " << Listen(sharing_port_) << "\n"
      << "[store]\naddress = " << Listen(store_port) << "\n"
      << "[limits]\nmax_body_bytes = 8388608\nmax_header_bytes = 65536\n"
      << "idle_timeout = 60s\n"
      << "[memory]\nmachine_mb = " << machine_.memory_mb << "\n"
      << "[budget]\nratio = 0.2\nslack = 52\nwindow = 10s\n"
      << "[orders]\nlease = 3000ms\n"
      << "[stop]\ngrace = " << machine_.grace_s << "s\n"
      << "[log]\nlevel = info\ndestination = stdout\n";
  std::rename((file + ".new").c_str(), file.c_str());
}

daemon::~daemon() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  if (folder_.empty()) return;
  ::unlink((folder_ + "/settings.ini").c_str());
  ::unlink((folder_ + "/log").c_str());
  ::rmdir(folder_.c_str());
}

bool daemon::Start() {
  const std::string settings = folder_ + "/settings.ini";
  const std::string log = folder_ + "/log";
  pid_ = ::fork();
  if (pid_ == 0) {
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::execl(kDaemon, kDaemon, "--config", settings.c_str(), nullptr);
    ::_exit(127);
  }
  const double until = Now() + kStartTime;
  while (Now() < until && Running()) {
    if (Ready()) return true;
    Sleep(0.05);
  }
  return false;
}

void daemon::Signal(int signal) const {
  if (pid_ > 0) ::kill(pid_, signal);
}

bool daemon::Running() {
  if (pid_ <= 0) return false;
  if (::waitpid(pid_, nullptr, WNOHANG) == 0) return true;
  pid_ = -1;
  return false;
}

bool daemon::Ready() const {
  const int descriptor = Connect(ready_port_);
  if (descriptor < 0) return false;
  SetReadTimeout(descriptor, 2);
  SendAll(descriptor, "GET /api/readyz HTTP/1.1\r\nHost: a.example\r\n\r\n");
  reader in(descriptor);
  message answer;
  const bool ready = in.ReadHead(answer) && answer.Word() == "200";
  ::close(descriptor);
  return ready;
}

int64_t daemon::StatusKb(const std::string& field) const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind(field, 0) == 0) return std::stoll(line.substr(field.size()));
  }
  return -1;
}

std::string AnswerHead(const message& request, int status) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nRequest-Id: " + request.Field("request-id") +
         "\r\nResponse-Seal: s1\r\n";
}

std::string Entry(const std::string& service, int port,
                  const std::string& stage, int slots) {
  std::string entry = "{\"Service\":\"" + service + "\",\"Addr\":\"" +
                      Listen(port) +
                      "\",\"Zone\":\"a\",\"Version\":\"v1\",\"Slots\":" +
                      std::to_string(slots) +
                      ",\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":4,"
                      "\"born\":1780000000000";
  if (!stage.empty()) {
    entry += ",\"Stage\":\"" + stage +
             "\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}]";
  }
  return entry + "}";
}

std::string Config(int version) {
  return R"({"Version":)" + std::to_string(version) +
         R"(,"Routes":[)"
         R"({"Name":"s","Host":"a.example","PathPrefix":"/s/",)"
         R"("Kind":"stream","TimeoutMs":14000,"LatencyTargetMs":900,)"
         R"("Priority":1,"Service":"llm","Attempts":2,"Sticky":true,)"
         R"("CanResume":false,"GapTargetMs":300},)"
         R"({"Name":"r","Host":"a.example","PathPrefix":"/r/",)"
         R"("Kind":"stream","TimeoutMs":14000,"LatencyTargetMs":900,)"
         R"("Priority":1,"Service":"llm","Attempts":2,"Sticky":true,)"
         R"("CanResume":true,"GapTargetMs":300},)"
         R"({"Name":"u","Host":"a.example","PathPrefix":"/u/",)"
         R"("Kind":"unsafe","TimeoutMs":1000,"LatencyTargetMs":150,)"
         R"("Priority":2,"Service":"app","Attempts":2},)"
         R"({"Name":"g","Host":"a.example","PathPrefix":"/g/",)"
         R"("Kind":"safe","TimeoutMs":1000,"LatencyTargetMs":150,)"
         R"("Priority":2,"Service":"app","Attempts":2}],)"
         R"("Services":[{"Name":"llm","HealthPath":"/healthz",)"
         R"("MaxConns":150,"Protocol":"h1","Tls":false,"Engine":{"Slots":12,)"
         R"("KvCapacity":74829,"KvTokenBytes":163840,"LinkMbps":5900000.0,)"
         R"("Moves":true,"Backups":true,"Stride":1,"most":12,)"
         R"("HandleTtlS":0.5,"StageSwitchS":6.0,"PinMs":4000.0,)"
         R"("HoldMs":2000.0,"Models":[{"Name":"m"}]}},)"
         R"({"Name":"app","HealthPath":"/healthz","MaxConns":96,)"
         R"("Protocol":"h1","Tls":false}],)"
         R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
         R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

}  // namespace lab
