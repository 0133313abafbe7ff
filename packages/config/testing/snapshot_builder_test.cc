// Tests of the building of successive snapshots: each must be as if its documents were read alone.

#define BOOST_TEST_MODULE config_snapshot_builder
#include "config/snapshot_builder.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "config/build_snapshot.h"

namespace trefoil::config {

namespace {

std::string describe_all(const validation_failures& failures) {
    std::string texts;
    for (const validation_failure& each : failures) {
        texts += describe(each) + "\n";
    }
    return texts;
}

// A document of the given routes as JSON.
struct base_body {
    std::string services = R"({"a":{"slots":4},"b":{"slots":2}})";
    std::map<std::string, std::string> routes;

    std::string text() const {
        std::string members;
        for (const auto& [name, value] : this->routes) {
            members += members.empty() ? "\"" : ",\"";
            members += name;
            members += "\":";
            members += value;
        }
        return R"({"failure_domains":{"d1":{}},"fleet":{"max_instances":4},"routes":{)" + members +
               R"(},"services":)" + this->services + "}";
    }
};

std::string route_text(int number, const std::string& service = "a") {
    return R"({"path_prefix":"/)" + std::to_string(number) + R"(/","service":")" + service + "\"}";
}

base_body hundred_routes() {
    base_body body;
    for (int i = 0; i < 100; ++i) {
        body.routes["r-" + std::to_string(i)] = route_text(i);
    }
    return body;
}

class versions {
public:
    // Builds a version, checks it, and returns how many of its routes were kept.
    std::size_t follow(const std::string& body, const std::string& overlay_body = "") {
        std::size_t before = this->builder.reused_routes();
        auto base = std::make_shared<const document>(make_document("base", ++this->revision, body));
        document overlay = make_document("site/north", 3, overlay_body);
        auto alone = build_snapshot(*base, overlay);
        auto outcome = this->builder.build(base, overlay);
        if (auto* failures = std::get_if<validation_failures>(&alone)) {
            this->last_failures = describe_all(*failures);
            auto* found = std::get_if<validation_failures>(&outcome);
            BOOST_TEST_REQUIRE(found != nullptr);
            BOOST_TEST(describe_all(*found) == this->last_failures);
        } else {
            auto* built = std::get_if<std::shared_ptr<const snapshot>>(&outcome);
            BOOST_TEST_REQUIRE(built != nullptr);
            BOOST_TEST((**built == std::get<snapshot>(alone)));
            this->last_failures = "";
        }
        return this->builder.reused_routes() - before;
    }

    std::string last_failures;

private:
    snapshot_builder builder;
    std::uint64_t revision = 0;
};

}  // namespace

// Guards against a version that costs a small machine the reading of every route, and against a
// snapshot with routes of an earlier version.
BOOST_AUTO_TEST_CASE(only_changed_routes_are_read) {
    versions followed;
    base_body body = hundred_routes();
    BOOST_TEST(followed.follow(body.text()) == 0U);
    BOOST_TEST(followed.follow(body.text()) == 100U);
    body.routes["r-7"] = route_text(7, "b");  // As long as before.
    BOOST_TEST(followed.follow(body.text()) == 99U);
    body.routes["another"] = route_text(1000);
    body.routes.erase("r-8");
    BOOST_TEST(followed.follow(body.text()) == 99U);
    body.routes["r-8"] = body.routes["r-9"];
    body.routes.erase("r-9");
    BOOST_TEST(followed.follow(body.text()) == 99U);
    body.services = R"({"a":{"slots":5},"b":{"slots":2}})";
    BOOST_TEST(followed.follow(body.text()) == 100U);
    BOOST_TEST(followed.follow(body.text(), R"({"failure_domains":{"d1":{"out":true}}})") == 100U);
}

// Guards against a kept route that is not valid in its new version, and against a failure that is
// reported in another way.
BOOST_AUTO_TEST_CASE(kept_routes_are_checked_against_the_version) {
    versions followed;
    base_body good = hundred_routes();
    good.routes["split"] =
        R"({"path_prefix":"/s/","split":[{"service":"b","weight":1},{"service":"a","weight":2}]})";
    followed.follow(good.text());
    base_body bad = good;
    bad.services = R"({"a":{"slots":4}})";
    BOOST_TEST(followed.follow(bad.text()) == 0U);
    BOOST_TEST(followed.last_failures ==
               "base:1: routes.split.split[0].service: expected the name of a service, found "
               "\"b\"\n");
    bad = good;
    bad.services = R"({"b":{"slots":4}})";
    followed.follow(bad.text());
    BOOST_TEST(followed.last_failures.find("routes.r-99.service") != std::string::npos);
    bad = good;
    bad.routes["a-first"] = route_text(7);
    followed.follow(bad.text());
    BOOST_TEST(followed.last_failures.find("differ from route \"a-first\"") != std::string::npos);
    bad = good;
    bad.routes["r-7"] = R"({"path_prefix":"/7/"})";
    followed.follow(bad.text());
    BOOST_TEST(followed.last_failures != "");
    BOOST_TEST(followed.follow(good.text()) == 101U);
}

// Guards against routes that an overlay has changed and that are kept for another one.
BOOST_AUTO_TEST_CASE(routes_of_overlays_are_not_kept) {
    versions followed;
    std::string body = hundred_routes().text();
    followed.follow(body);
    BOOST_TEST(followed.follow(body, "routes: {r-7: {service: b}, r-8: !remove}\n") == 0U);
    BOOST_TEST(followed.follow(body) == 0U);
    BOOST_TEST(followed.follow(body) == 100U);
    BOOST_TEST(followed.follow(body, "routes: {r-7: {service: c}}\n") == 0U);
    BOOST_TEST(followed.follow(body, "[") == 0U);
    BOOST_TEST(followed.follow(body, "keys: {}") == 0U);
}

// Guards against text that means one thing in YAML and another in JSON.
BOOST_AUTO_TEST_CASE(only_json_is_taken_apart) {
    versions followed;
    std::string json = hundred_routes().text();
    std::string yaml = json;
    yaml.replace(yaml.find("\"fleet\":"), 8, "fleet: ");
    BOOST_TEST(followed.follow(yaml) == 0U);
    BOOST_TEST(followed.follow(yaml) == 0U);
    BOOST_TEST(followed.follow(json) == 0U);
    BOOST_TEST(followed.follow(yaml) == 0U);
    BOOST_TEST(followed.follow(json) == 0U);
    BOOST_TEST(followed.follow(json + "\n") == 100U);
    for (const std::string& bad : {json + "}", json.substr(0, json.size() - 1), std::string("[]"),
                                   json + std::string(document_bytes_max, ' ')}) {
        BOOST_TEST(followed.follow(bad) == 0U);
        BOOST_TEST(followed.last_failures != "");
    }
    std::string repeated = json;
    repeated.insert(repeated.find("\"r-50\""), "\"r-7\":" + route_text(7) + ",");
    followed.follow(repeated);
    BOOST_TEST(followed.last_failures == "base:1: routes.r-7: expected each key once in a map\n");
}

}  // namespace trefoil::config
