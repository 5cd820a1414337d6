#include "web/bearer_token_check.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

namespace berylgauge {
namespace {

/// A token file that is removed at the end of the test.
class TokenFile {
 public:
  explicit TokenFile(const std::string& content)
      : m_path(std::filesystem::temp_directory_path() / ("berylgauge-token." + std::to_string(getpid()))) {
    std::ofstream(m_path, std::ios::binary) << content;
  }
  ~TokenFile() { std::filesystem::remove(m_path); }
  TokenFile(const TokenFile&) = delete;
  TokenFile& operator=(const TokenFile&) = delete;

  std::string path() const { return m_path.string(); }

 private:
  std::filesystem::path m_path;
};

// Guards against an empty file that admits everybody and against tokens that cannot be sent in a header.
TEST_CASE("unusable token files are refused", "[web]") {
  const auto content =
      GENERATE(values<std::string>({"", " ", "\n", " \t\r\n", "a b", " a", "a\nb", "\xc3\xa9", std::string("a\0b", 3),
                                    std::string("a\0", 2), std::string(4097, 'x'), std::string(5000, ' ')}));
  CAPTURE(content.substr(0, 20), content.size());
  const TokenFile file(content);
  const Result<BearerTokenCheck> check = BearerTokenCheck::FromFile(file.path());
  REQUIRE_FALSE(check.has_value());
  CHECK(check.error().code == FailureCode::kInvalidArgument);
  CHECK(check.error().field == "operator_token_file");
}

TEST_CASE("token files that cannot be read are refused", "[web]") {
  const auto path = GENERATE(values<std::string>({"/nonexistent/token", "/", ""}));
  CHECK_FALSE(BearerTokenCheck::FromFile(path).has_value());
}

struct HeaderCase {
  std::vector<std::pair<std::string, std::string>> headers;
  bool is_admitted;
};

// Guards against a token that passes in part, in another form or from the wrong header.
TEST_CASE("only the whole token is admitted", "[web]") {
  const auto content = GENERATE(values<std::string>({"secret", "secret\n", "secret \r\n\t"}));
  const auto test = GENERATE(values<HeaderCase>({
      {{{"authorization", "Bearer secret"}}, true},
      {{{"authorization", "bearer secret"}}, true},
      {{{"host", "x"}, {"authorization", "Bearer secret"}}, true},
      {{}, false},
      {{{"authorization", ""}}, false},
      {{{"authorization", "Bearer"}}, false},
      {{{"authorization", "Bearer "}}, false},
      {{{"authorization", "Bearer secre"}}, false},
      {{{"authorization", "Bearer secrets"}}, false},
      {{{"authorization", "Bearer secretsecret"}}, false},
      {{{"authorization", "Bearer Secret"}}, false},
      {{{"authorization", "Bearer  secret"}}, false},
      {{{"authorization", "Bearer secret "}}, false},
      {{{"authorization", "Bearer secret\n"}}, false},
      {{{"authorization", "Basic secret"}}, false},
      {{{"authorization", "secret"}}, false},
      {{{"authorization", std::string("Bearer secret\0", 14)}}, false},
      {{{"x-authorization", "Bearer secret"}}, false},
      {{{"authorization", "Bearer secret"}, {"authorization", "Bearer secret"}}, false},
      {{{"authorization", "Bearer wrong"}, {"authorization", "Bearer secret"}}, false},
  }));
  const TokenFile file(content);
  const Result<BearerTokenCheck> check = BearerTokenCheck::FromFile(file.path());
  REQUIRE(check.has_value());
  const std::optional<WebResponse> refusal = check->Refusal({.headers = test.headers});
  CHECK(refusal.has_value() != test.is_admitted);
  if (!refusal) return;
  CHECK(refusal->status == 401);
  CHECK(refusal->body.find("secret") == std::string::npos);
  CHECK(refusal->body.find("\"field\":\"authorization\"") != std::string::npos);
}

}  // namespace
}  // namespace berylgauge
