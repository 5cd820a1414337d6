#include "web/path_router.h"

#include <catch2/catch.hpp>

namespace berylgauge {
namespace {

struct RouteCase {
  std::string method;
  std::string path;
  int status;
  std::string body;  ///< of a match: name of the route and its parameters
};

/// Answers with the name of the route and its parameters.
PathRouter::Handler Named(const std::string& name) {
  return [name](const PathParameters& parameters, const WebRequest&, const WebServer::Responder& responder) {
    std::string text = name;
    for (const auto& [key, value] : parameters) text.append(" ").append(key).append("=").append(value);
    responder({.status = 200, .headers = {}, .body = text});
  };
}

// Guards against a request that reaches the handler of another path or method.
TEST_CASE("requests are routed by method and path", "[web]") {
  const auto test = GENERATE(values<RouteCase>({
      {"GET", "/v1/jobs", 200, "list"},
      {"HEAD", "/v1/jobs", 200, "list"},
      {"POST", "/v1/jobs", 200, "submit"},
      {"PUT", "/v1/jobs", 405, "GET, POST"},
      {"get", "/v1/jobs", 405, "GET, POST"},
      {"GET", "/v1/jobs/", 404, ""},
      {"GET", "/v1/jobs/j1", 200, "show id=j1"},
      {"DELETE", "/v1/jobs/j1", 200, "cancel id=j1"},
      {"GET", "/v1/jobs/new", 200, "show id=new"},
      {"GET", "/v1/jobs/j1/x", 404, ""},
      {"GET", "/v1//jobs", 404, ""},
      {"GET", "v1/jobs", 404, ""},
      {"GET", "/", 404, ""},
      {"GET", "", 404, ""},
      {"POST", "/v1/plans/p-1/confirm", 200, "confirm id=p-1"},
      {"POST", "/v1/plans//confirm", 404, ""},
      {"GET", "/v1/plans/p-1/confirm", 405, "POST"},
      {"GET", "/v1/tasks/job/3/explain", 200, "explain task=job/3"},
      {"GET", "/v1/tasks/job/explain", 200, "explain task=job"},
      {"GET", "/v1/tasks/explain", 404, ""},
      {"GET", "/v1/tasks//explain", 404, ""},
  }));
  PathRouter router;
  router.Add("GET", "/v1/jobs", Named("list"));
  router.Add("POST", "/v1/jobs", Named("submit"));
  router.Add("GET", "/v1/jobs/{id}", Named("show"));
  router.Add("DELETE", "/v1/jobs/{id}", Named("cancel"));
  router.Add("GET", "/v1/jobs/new", Named("never reached"));
  router.Add("POST", "/v1/plans/{id}/confirm", Named("confirm"));
  router.Add("GET", "/v1/tasks/{task*}/explain", Named("explain"));
  CAPTURE(test.method, test.path);
  int answers = 0;
  WebResponse response;
  router.Route({.method = test.method, .path = test.path}, [&](WebResponse answer) {
    ++answers;
    response = std::move(answer);
  });
  CHECK(answers == 1);
  CHECK(response.status == test.status);
  if (test.status == 200) CHECK(response.body == test.body);
  if (test.status == 405) {
    CHECK(response.headers.back() == std::pair<std::string, std::string>("Allow", test.body));
    CHECK(response.body.find("\"field\":\"method\"") != std::string::npos);
  }
}

}  // namespace
}  // namespace berylgauge
