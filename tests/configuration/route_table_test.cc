#include "libraries/configuration/route_table.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace dandelionspur {
namespace {

Route MakeRoute(const std::string& host, const std::string& prefix,
                std::uint32_t priority = 0) {
  Route route;
  route.host = host;
  route.path_prefix = prefix;
  route.priority = priority;
  return route;
}

void Replace(RouteTable& table, const std::string& service,
             const std::vector<Route>& routes) {
  auto document = std::make_shared<ServiceDocument>();
  document->routes = routes;
  table.Replace(ServiceName(service), std::move(document));
}

std::string Described(const RouteTable::Match& match) {
  if (match.route == nullptr) return "";
  return match.service.value() + " " + std::to_string(match.route->priority) +
         " " + std::string(match.rest);
}

struct RouteCase {
  const char* name;
  const char* host;
  const char* path;
  // Empty if no route is found.
  const char* service;
  const char* rest;
};

class RouteTableTest : public testing::TestWithParam<RouteCase> {};

TEST_P(RouteTableTest, FindsTheLongestPrefixOfTheHost) {
  RouteTable table;
  Replace(table, "one", {MakeRoute("a", "/p/"), MakeRoute("b", "/")});
  Replace(table, "two", {MakeRoute("a", "/p/q/")});
  const RouteTable::Match match =
      table.Find(this->GetParam().host, this->GetParam().path);
  EXPECT_EQ(match.service.value(), this->GetParam().service);
  EXPECT_EQ(match.rest, this->GetParam().rest);
  EXPECT_EQ(match.route == nullptr, match.service.value().empty());
}

INSTANTIATE_TEST_SUITE_P(
    Paths, RouteTableTest,
    testing::Values(RouteCase{"Short", "a", "/p/x", "one", "x"},
                    RouteCase{"Long", "a", "/p/q/x", "two", "x"},
                    RouteCase{"Exact", "a", "/p/", "one", ""},
                    RouteCase{"PortIsIgnored", "a:80", "/p/x", "one", "x"},
                    RouteCase{"OtherHost", "b", "/p/q/x", "one", "p/q/x"},
                    RouteCase{"UnknownHost", "c", "/p/x", "", ""},
                    RouteCase{"UnknownPath", "a", "/z", "", ""},
                    RouteCase{"PartOfAPrefix", "a", "/p", "", ""}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against a change that leaves a replaced route, or loses one that the
// replaced one hid: a table that was changed often must answer as one that was
// built at once.
TEST(ChangedRouteTableTest, AnswersAsOneBuiltAtOnce) {
  constexpr std::uint32_t kSeed = 20261205;
  constexpr int kChanges = 500;
  constexpr std::size_t kMaximumRoutes = 6;
  const std::vector<std::string> services = {"one", "two", "three"};
  const std::vector<std::string> hosts = {"a", "b", "c"};
  const std::vector<std::string> prefixes = {"/", "/p/", "/p/q/", "/p/q/r/"};
  std::mt19937 random(kSeed);
  RouteTable changed;
  std::map<std::string, std::vector<Route>> in_force;
  std::uint32_t priority = 0;
  for (int change = 0; change < kChanges; ++change) {
    std::vector<Route> routes(random() % kMaximumRoutes);
    for (Route& route : routes) {
      route = MakeRoute(hosts[random() % hosts.size()],
                        prefixes[random() % prefixes.size()], ++priority);
    }
    const std::string& service = services[random() % services.size()];
    const RouteTable copy = changed;
    Replace(changed, service, routes);
    RouteTable earlier;
    for (const auto& [name, list] : in_force) Replace(earlier, name, list);
    in_force[service] = routes;
    RouteTable built;
    for (const auto& [name, list] : in_force) Replace(built, name, list);
    for (const std::string& host : hosts) {
      for (const std::string& prefix : prefixes) {
        ASSERT_EQ(Described(changed.Find(host, prefix)),
                  Described(built.Find(host, prefix)));
        // A copy isn't changed with its original.
        ASSERT_EQ(Described(copy.Find(host, prefix)),
                  Described(earlier.Find(host, prefix)));
      }
    }
  }
}

// Guards against routes with the same host and prefix of which another one
// counts after each change.
TEST(ConflictingRoutesTest, LastOneCountsWhateverTheOrderOfChanges) {
  constexpr std::uint32_t kFirst = 1;
  constexpr std::uint32_t kLast = 2;
  RouteTable table;
  Replace(table, "two",
          {MakeRoute("a", "/", kFirst), MakeRoute("a", "/", kLast)});
  Replace(table, "one", {MakeRoute("a", "/")});
  const RouteTable::Match match = table.Find("a", "/");
  EXPECT_EQ(match.service, ServiceName("two"));
  ASSERT_NE(match.route, nullptr);
  EXPECT_EQ(match.route->priority, kLast);
  Replace(table, "two", {});
  EXPECT_EQ(table.Find("a", "/").service, ServiceName("one"));
  Replace(table, "one", {});
  EXPECT_EQ(table.Find("a", "/").route, nullptr);
}

}  // namespace
}  // namespace dandelionspur
