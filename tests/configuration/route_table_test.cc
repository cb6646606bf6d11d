#include "libraries/configuration/route_table.h"

#include <gtest/gtest.h>

namespace dandelionspur {
namespace {

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
  const auto route = [](const char* host, const char* prefix) {
    Route made;
    made.host = host;
    made.path_prefix = prefix;
    return made;
  };
  table.Add(ServiceName("one"), {route("a", "/p/"), route("b", "/")});
  table.Add(ServiceName("two"), {route("a", "/p/q/")});
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

}  // namespace
}  // namespace dandelionspur
