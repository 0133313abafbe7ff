// Tests of the incremental building of snapshots: each must equal the snapshot that is built from
// its documents alone.

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

// A base document in JSON with the given routes.
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

class version_sequence {
public:
    // Builds the next version, compares it with a standalone build, and returns how many of its
    // routes were reused.
    std::size_t build_next(const std::string& body, const std::string& overlay_body = "") {
        std::size_t before = this->builder.reused_routes();
        auto base = std::make_shared<const document>(make_document("base", ++this->revision, body));
        document overlay = make_document("site/north", 3, overlay_body);
        auto standalone = build_snapshot(*base, overlay);
        auto outcome = this->builder.build(base, overlay);
        if (auto* failures = std::get_if<validation_failures>(&standalone)) {
            this->last_failures = describe_all(*failures);
            auto* found = std::get_if<validation_failures>(&outcome);
            BOOST_TEST_REQUIRE(found != nullptr);
            BOOST_TEST(describe_all(*found) == this->last_failures);
        } else {
            auto* built = std::get_if<std::shared_ptr<const snapshot>>(&outcome);
            BOOST_TEST_REQUIRE(built != nullptr);
            BOOST_TEST((**built == std::get<snapshot>(standalone)));
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

// Guards against a small change that makes a small machine parse every route again, and against a
// snapshot with outdated routes.
BOOST_AUTO_TEST_CASE(only_changed_routes_are_read) {
    version_sequence sequence;
    base_body body = hundred_routes();
    BOOST_TEST(sequence.build_next(body.text()) == 0U);
    BOOST_TEST(sequence.build_next(body.text()) == 100U);
    body.routes["r-7"] = route_text(7, "b");  // Same length as before.
    BOOST_TEST(sequence.build_next(body.text()) == 99U);
    body.routes["another"] = route_text(1000);
    body.routes.erase("r-8");
    BOOST_TEST(sequence.build_next(body.text()) == 99U);
    body.routes["r-8"] = body.routes["r-9"];
    body.routes.erase("r-9");
    BOOST_TEST(sequence.build_next(body.text()) == 99U);
    body.services = R"({"a":{"slots":5},"b":{"slots":2}})";
    BOOST_TEST(sequence.build_next(body.text()) == 100U);
    BOOST_TEST(sequence.build_next(body.text(), R"({"failure_domains":{"d1":{"out":true}}})") ==
               100U);
}

// Guards against a reused route that is invalid in the new version, and against failures that
// differ from those of a standalone build.
BOOST_AUTO_TEST_CASE(reused_routes_are_checked_against_the_new_version) {
    version_sequence sequence;
    base_body good = hundred_routes();
    good.routes["split"] =
        R"({"path_prefix":"/s/","split":[{"service":"b","weight":1},{"service":"a","weight":2}]})";
    sequence.build_next(good.text());
    base_body invalid = good;
    invalid.services = R"({"a":{"slots":4}})";
    BOOST_TEST(sequence.build_next(invalid.text()) == 0U);
    BOOST_TEST(sequence.last_failures ==
               "base:1: routes.split.split[0].service: expected the name of a service, found "
               "\"b\"\n");
    invalid = good;
    invalid.services = R"({"b":{"slots":4}})";
    sequence.build_next(invalid.text());
    BOOST_TEST(sequence.last_failures.find("routes.r-99.service") != std::string::npos);
    invalid = good;
    invalid.routes["a-first"] = route_text(7);
    sequence.build_next(invalid.text());
    BOOST_TEST(sequence.last_failures.find("differ from route \"a-first\"") != std::string::npos);
    invalid = good;
    invalid.routes["r-7"] = R"({"path_prefix":"/7/"})";
    sequence.build_next(invalid.text());
    BOOST_TEST(sequence.last_failures != "");
    BOOST_TEST(sequence.build_next(good.text()) == 101U);
}

// Guards against routes changed by one overlay that are reused with another one.
BOOST_AUTO_TEST_CASE(routes_of_overlays_are_not_reused) {
    version_sequence sequence;
    std::string body = hundred_routes().text();
    sequence.build_next(body);
    BOOST_TEST(sequence.build_next(body, "routes: {r-7: {service: b}, r-8: !remove}\n") == 0U);
    BOOST_TEST(sequence.build_next(body) == 0U);
    BOOST_TEST(sequence.build_next(body) == 100U);
    BOOST_TEST(sequence.build_next(body, "routes: {r-7: {service: c}}\n") == 0U);
    BOOST_TEST(sequence.build_next(body, "[") == 0U);
    BOOST_TEST(sequence.build_next(body, "keys: {}") == 0U);
}

// Guards against splitting text that is not JSON, or that YAML and JSON interpret differently.
BOOST_AUTO_TEST_CASE(only_json_documents_are_split) {
    version_sequence sequence;
    std::string json = hundred_routes().text();
    std::string yaml = json;
    yaml.replace(yaml.find("\"fleet\":"), 8, "fleet: ");
    BOOST_TEST(sequence.build_next(yaml) == 0U);
    BOOST_TEST(sequence.build_next(yaml) == 0U);
    BOOST_TEST(sequence.build_next(json) == 0U);
    BOOST_TEST(sequence.build_next(yaml) == 0U);
    BOOST_TEST(sequence.build_next(json) == 0U);
    BOOST_TEST(sequence.build_next(json + "\n") == 100U);
    for (const std::string& invalid :
         {json + "}", json.substr(0, json.size() - 1), std::string("[]"),
          json + std::string(document_bytes_max, ' ')}) {
        BOOST_TEST(sequence.build_next(invalid) == 0U);
        BOOST_TEST(sequence.last_failures != "");
    }
    std::string repeated = json;
    repeated.insert(repeated.find("\"r-50\""), "\"r-7\":" + route_text(7) + ",");
    sequence.build_next(repeated);
    BOOST_TEST(sequence.last_failures == "base:1: routes.r-7: expected each key once in a map\n");
}

}  // namespace trefoil::config
