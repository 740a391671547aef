#include "harness/test_http.h"

#include <QJsonDocument>

#include "harness/curl_request.h"

namespace anvilridge {
namespace {

QJsonObject ParseObject(const std::string& text) {
  return QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
}

test_answer SendJson(absl::string_view method, uint16_t port,
                     absl::string_view target, const QJsonObject& body,
                     test_headers headers) {
  test_request request;
  request.method = std::string(method);
  request.port = port;
  request.target = std::string(target);
  request.body = BodyText(body);
  request.headers = std::move(headers);
  request.headers.emplace_back("Content-Type", "application/json");
  return Send(request);
}

}  // namespace

QJsonObject test_answer::Json() const { return ParseObject(body); }

std::string test_answer::Header(absl::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (key == name) return value;
  }
  return "";
}

QJsonObject test_event::Json() const { return ParseObject(data); }

std::string BodyText(const QJsonObject& body) {
  return QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString();
}

test_answer Send(const test_request& request) {
  test_answer answer;
  curl_sinks sinks;
  sinks.on_header = [&](absl::string_view line) {
    AddHeaderLine(answer, line);
    return true;
  };
  sinks.on_body = [&](absl::string_view bytes) {
    answer.body.append(bytes.data(), bytes.size());
    return true;
  };
  answer.error = PerformRequest(request, sinks);
  if (!answer.error.empty()) answer.status = 0;
  return answer;
}

test_answer Get(uint16_t port, absl::string_view target,
                const test_headers& headers) {
  test_request request;
  request.port = port;
  request.target = std::string(target);
  request.headers = headers;
  return Send(request);
}

test_answer Post(uint16_t port, absl::string_view target,
                 const QJsonObject& body, const test_headers& headers) {
  return SendJson("POST", port, target, body, headers);
}

test_answer Put(uint16_t port, absl::string_view target,
                const QJsonObject& body, const test_headers& headers) {
  return SendJson("PUT", port, target, body, headers);
}

test_answer Delete(uint16_t port, absl::string_view target,
                   const test_headers& headers) {
  test_request request;
  request.method = "DELETE";
  request.port = port;
  request.target = std::string(target);
  request.headers = headers;
  return Send(request);
}

}  // namespace anvilridge
