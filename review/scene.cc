#include "scene.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <utility>

namespace review {
namespace {

constexpr int kBacklog = 512;
constexpr size_t kReadBytes = 16384;
constexpr int kOk = 200;
// How often a read of the store that waits is looked at.
constexpr double kLookInterval = 0.01;

std::string Lower(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

std::string Trimmed(const std::string& text) {
  const size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string::npos) return "";
  return text.substr(begin, text.find_last_not_of(" \t\r\n") - begin + 1);
}

std::string FieldOf(const header_map& headers, const std::string& name) {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  const size_t at = target.find(name + "=");
  if (at == std::string::npos) return "";
  const std::string rest = target.substr(at + name.size() + 1);
  return rest.substr(0, rest.find('&'));
}

// Returns the text or the number behind `"name":` in a flat JSON object.
std::string JsonValue(const std::string& text, const std::string& name) {
  const std::string mark = "\"" + name + "\":";
  const size_t at = text.find(mark);
  if (at == std::string::npos) return "";
  const size_t begin = at + mark.size();
  if (text[begin] == '"') {
    return text.substr(begin + 1, text.find('"', begin + 1) - begin - 1);
  }
  return text.substr(begin, text.find_first_of(",}", begin) - begin);
}

std::string BigEndian(uint64_t number, int bytes) {
  std::string text;
  for (int i = bytes - 1; i >= 0; --i) {
    text += static_cast<char>((number >> (8 * i)) & 0xff);
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
      const unsigned char byte =
          i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0;
      group = group << 8 | byte;
    }
    for (size_t j = 0; j < 4; ++j) {
      text +=
          i + j <= bytes.size() ? kDigits[group >> (18 - 6 * j) & 0x3f] : '=';
    }
  }
  return text;
}

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Returns a socket that is bound to a free port of the loopback address.
int BoundSocket() {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  if (descriptor < 0 ||
      ::bind(descriptor, reinterpret_cast<sockaddr*>(&address),
             sizeof(address)) != 0) {
    std::perror("bind");
    std::exit(2);
  }
  return descriptor;
}

uint16_t PortOf(int descriptor) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void SendAtOnce(int descriptor) {
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

double Now() {
  static const auto kStart = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       kStart)
      .count();
}

void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

recorder::recorder(const std::string& path)
    : file_(std::fopen(path.c_str(), "we")) {
  if (file_ == nullptr) std::exit(2);
}

recorder::~recorder() { std::fclose(file_); }

void recorder::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  std::fprintf(file_, "%9.3f %s\n", Now(), text.c_str());
}

std::unique_ptr<connection> connection::Open(uint16_t port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return nullptr;
  SendAtOnce(descriptor);
  sockaddr_in address = Loopback(port);
  if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(descriptor);
    return nullptr;
  }
  return std::make_unique<connection>(descriptor);
}

bool connection::Write(const std::string& bytes) const {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t written = ::send(descriptor_, bytes.data() + sent,
                                   bytes.size() - sent, MSG_NOSIGNAL);
    if (written <= 0) return false;
    sent += static_cast<size_t>(written);
  }
  return true;
}

bool connection::Fill() {
  std::string block(kReadBytes, '\0');
  const ssize_t read = ::recv(descriptor_, block.data(), block.size(), 0);
  if (read <= 0) return false;
  buffer_.append(block, 0, static_cast<size_t>(read));
  return true;
}

bool connection::ReadLine(std::string& line) {
  size_t end = buffer_.find('\n');
  while (end == std::string::npos) {
    if (!Fill()) return false;
    end = buffer_.find('\n');
  }
  line = Trimmed(buffer_.substr(0, end));
  buffer_.erase(0, end + 1);
  return true;
}

bool connection::ReadBytes(size_t count, std::string& bytes) {
  while (buffer_.size() < count) {
    if (!Fill()) return false;
  }
  bytes += buffer_.substr(0, count);
  buffer_.erase(0, count);
  return true;
}

namespace {

bool ReadHeaders(connection& from, header_map& headers) {
  std::string line;
  while (from.ReadLine(line)) {
    if (line.empty()) return true;
    const size_t colon = line.find(':');
    if (colon == std::string::npos) return false;
    headers[Lower(line.substr(0, colon))] = Trimmed(line.substr(colon + 1));
  }
  return false;
}

bool ReadChunks(connection& from, std::string& body) {
  std::string line;
  while (from.ReadLine(line)) {
    const size_t size = std::strtoul(line.c_str(), nullptr, 16);
    if (size > 0 && !from.ReadBytes(size, body)) return false;
    if (!from.ReadLine(line)) return false;
    if (size == 0) return true;
  }
  return false;
}

size_t LengthOf(const header_map& headers) {
  return std::strtoul(FieldOf(headers, "content-length").c_str(), nullptr, 10);
}

}  // namespace

bool connection::ReadRequest(request& read) {
  std::string line;
  if (!ReadLine(line)) return false;
  std::istringstream words(line);
  words >> read.method >> read.target;
  return ReadHeaders(*this, read.headers) &&
         ReadBytes(LengthOf(read.headers), read.body);
}

response connection::ReadResponse() {
  response read;
  std::string line;
  if (!ReadLine(line)) return read;
  std::istringstream words(line);
  std::string version;
  words >> version >> read.status;
  if (!ReadHeaders(*this, read.headers)) return read;
  read.complete = FieldOf(read.headers, "transfer-encoding") == "chunked"
                      ? ReadChunks(*this, read.body)
                      : ReadBytes(LengthOf(read.headers), read.body);
  return read;
}

void connection::SetTimeout(double seconds) const {
  timeval limit{};
  limit.tv_sec = static_cast<time_t>(seconds);
  limit.tv_usec = static_cast<suseconds_t>(
      (seconds - static_cast<double>(limit.tv_sec)) * 1e6);
  ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

void connection::Close() {
  if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
}

struct server::state {
  int listening = -1;
  handler handle;
};

server::server(handler handle) : state_(std::make_shared<state>()) {
  state_->handle = std::move(handle);
  state_->listening = BoundSocket();
  ::listen(state_->listening, kBacklog);
  std::thread([state = state_] {
    while (true) {
      const int accepted =
          ::accept4(state->listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) return;
      SendAtOnce(accepted);
      std::thread([state, accepted] {
        connection caller(accepted);
        request read;
        while (caller.ReadRequest(read) && state->handle(caller, read)) {
          read = {};
        }
      }).detach();
    }
  }).detach();
}

std::string server::Address() const {
  return "127.0.0.1:" + std::to_string(PortOf(state_->listening));
}

bool Answer(connection& caller, const request& read, int status,
            const std::string& body) {
  return caller.Write(
      "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " +
      FieldOf(read.headers, "request-id") + "\r\nResponse-Seal: s1\r\n" +
      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool BeginStream(connection& caller, const request& read) {
  return caller.Write(
      "HTTP/1.1 200 OK\r\nRequest-Id: " + FieldOf(read.headers, "request-id") +
      "\r\nResponse-Seal: s1\r\nContent-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
}

bool WriteEvent(connection& caller, int id) {
  const std::string event = "id: " + std::to_string(id) + "\ndata: token\n\n";
  std::ostringstream size;
  size << std::hex << event.size();
  return caller.Write(size.str() + "\r\n" + event + "\r\n");
}

bool EndStream(connection& caller) { return caller.Write("0\r\n\r\n"); }

store::store()
    : server_(std::make_unique<server>(
          [this](connection& caller, const request& read) {
            return Handle(caller, read);
          })) {}

void store::Put(const std::string& topic, const std::string& key,
                const std::string& value) {
  const std::lock_guard lock(mutex_);
  topics_[topic].emplace_back(key, value);
}

bool store::Handle(connection& caller, const request& read) {
  const std::string path = read.target.substr(0, read.target.find('?'));
  std::string body = "{}";
  if (path == "/api/log-read") body = Read(read);
  if (path == "/api/log-newest") body = Newest(read);
  if (path == "/api/log-join") body = Join(read.body);
  if (path == "/api/log-owners") body = Owners();
  if (path == "/api/log-leave") {
    const std::lock_guard lock(mutex_);
    if (members_.erase(JsonValue(read.body, "Member")) > 0) ++generation_;
  }
  return Answer(caller, read, kOk, body);
}

std::string store::Read(const request& read) {
  const std::string topic = QueryValue(read.target, "Topic");
  const size_t from =
      std::strtoul(QueryValue(read.target, "From").c_str(), nullptr, 10);
  const double wait_ms =
      std::strtod(QueryValue(read.target, "WaitMs").c_str(), nullptr);
  const double until = Now() + wait_ms / 1000;
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      const auto& records = topics_[topic];
      if (records.size() > from || Now() >= until) {
        std::string body = BigEndian(records.size(), 8) + BigEndian(0, 8);
        for (size_t i = from; i < records.size(); ++i) {
          const std::string record = BigEndian(records[i].first.size(), 1) +
                                     records[i].first + records[i].second;
          body += BigEndian(record.size(), 4) + record;
        }
        return body;
      }
    }
    Sleep(kLookInterval);
  }
}

std::string store::Newest(const request& read) {
  const std::lock_guard lock(mutex_);
  const auto& records = topics_[QueryValue(read.target, "Topic")];
  std::map<std::string, size_t> newest;
  for (size_t i = 0; i < records.size(); ++i) newest[records[i].first] = i;
  std::string items;
  for (const auto& [key, offset] : newest) {
    if (!items.empty()) items += ",";
    items += R"({"Key":")" + key + R"(","Value":")" +
             Base64(records[offset].second) + R"(","Offset":)" +
             std::to_string(offset) + "}";
  }
  return R"({"items":[)" + items + R"(],"HasMore":false,"End":)" +
         std::to_string(records.size()) + "}";
}

std::string store::Join(const std::string& body) {
  const std::lock_guard lock(mutex_);
  const std::string member = JsonValue(body, "Member");
  const double ttl =
      std::strtod(JsonValue(body, "TtlMs").c_str(), nullptr) / 1000;
  const size_t expired = std::erase_if(
      members_, [](const auto& entry) { return entry.second < Now(); });
  generation_ += static_cast<int>(expired);
  if (!members_.contains(member)) ++generation_;
  members_[member] = Now() + ttl;
  const auto place = std::distance(members_.begin(), members_.find(member));
  return R"({"Generation":)" + std::to_string(generation_) +
         R"(,"parts":[["daemons-0",)" + std::to_string(place) + ",0]]}";
}

std::string store::Owners() {
  const std::lock_guard lock(mutex_);
  std::string rows;
  int place = 0;
  for (const auto& [member, until] : members_) {
    if (!rows.empty()) rows += ",";
    rows += R"(["daemons-0",)" + std::to_string(place++) + ",\"" + member +
            R"(",0])";
  }
  return R"({"parts":[)" + rows + "]}";
}

std::string UpstreamEntry(const std::string& service,
                          const std::string& address, const std::string& stage,
                          const std::string& state) {
  std::string entry = R"({"Service":")" + service + R"(","Addr":")" + address +
                      R"(","Zone":"zone-a","Version":"v1","Slots":12,)"
                      R"("State":")" +
                      state + R"(","ColdLeftMs":0,"Seq":1,"born":1000)";
  if (!stage.empty()) entry += R"(,"Stage":")" + stage + "\"";
  return entry + "}";
}

std::string Configuration() {
  return R"({"Version":1,"Routes":[)"
         R"({"Name":"draft","Host":"a.example","PathPrefix":"/draft/",)"
         R"("Kind":"stream","TimeoutMs":14000,"LatencyTargetMs":900,)"
         R"("Priority":1,"Service":"model","Attempts":2,"Sticky":true,)"
         R"("CanResume":true,"GapTargetMs":300},)"
         R"({"Name":"note","Host":"a.example","PathPrefix":"/note/",)"
         R"("Kind":"stream","TimeoutMs":14000,"LatencyTargetMs":900,)"
         R"("Priority":1,"Service":"model","Attempts":1,"Sticky":true,)"
         R"("CanResume":false,"GapTargetMs":300},)"
         R"({"Name":"post","Host":"a.example","PathPrefix":"/post/",)"
         R"("Kind":"unsafe","TimeoutMs":1000,"LatencyTargetMs":150,)"
         R"("Priority":2,"Service":"ledger","Attempts":2},)"
         R"({"Name":"read","Host":"a.example","PathPrefix":"/read/",)"
         R"("Kind":"safe","TimeoutMs":1000,"LatencyTargetMs":150,)"
         R"("Priority":2,"Service":"ledger","Attempts":2}],)"
         R"("Services":[{"Name":"model","HealthPath":"/healthz",)"
         R"("MaxConns":150,"Engine":{"Slots":12,"KvCapacity":74829,)"
         R"("KvTokenBytes":163840,"LinkMbps":5900000.0,"Stride":1,)"
         R"("HandleTtlS":0.5,"StageSwitchS":6.0}},)"
         R"({"Name":"ledger","HealthPath":"/healthz","MaxConns":96}],)"
         R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
         R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

uint16_t FreePort() {
  const int descriptor = BoundSocket();
  const uint16_t port = PortOf(descriptor);
  ::close(descriptor);
  return port;
}

fleet_daemon::fleet_daemon(std::string program, std::string folder,
                           const std::string& store, int memory_mb)
    : program_(std::move(program)),
      folder_(std::move(folder)),
      caller_port_(FreePort()),
      ready_port_(FreePort()) {
  std::ofstream settings(folder_ + "/anvilridge.ini");
  settings << "[daemon]\nname = front-a-1\nfailure_domain = zone-a\n"
           << "[caller]\nlisten = 127.0.0.1:" << caller_port_ << "\n"
           << "[readiness]\nlisten = 127.0.0.1:" << ready_port_
           << "\npath = /api/readyz\n"
           << "[metrics]\nlisten = 127.0.0.1:" << FreePort() << "\n"
           << "[sharing]\nlisten = 127.0.0.1:" << FreePort() << "\n"
           << "[store]\naddress = " << store << "\n"
           << "[limits]\nmax_body_bytes = 8388608\nmax_header_bytes = 65536\n"
           << "idle_timeout = 60s\n"
           << "[memory]\nmachine_mb = " << memory_mb << "\n"
           << "[budget]\nratio = 0.2\nslack = 52\nwindow = 10s\n"
           << "[orders]\nlease = 3000ms\n[stop]\ngrace = 8s\n"
           << "[log]\nlevel = info\ndestination = stdout\n";
}

fleet_daemon::~fleet_daemon() { Kill(); }

void fleet_daemon::Start() {
  const std::lock_guard lock(mutex_);
  const std::string settings = folder_ + "/anvilridge.ini";
  const std::string output = folder_ + "/anvilridge.log";
  const pid_t child = ::fork();
  if (child == 0) {
    // The daemon ends with the case, whatever ends that.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execl(program_.c_str(), program_.c_str(), "--config", settings.c_str(),
            static_cast<char*>(nullptr));
    ::_exit(127);
  }
  process_ = child;
}

bool fleet_daemon::WaitReady(double seconds) const {
  const double until = Now() + seconds;
  while (Now() < until) {
    if (const auto probe = connection::Open(ready_port_)) {
      probe->SetTimeout(1);
      probe->Write("GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n");
      if (probe->ReadResponse().status == kOk) return true;
    }
    Sleep(0.05);
  }
  return false;
}

void fleet_daemon::Kill() {
  const std::lock_guard lock(mutex_);
  if (process_ <= 0) return;
  ::kill(process_, SIGKILL);
  ::waitpid(process_, nullptr, 0);
  process_ = -1;
}

bool fleet_daemon::Running() {
  const std::lock_guard lock(mutex_);
  return process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == 0;
}

double fleet_daemon::MemoryMb() const {
  std::ifstream status("/proc/" + std::to_string(process_) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind("RssAnon:", 0) != 0) continue;
    return std::strtod(line.c_str() + 8, nullptr) / 1024;
  }
  return 0;
}

std::string NewId() {
  static std::atomic<uint64_t> last = 0x9c41d07be2a00000;
  std::ostringstream text;
  text << std::hex << ++last;
  return text.str();
}

std::string RequestText(const std::string& method, const std::string& target,
                        const std::string& id, int time_limit_ms,
                        const std::string& fields, const std::string& body) {
  return method + " " + target + " HTTP/1.1\r\nHost: a.example\r\n" +
         "Request-Id: " + id +
         "\r\nDeadline-Ms: " + std::to_string(time_limit_ms) + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string PromptFields(const std::string& id, int prompt_tokens,
                         int output_tokens, const std::string& shared_part,
                         int shared_tokens) {
  return "Model: m\r\nToken-Count: " + std::to_string(prompt_tokens) + "," +
         std::to_string(output_tokens) +
         "\r\nLength-Hint: " + std::to_string(output_tokens) +
         "\r\nPrompt-Prefix: " + shared_part + ":" +
         std::to_string(shared_tokens) + "," + id + ":" +
         std::to_string(prompt_tokens - shared_tokens) + "\r\n";
}

}  // namespace review
