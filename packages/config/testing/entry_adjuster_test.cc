// Tests of the adjustment of generated entries. Whether an entry is valid is decided by
// build_snapshot(), as for every document.

#define BOOST_TEST_MODULE config_entry_adjuster
#include "config/entry_adjuster.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/base64.h"
#include "base/hash.h"
#include "base/random.h"
#include "config/build_snapshot.h"
#include "config/entry_name.h"

namespace trefoil::config {

namespace {

using json = nlohmann::json;

const json ordinary_route = {{"host", "one.example"},
                             {"path_prefix", "/a/"},
                             {"idempotent", true},
                             {"timeout_ms", 2000},
                             {"latency_objective_ms", 300},
                             {"priority", 1},
                             {"attempts", 2},
                             {"open", false},
                             {"when_unconfirmed", "serve"},
                             {"regions", {"east"}},
                             {"service", "s1"}};
const json ordinary_service = {{"slots", "listed"},
                               {"health_path", "/healthz"},
                               {"max_connections", 110},
                               {"cold", {{"duration_ms", 3000}, {"rate", 31.0}}}};
const json ordinary_workspace = {{"rate", 149.0}, {"burst", 20.0}, {"priority", 0}};
const json ordinary_limits = {{"max_header_bytes", 16384},
                              {"max_body_bytes", 67108864},
                              {"header_timeout_ms", 3000},
                              {"idle_timeout_ms", 15000}};

// The entries of a document with one entry in each section.
struct entries {
    json route = ordinary_route;
    json service = ordinary_service;
    json workspace = ordinary_workspace;
    json limits = ordinary_limits;
    json version = 7;

    // Returns the text of the document with adjusted entries.
    std::string adjusted(entry_adjuster& adjuster) {
        json document = {{"fleet", {{"max_instances", "listed"}}},
                         {"version", this->version},
                         {"routes", json::object()}};
        adjuster.adjust_version(document);
        adjuster.adjust_service("s1", this->service);
        adjuster.adjust_workspace("t1", this->workspace);
        adjuster.adjust_caller_limits(this->limits);
        document["services"] = {{"s1", this->service}};
        if (adjuster.adjust_route("r1", this->route)) {
            document["routes"]["r1"] = this->route;
            this->add_targets(document["services"]);
        }
        document["workspaces"]["t1"] = this->workspace;
        document["caller_limits"] = this->limits;
        return document.dump();
    }

private:
    // Adds the other services that the route names.
    void add_targets(json& services) const {
        json parts = this->route.value("split", json::array({this->route}));
        for (const json& part : parts) {
            services.emplace(part.value("service", "s1"), json({{"slots", "listed"}}));
        }
    }
};

snapshot build(const std::string& body) {
    auto outcome =
        build_snapshot(make_document("base", 7, body), make_document("site/north", 3, ""));
    if (auto* failures = std::get_if<validation_failures>(&outcome)) {
        BOOST_TEST_REQUIRE(failures->empty(), describe(failures->front()) << " in " << body);
    }
    return std::get<snapshot>(std::move(outcome));
}

snapshot build_adjusted(entries source) {
    entry_adjuster adjuster;
    return build(source.adjusted(adjuster));
}

// Values of all types and sizes that a platform may state.
std::vector<json> unusual_values() {
    constexpr auto any_integer = std::numeric_limits<std::uint64_t>::max();
    std::vector<json> values = {nullptr,
                                true,
                                "",
                                "text",
                                "a b",
                                "a\nb",
                                "/",
                                json::array(),
                                json::object(),
                                json::array({1, "x", nullptr}),
                                json::object({{"x", 1}}),
                                std::string(70'000, 'x'),
                                "/" + std::string(70'000, 'x'),
                                "/../",
                                "/a?b",
                                "host:80",
                                "[::1]",
                                "[::1]:80",
                                "\xc3\xa9",
                                "/\xc3\xa9/"};
    for (double number : {0.0, -1.0, 1e-9, 0.5, 1.0, 1.5, 1001.0, 900'000.0, 1e9, 1e18, 1e300}) {
        values.emplace_back(number);
    }
    for (std::uint64_t number : std::initializer_list<std::uint64_t>{
             0, 1, 512, 1001, 900'000, 86'400'001, 4'294'967'296, any_integer}) {
        values.emplace_back(number);
    }
    values.emplace_back(std::int64_t{-5});
    return values;
}

// Whether an adapter writes the field by itself.
bool is_fixed(std::string_view field) {
    return field == "slots" || field == "when_unconfirmed";
}

const json& pick(const std::vector<json>& values, random_source& random) {
    return values[random.next() % values.size()];
}

// Returns a document in which about a third of the fields have unusual values.
entries random_entries(const std::vector<json>& values, random_source& random) {
    entries source;
    auto change_fields = [&](json& map) {
        for (auto& [name, value] : map.items()) {
            if (!is_fixed(name) && random.next() % 3 == 0) {
                value = pick(values, random);
            }
        }
    };
    if (random.next() % 2 == 0) {
        source.route.erase("service");
        source.route["split"] =
            json::array({{{"service", "s1"}, {"weight", 90}}, {{"service", "s2"}, {"weight", 10}}});
        change_fields(source.route["split"][random.next() % 2]);
    }
    change_fields(source.service["cold"]);
    for (json* each : {&source.route, &source.service, &source.workspace, &source.limits}) {
        change_fields(*each);
    }
    source.version = random.next() % 3 == 0 ? pick(values, random) : json(7);
    return source;
}

std::string pack(const std::vector<std::string>& keys) {
    std::string bytes;
    for (const std::string& key : keys) {
        sha256_digest digest = sha256(key);
        bytes.append(digest.begin(), digest.end());
    }
    return encode_base64(bytes);
}

}  // namespace

// Guards against a change of valid entries, after which daemons of two builds have different
// documents of the same revision.
BOOST_AUTO_TEST_CASE(valid_entries_are_not_changed) {
    entry_adjuster adjuster;
    entries source;
    std::string text = source.adjusted(adjuster);
    BOOST_TEST(adjuster.take().empty());
    BOOST_TEST(text.find(ordinary_route.dump()) != std::string::npos);
    BOOST_TEST(text.find(ordinary_service.dump()) != std::string::npos);
    BOOST_TEST(text.find(ordinary_workspace.dump()) != std::string::npos);
    BOOST_TEST(text.find(ordinary_limits.dump()) != std::string::npos);
}

// Guards against a value of the platform for which the whole version is rejected, so that a key or
// route that it removes stays in use (review case 10).
BOOST_AUTO_TEST_CASE(any_value_of_any_field_leaves_the_document_valid) {
    for (const json& value : unusual_values()) {
        for (json entries::*map :
             {&entries::route, &entries::service, &entries::workspace, &entries::limits}) {
            const json fields = entries().*map;
            for (const auto& [name, unused] : fields.items()) {
                entries source;
                (source.*map)[name] = is_fixed(name) ? unused : value;
                build_adjusted(source);
            }
        }
        for (const char* name : {"duration_ms", "rate"}) {
            entries source;
            source.service["cold"][name] = value;
            build_adjusted(source);
        }
        entries source;
        source.version = value;
        build_adjusted(source);
    }
}

// As above, for several values at once.
BOOST_AUTO_TEST_CASE(any_values_of_several_fields_leave_the_document_valid) {
    const std::vector<json> values = unusual_values();
    seeded_random random(39);
    for (int i = 0; i < 5'000; ++i) {
        build_adjusted(random_entries(values, random));
    }
}

// Guards against a value that is replaced by a default although a nearer one is supported, and
// against a change that nobody is told.
BOOST_AUTO_TEST_CASE(numbers_out_of_range_are_replaced_by_the_nearest_bound) {
    entries source;
    source.route["priority"] = 5'000;
    source.route["attempts"] = 0;
    source.limits["max_header_bytes"] = 512;
    source.limits["idle_timeout_ms"] = 900'000;
    source.workspace["rate"] = 1e-5;
    source.workspace["burst"] = 1e12;
    source.service["max_connections"] = 2.0;
    entry_adjuster adjuster;
    snapshot built = build(source.adjusted(adjuster));
    const route& only = built.contents().routes.routes().at(0);
    BOOST_TEST(only.priority == 1'000U);
    BOOST_TEST(only.attempts.value() == 1U);
    BOOST_TEST(built.caller_limits().max_header_bytes == 1'024U);
    BOOST_TEST((built.caller_limits().idle_timeout == std::chrono::minutes(15)));
    BOOST_TEST(built.find_workspace("t1")->rate == 0.01);
    BOOST_TEST(built.find_workspace("t1")->burst == 1e7);
    BOOST_TEST(built.find_service("s1")->max_connections.value() == 2U);
    std::vector<adjustment> made = adjuster.take();
    BOOST_TEST(made.size() == 6U);
    adjustment priority{.path = "routes.r1.priority", .found = "5000", .used = "1000"};
    BOOST_TEST((std::find(made.begin(), made.end(), priority) != made.end()));
    BOOST_TEST(adjuster.take().empty());
}

// Guards against a split whose parts lose their proportions, and against one that no service
// serves.
BOOST_AUTO_TEST_CASE(weights_out_of_range_keep_their_proportions) {
    auto weights = [](json first, json second) {
        entries source;
        source.route.erase("service");
        source.route["split"] = json::array({{{"service", "s1"}, {"weight", std::move(first)}},
                                             {{"service", "s2"}, {"weight", std::move(second)}}});
        snapshot built = build_adjusted(source);
        std::map<std::string, double> found;
        for (const weighted_service& each : built.contents().routes.routes().at(0).split) {
            found[each.service] = each.weight;
        }
        return found;
    };
    BOOST_TEST(weights(3e12, 1e12)["s1"] == 1);
    BOOST_TEST(weights(3e12, 1e12)["s2"] == 1.0 / 3);
    BOOST_TEST(weights(1e-9, 4e-9)["s1"] == 0.25);
    BOOST_TEST(weights(-3, 2).size() == 1U);
    BOOST_TEST(weights(0, 0)["s1"] == weights(0, 0)["s2"]);
    BOOST_TEST(weights("x", 2).size() == 1U);
}

// Guards against a route that matches more requests than its operators stated.
BOOST_AUTO_TEST_CASE(a_route_that_no_request_can_match_is_left_out) {
    for (const auto& [field, value] :
         std::vector<std::pair<const char*, json>>{{"host", 7},
                                                   {"host", ":80"},
                                                   {"host", "a/b"},
                                                   {"path_prefix", nullptr},
                                                   {"path_prefix", "a/"},
                                                   {"path_prefix", "/a/../"}}) {
        entries source;
        source.route[field] = value;
        entry_adjuster adjuster;
        BOOST_TEST(build(source.adjusted(adjuster)).contents().routes.routes().empty());
        BOOST_TEST(adjuster.take().at(0).path == "routes.r1");
    }
    entries with_port;
    with_port.route["host"] = "One.example:8080";
    BOOST_TEST(build_adjusted(with_port).contents().routes.routes().at(0).host == "one.example");
}

// Guards against a route that is not found because its operators did not state a service.
BOOST_AUTO_TEST_CASE(a_route_without_a_service_refuses_its_requests) {
    for (const json& value : {json(), json(7), json("")}) {
        entries source;
        source.route["service"] = value;
        BOOST_TEST(build_adjusted(source).contents().routes.routes().size() == 1U);
        source.route.erase("service");
        source.route["split"] = value;
        BOOST_TEST(build_adjusted(source).contents().routes.routes().size() == 1U);
    }
}

// Guards against two routes for the same requests, of which one needs no key.
BOOST_AUTO_TEST_CASE(of_overlapping_routes_the_one_that_requires_a_key_stays) {
    const matched_requests open{.host = "a", .path_prefix = "/x/", .open = true};
    const matched_requests closed{.host = "a", .path_prefix = "/x/"};
    const matched_requests other{.host = "b", .path_prefix = "/x/", .open = true};
    using positions = std::set<std::size_t>;
    BOOST_TEST((find_overlaps({&open, &other, &closed}) == positions{0}));
    BOOST_TEST((find_overlaps({&closed, &open, &other, &closed}) == positions{1, 3}));
    BOOST_TEST((find_overlaps({&open, &other}).empty()));
}

// Guards against a key that two workspaces share, for which the whole version is rejected.
BOOST_AUTO_TEST_CASE(a_shared_key_belongs_to_the_first_workspace) {
    const std::string first = pack({"one", "two"});
    const std::string second = pack({"two", "three"});
    const std::string third = pack({"four"});
    auto changed = without_shared_keys({first, "", second, third});
    BOOST_REQUIRE(changed.size() == 1U);
    BOOST_TEST(changed[0].first == 2U);
    BOOST_TEST(changed[0].second == pack({"three"}));
    BOOST_TEST(without_shared_keys({first, third}).empty());
}

// Guards against names that a header field cannot carry, and against two names that become one.
BOOST_AUTO_TEST_CASE(names_are_usable_in_header_fields) {
    for (const char* valid : {"a", "acme corp", "h\xc3\xa9", "a:b/c", "\"quoted\""}) {
        BOOST_TEST(is_entry_name(valid), valid);
        BOOST_TEST(to_entry_name(valid) == valid);
    }
    for (const std::string& invalid :
         {std::string(), std::string(" a"), std::string("a "), std::string("a\nb"),
          std::string("a\x7f"), std::string("\xff"), std::string(2'000, 'x')}) {
        BOOST_TEST(!is_entry_name(invalid));
        BOOST_TEST(is_entry_name(to_entry_name(invalid)));
    }
    BOOST_TEST(to_entry_name("a\nb") != to_entry_name("a\tb"));
}

}  // namespace trefoil::config
