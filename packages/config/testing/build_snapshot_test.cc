// Tests of the merge and the validation of documents.

#define BOOST_TEST_MODULE config_build_snapshot
#include "config/build_snapshot.h"

#include <boost/test/unit_test.hpp>

#include "base/base64.h"
#include "base/hash.h"

namespace trefoil::config {

namespace {

const std::string base_body = R"(fleet: {max_instances: 12}
services:
  station: {slots: 12, timeout_ms: 900, objective: {availability: 0.999, latency_ms: 250}}
  dosing: {slots: 4}
routes:
  readings:
    path_prefix: /station/
    methods: [HEAD, GET]
    service: station
  orders: {path_prefix: /dosing/, service: dosing, when_unconfirmed: serve}
workspaces:
  north: {rate: 50, burst: 20}
keys:
  north-1:
    workspace: north
    sha256: "BA7816BF8F01CFEA414140DE5DAE2223B00361A396177A9CB410FF61F20015AD"
failure_domains:
  d1: {}
  d2: {out: true}
)";

document base_with(const std::string& body) {
    return make_document("base", 7, body);
}

document overlay_with(const std::string& body) {
    return make_document("site/north", 3, body);
}

// Returns the descriptions of all failures, one per line.
std::string failures_of(const std::string& base, const std::string& overlay = "") {
    auto outcome = build_snapshot(base_with(base), overlay_with(overlay));
    std::string texts;
    if (auto* failures = std::get_if<validation_failures>(&outcome)) {
        for (const validation_failure& each : *failures) {
            texts += describe(each) + "\n";
        }
    }
    return texts;
}

// Requires a valid pair; on failure the test output shows all validation failures.
snapshot build_valid(const std::string& base, const std::string& overlay = "") {
    BOOST_TEST_REQUIRE(failures_of(base, overlay) == "");
    return std::get<snapshot>(build_snapshot(base_with(base), overlay_with(overlay)));
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    std::size_t position = text.find(from);
    BOOST_TEST_REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

// Returns the packed digests of keys.
std::string pack(const std::vector<std::string>& keys) {
    std::string bytes;
    for (const std::string& key : keys) {
        sha256_digest digest = sha256(key);
        bytes.append(digest.begin(), digest.end());
    }
    return encode_base64(bytes);
}

// Returns `base_body` with packed keys of two workspaces.
std::string with_packed_keys(const std::string& north, const std::string& south) {
    return replaced(base_body, "north: {rate: 50, burst: 20}",
                    "north: {rate: 50, burst: 20, key_digests: \"" + north +
                        "\"}\n  south: {rate: unlimited, key_digests: \"" + south + "\"}");
}

void expect_failure(const std::string& from, const std::string& to, const std::string& expected) {
    BOOST_TEST(failures_of(replaced(base_body, from, to)) == expected + "\n");
}

}  // namespace

// Guards against values that are assigned to the wrong field, and against wrong defaults.
BOOST_AUTO_TEST_CASE(valid_document_fills_snapshot) {
    snapshot built = build_valid(base_body);
    BOOST_TEST(built.base_revision() == 7U);
    BOOST_TEST(built.overlay_revision() == 3U);
    BOOST_TEST(built.fleet().max_instances == 12U);
    BOOST_TEST(built.find_service("station")->timeout.count() == 900);
    BOOST_TEST(built.find_service("station")->objective->latency.count() == 250);
    BOOST_TEST(built.find_service("dosing")->timeout.count() == 2000);
    BOOST_TEST(built.find_workspace("north")->rate == 50);
    BOOST_TEST(built.is_taken_out("station-1", "d2"));
    BOOST_TEST(!built.is_taken_out("station-1", "d1"));
    BOOST_TEST(!built.is_taken_out("station-1", "unlisted"));
    const route& orders = *std::get<const route*>(built.find_route("POST", "/dosing/1"));
    BOOST_TEST(orders.name == "orders");
    BOOST_TEST(!orders.idempotent_for("POST"));
    BOOST_TEST(orders.idempotent_for("GET"));
    BOOST_TEST((orders.when_unconfirmed == unconfirmed_policy::serve));
}

// Guards against keys that are not accepted because their digests are compared case-sensitively,
// and against a key that is accepted without being listed.
BOOST_AUTO_TEST_CASE(workspace_is_found_by_digest_of_key) {
    snapshot built = build_valid(base_body);
    BOOST_TEST(built.find_workspace_by_digest(sha256_hex("abc"))->name == "north");
    BOOST_TEST(built.find_workspace_by_digest(sha256_hex("abd")) == nullptr);
    BOOST_TEST(built.find_workspace_by_digest("") == nullptr);
}

// Guards against a copied snapshot that refers to the destroyed original.
BOOST_AUTO_TEST_CASE(copied_snapshot_is_independent) {
    auto original = std::make_unique<snapshot>(build_valid(base_body));
    snapshot copy = *original;
    BOOST_TEST((copy == *original));
    original.reset();
    BOOST_TEST(std::get<const route*>(copy.find_route("GET", "/station/1"))->service == "station");
    BOOST_TEST(copy.find_workspace_by_digest(sha256_hex("abc"))->burst == 20);
}

// Guards against an overlay that replaces a whole entry instead of one field, that merges lists, or
// that cannot remove a key.
BOOST_AUTO_TEST_CASE(overlay_merges_maps_replaces_lists_and_removes_keys) {
    snapshot built = build_valid(base_body, R"(
services: {station: {slots: 6, objective: !remove}}
routes:
  readings: {methods: [POST]}
  orders: !remove
  absent: !remove
  extra: {path_prefix: /x/, service: dosing, idempotent: !remove}
failure_domains: {d1: {out: true}}
instances: {station-3: {out: true}}
)");
    BOOST_TEST(built.find_service("station")->slots == 6U);
    BOOST_TEST(built.find_service("station")->timeout.count() == 900);
    BOOST_TEST(!built.find_service("station")->objective.has_value());
    BOOST_TEST(
        (built.find_route("GET", "/station/1") == route_lookup(method_not_allowed{{"POST"}})));
    BOOST_TEST((built.find_route("GET", "/dosing/1") == route_lookup(no_route{})));
    BOOST_TEST(std::get<const route*>(built.find_route("GET", "/x/1"))->name == "extra");
    BOOST_TEST(built.is_failure_domain_out("d1"));
    BOOST_TEST(built.is_instance_out("station-3"));
}

// Guards against sites with different values of one fleet-wide limit.
BOOST_AUTO_TEST_CASE(overlay_must_not_change_fleet_wide_sections) {
    BOOST_TEST(failures_of(base_body, "keys: {}\nfleet: !remove\nworkspaces: {a: 1}\n")
                   .find("site/north:2: fleet: expected in the base document only") !=
               std::string::npos);
    BOOST_TEST(failures_of(base_body, "keys: {}\n") ==
               "site/north:1: keys: expected in the base document only, because the section is "
               "fleet-wide\n");
}

// Guards against a misspelt failure domain in an overlay, which would silently have no effect.
BOOST_AUTO_TEST_CASE(overlay_must_name_known_failure_domains) {
    BOOST_TEST(failures_of(base_body, "\nfailure_domains: {d11: {out: true}}\n") ==
               "site/north:2: failure_domains.d11: expected the name of a failure domain that the "
               "base document lists\n");
}

// Guards against a failure that names the base document for a value of the overlay.
BOOST_AUTO_TEST_CASE(failure_names_the_document_of_the_value) {
    BOOST_TEST(failures_of(base_body, "services:\n  station:\n    slots: 0\n") ==
               "site/north:3: services.station.slots: expected an integer from 1 to 100000, found "
               "\"0\"\n");
    BOOST_TEST(failures_of(base_body, "services: {dosing: !remove}\n") ==
               "base:10: routes.orders.service: expected the name of a service, found "
               "\"dosing\"\n");
}

// Guards against invalid values that are accepted, replaced by defaults or reported without their
// location.
BOOST_AUTO_TEST_CASE(invalid_values_are_reported_with_location) {
    expect_failure("slots: 4", "slots: 4, slot: 5",
                   "base:4: services.dosing.slot: unknown field, expected one of slots, "
                   "timeout_ms, queue, objective, health_path, max_connections, cold");
    expect_failure("slots: 4", "slots: \"4\"",
                   "base:4: services.dosing.slots: expected an integer from 1 to 100000, found a "
                   "quoted text");
    expect_failure("slots: 4", "queue: 4",
                   "base:4: services.dosing.slots: missing field, expected an integer");
    expect_failure("service: station", "service: statoin",
                   "base:9: routes.readings.service: expected the name of a service, found "
                   "\"statoin\"");
    expect_failure("[HEAD, GET]", "[HEAD, get]",
                   "base:8: routes.readings.methods[1]: expected a method in capitals, found "
                   "\"get\"");
    expect_failure("rate: 50", "rate: nan",
                   "base:12: workspaces.north.rate: expected a number from 0.01 to 10000000, found "
                   "\"nan\"");
    expect_failure("when_unconfirmed: serve", "when_unconfirmed: allow",
                   "base:10: routes.orders.when_unconfirmed: expected refuse or serve, found "
                   "\"allow\"");
    expect_failure("out: true", "out: yes",
                   "base:19: failure_domains.d2.out: expected true or false, found \"yes\"");
    expect_failure("/dosing/", "dosing/",
                   "base:10: routes.orders.path_prefix: expected a path that starts with \"/\", "
                   "without spaces, \"?\", \"#\" and dot segments, found \"dosing/\"");
    expect_failure("fleet: {max_instances: 12}", "flee: {max_instances: 12}",
                   "base:1: fleet: missing field, expected a map with max_instances\n"
                   "base:1: flee: unknown field, expected one of version, fleet, "
                   "caller_limits, services, routes, workspaces, keys, failure_domains, "
                   "instances");
}

// Guards against an arbitrary choice between two matching routes, which could bypass the key check.
BOOST_AUTO_TEST_CASE(routes_must_not_overlap) {
    expect_failure("path_prefix: /dosing/", "path_prefix: /station/",
                   "base:10: routes.orders.path_prefix: expected a path prefix and methods that "
                   "differ from route \"readings\"");
}

// Guards against YAML features that hide a value or let a small body expand without bound.
BOOST_AUTO_TEST_CASE(yaml_that_hides_values_is_rejected) {
    expect_failure("d1: {}", "d2: {}",
                   "base:19: failure_domains.d2: expected each key once in a map");
    BOOST_TEST(failures_of("a: &x 1\nb: *x\n") ==
               "base:1: a: expected a value; anchors are not allowed\n"
               "base:2: b: expected a value; aliases are not allowed\n");
    BOOST_TEST(failures_of("a: !remove\n") ==
               "base:1: a: expected a value; !remove is allowed in overlays only\n");
    BOOST_TEST(failures_of(base_body, "routes: [!remove]\n") ==
               "site/north:1: routes[0]: expected !remove as the whole value of a key\n");
    BOOST_TEST(failures_of("a: 1\n---\nb: 2\n") == "base:3: expected one YAML document\n");
    BOOST_TEST(failures_of("a: [1\n").find("base:2: expected valid YAML") == 0U);
    BOOST_TEST(failures_of("[]\n") ==
               "base:1: expected a map of sections, found a value of another type\n");
    BOOST_TEST(failures_of(std::string(100000, '[')) != "");
    BOOST_TEST(failures_of(std::string(document_bytes_max + 1, '#')) ==
               "base:1: expected a document of at most 1 MiB\n");
}

// Guards against an API key or digest in a message that is logged or shown.
BOOST_AUTO_TEST_CASE(failures_never_show_keys_or_digests) {
    const std::string digest = sha256_hex("abc");
    const std::string bodies[] = {
        "keys: {north-1: {workspace: " + digest + ", sha256: '" + digest + "0'}}",
        "keys: {" + digest + ": {workspace: a, sha256: x}}",
        "keys: {north-1: {" + digest + ": x}, north-2: " + digest + "}",
        "keys: {north-1: {" + digest + ": x, " + digest + ": y}}",
        "keys: {" + digest + ": {workspace: a, sha256: '" + digest +
            "'}, b: {workspace: a, sha256: '" + digest + "'}}",
        "keys: {north-1: " + digest + ": }\n: [" + digest,
        "\"services: {}\nkeys: {north-1: {workspace: a, sha256: " + digest + "}}\": 1",
        "fleet: {max_instances: a\n  keys north-1 " + digest + "}",
    };
    for (const std::string& body : bodies) {
        std::string texts = failures_of(body);
        BOOST_TEST(!texts.empty());
        BOOST_TEST(texts.find(digest) == std::string::npos);
    }
}

// Guards against a document whose failures exhaust the memory of every daemon.
BOOST_AUTO_TEST_CASE(number_of_failures_is_bounded) {
    std::string body = "services:\n";
    for (int i = 0; i < 1000; ++i) {
        body += "  s" + std::to_string(i) + ": {slots: 0}\n";
    }
    auto outcome = build_snapshot(base_with(body), overlay_with(""));
    auto& failures = std::get<validation_failures>(outcome);
    BOOST_TEST(failures.size() == reported_failures_max);
    BOOST_TEST(where(failures.front()).line == 1);
    BOOST_TEST(where(failures.back()).path == "services.s198.slots");
}

// Guards against a revoked API key that remains valid through a second id.
BOOST_AUTO_TEST_CASE(digest_must_be_unique) {
    BOOST_TEST(failures_of(base_body + R"(instances: {}
)")
                   .empty());
    std::string twice =
        replaced(base_body, "keys:\n",
                 "keys:\n  north-0: {workspace: north, sha256: \"" + sha256_hex("abc") + "\"}\n");
    BOOST_TEST(failures_of(twice) ==
               "base:17: keys.north-1.sha256: expected a digest that differs from key "
               "\"north-0\"\n");
}

// Guards against packed keys that are dropped or given to another workspace.
BOOST_AUTO_TEST_CASE(packed_keys_belong_to_their_workspace) {
    snapshot built = build_valid(with_packed_keys(pack({"one", "two"}), pack({"three"})));
    BOOST_TEST(built.find_workspace_by_digest(sha256_hex("one"))->name == "north");
    BOOST_TEST(built.find_workspace_by_digest(sha256_hex("two"))->name == "north");
    BOOST_TEST(built.find_workspace_by_digest(sha256_hex("three"))->name == "south");
    BOOST_TEST(built.find_workspace_by_digest(sha256_hex("abc"))->name == "north");
    BOOST_TEST(built.find_workspace_by_digest(sha256_hex("four")) == nullptr);
    BOOST_TEST(built.contents().workspaces.at("north").key_digests.size() == 2U);
}

// Guards against a key that gives access to an arbitrary one of two workspaces, and against a
// failure that shows a digest.
BOOST_AUTO_TEST_CASE(invalid_packed_keys_are_rejected_without_showing_them) {
    const std::string shared = pack({"one"});
    BOOST_TEST(
        failures_of(with_packed_keys(shared, shared)) ==
        "base:1: workspaces.south.key_digests: expected digests that differ from those of the "
        "other keys of workspace \"north\"\n");
    BOOST_TEST(!failures_of(with_packed_keys(pack({"abc"}), "")).empty());
    for (const std::string& invalid : {shared.substr(4), std::string("%%%%"), shared + "A"}) {
        std::string texts = failures_of(with_packed_keys(invalid, ""));
        BOOST_TEST(texts.find("workspaces.north.key_digests: expected SHA-256 digests") !=
                   std::string::npos);
        BOOST_TEST(texts.find(invalid) == std::string::npos);
    }
}

}  // namespace trefoil::config
