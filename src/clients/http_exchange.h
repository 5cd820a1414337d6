#pragma once

#include <absl/strings/string_view.h>
#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

#include "base/failure.h"
#include "clients/http_message.h"

struct curl_slist;
struct curl_sockaddr;

namespace berylgauge {

struct HttpExchangeOptions {
  std::size_t max_body_bytes = 0;
  std::size_t max_header_bytes = 0;
  absl::Duration connect_timeout = absl::ZeroDuration();
};

/// One request and its answer on an easy handle of libcurl.
class HttpExchange {
 public:
  HttpExchange(const HttpRequest& request, const HttpExchangeOptions& options);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  /// Performs the exchange once. `origin` and `target` are the two parts of the URL.
  Result<HttpResponse> Run(void* curl, const std::string& origin, const std::string& target, absl::Duration timeout);

  /// Sets all options of the handle, for a caller that performs the exchange itself. Returns false if libcurl rejects
  /// one.
  bool Prepare(void* curl, const std::string& origin, const std::string& target, absl::Duration timeout);

  /// The answer, after libcurl reported `curl_code` for a prepared handle.
  Result<HttpResponse> Finish(void* curl, int curl_code, const std::string& origin, absl::Duration timeout);

 private:
  static constexpr std::size_t kErrorTextSize = 256;  ///< required by CURLOPT_ERRORBUFFER

  static int OnRequestStart(void* self, char*, char*, int, int local_port);
  static int OnOpenSocket(void* self, int purpose, curl_sockaddr* address);
  static std::size_t OnHeaderLine(char* data, std::size_t size, std::size_t count, void* self);
  static std::size_t OnBody(char* data, std::size_t size, std::size_t count, void* self);

  bool SetMethodAndBody(void* curl);
  bool BuildHeaderLines();
  bool HasRequestHeader(absl::string_view name) const;

  bool AddHeaderLine(absl::string_view line);
  bool AddHeaderField(absl::string_view line);
  bool AddBody(std::string_view data);
  bool Reject(std::string reason);

  /// Empty if the answer is whole, else the reason why it is not.
  std::string FindIncompleteness() const;
  bool AnswerHasBody() const;
  Result<HttpResponse> ToFailure(void* curl, int curl_code, absl::Duration timeout) const;

  const HttpRequest& m_request;
  const HttpExchangeOptions& m_options;
  curl_slist* m_header_lines = nullptr;
  HttpResponse m_response;
  std::size_t m_header_bytes = 0;
  bool m_in_headers = false;
  bool m_headers_complete = false;
  /// Set before the first byte of the request is passed to the connection; stays set whatever follows.
  bool m_request_started = false;
  bool m_has_opened = false;        ///< a connection for this request
  bool m_lacks_connection = false;  ///< the request's rule allows none of those that there are
  std::array<char, kErrorTextSize> m_error_text{};
  std::string m_rejection;  ///< why this class ended the exchange; empty if it did not
};

}  // namespace berylgauge
