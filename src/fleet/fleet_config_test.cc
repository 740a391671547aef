#include "fleet/fleet_config.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

fleet_route Route(std::string name, std::string host, std::string prefix) {
  fleet_route route;
  route.name = std::move(name);
  route.host = std::move(host);
  route.path_prefix = std::move(prefix);
  return route;
}

TEST(fleet_config_test, RouteWithTheLongestPrefixOfTheHostIsFound) {
  fleet_config config;
  config.routes = {Route("short", "a.example", "/x/"),
                   Route("long", "a.example", "/x/y/"),
                   Route("other", "b.example", "/x/y/z/")};
  EXPECT_EQ(FindRoute(config, "A.Example:8080", "/x/y/z/1")->name, "long");
  EXPECT_EQ(FindRoute(config, "a.example", "/x/z")->name, "short");
  EXPECT_EQ(FindRoute(config, "a.example", "/y/"), nullptr);
  EXPECT_EQ(FindRoute(config, "c.example", "/x/"), nullptr);
}

TEST(fleet_config_test, ServicesArePickedByWeight) {
  fleet_config config;
  config.services["a"].name = "a";
  config.services["b"].name = "b";
  fleet_route route;
  route.services = {{"a", 90}, {"b", 10}, {"c", 0}};
  EXPECT_EQ(PickService(config, route, 0.0)->name, "a");
  EXPECT_EQ(PickService(config, route, 0.89)->name, "a");
  EXPECT_EQ(PickService(config, route, 0.91)->name, "b");
  EXPECT_EQ(PickService(config, route, 0.9999)->name, "b");
}

TEST(fleet_config_test, UnknownServiceIsNotPicked) {
  fleet_route route;
  route.services = {{"gone", 1}};
  EXPECT_EQ(PickService({}, route, 0.5), nullptr);
  route.services.clear();
  EXPECT_EQ(PickService({}, route, 0.5), nullptr);
}

}  // namespace
}  // namespace anvilridge
