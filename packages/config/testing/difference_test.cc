// Tests of the comparison and the rendering of snapshots.

#define BOOST_TEST_MODULE config_difference
#include "config/difference.h"

#include <boost/test/unit_test.hpp>

#include "base/hash.h"
#include "config/render.h"

namespace trefoil::config {

namespace {

snapshot_contents make_contents() {
    snapshot_contents contents;
    contents.services["s"] = service{.name = "s", .slots = 2};
    contents.routes = route_table({route{.name = "r", .path_prefix = "/r/", .service = "s"}});
    contents.workspaces["w"] = workspace{.name = "w", .rate = 50, .burst = 20};
    contents.keys["k"] = access_key{.id = "k", .workspace = "w", .sha256 = sha256_hex("old")};
    contents.failure_domain_out = {{"d1", false}};
    return contents;
}

std::string lines(const snapshot_contents& before, const snapshot_contents& after) {
    std::string text;
    for (const difference& each : compare(snapshot(before), snapshot(after))) {
        text += describe(each) + "\n";
    }
    return text;
}

}  // namespace

// Guards against a change that is not shown, and against a digest that is shown.
BOOST_AUTO_TEST_CASE(changes_are_shown_without_digests) {
    snapshot_contents after = make_contents();
    after.base.revision = 8;
    after.fleet.max_instances = 9;
    after.services["t"] = service{.name = "t"};
    after.routes = route_table({route{
        .name = "r", .path_prefix = "/r/", .methods = {"GET"}, .service = "s", .open = true}});
    after.workspaces["w"].rate = 60.5;
    after.keys["k"].sha256 = sha256_hex("new");
    after.keys["k2"] = access_key{.id = "k2", .workspace = "w", .sha256 = sha256_hex("k2")};
    after.failure_domain_out = {{"d2", true}};
    BOOST_TEST(lines(make_contents(), make_contents()) == "");
    BOOST_TEST(lines(make_contents(), after) ==
               "fleet: max_instances 1 -> 9\n"
               "service t: added (slots 1, timeout 2000 ms, queue 64, objective availability none, "
               "objective latency none)\n"
               "route r: methods all -> GET\n"
               "route r: open false -> true\n"
               "workspace w: rate 50 -> 60.5\n"
               "key k: digest changed\n"
               "key k2: added (workspace w)\n"
               "failure domain d1: removed (out false)\n"
               "failure domain d2: added (out true)\n");
}

// Guards against replaced packed keys that are not shown, and against their digests being shown.
BOOST_AUTO_TEST_CASE(changes_of_packed_keys_are_shown_without_digests) {
    snapshot_contents before = make_contents();
    before.workspaces["w"].key_digests = {sha256("one")};
    snapshot_contents after = make_contents();
    after.workspaces["w"].key_digests = {sha256("two")};
    std::string text = lines(before, after);
    BOOST_TEST(text.starts_with("workspace w: key_digests 1 with checksum "));
    BOOST_TEST(text.find(sha256_hex("two").substr(0, 32)) == std::string::npos);
    BOOST_TEST(lines(make_contents(), after).starts_with("workspace w: key_digests none -> 1 "));
    BOOST_TEST(render(snapshot(after)).find("    key_digests: hidden\n") != std::string::npos);
}

// Guards against a rendered configuration that shows digests.
BOOST_AUTO_TEST_CASE(rendering_hides_digests) {
    std::string text = render(snapshot(make_contents()));
    BOOST_TEST(text.find(sha256_hex("old")) == std::string::npos);
    BOOST_TEST(text.find("    sha256: hidden\n") != std::string::npos);
    BOOST_TEST(text.find("    path_prefix: /r/\n") != std::string::npos);
}

}  // namespace trefoil::config
