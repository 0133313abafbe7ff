// Tests of the daemon's settings.

#define BOOST_TEST_MODULE daemon_settings
#include "daemon/settings.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>

namespace trefoil::daemon {

namespace {

const std::string complete = R"(instance: station-1
failure_domain: d1
site: north
service: station
listen: {callers: "0.0.0.0:8001", peers: "127.0.0.1:7001", admin: "[::1]:9001"}
upstream: "127.0.0.1:6001"
platform: "http://127.0.0.1:5000/"
seeds: ["127.0.0.1:7002"]
fleet_secret: "0123456789abcdef"
log_level: debug
)";

std::string failures_of(const std::string& body) {
    auto outcome = parse_settings("t.yaml", body);
    std::string texts;
    if (auto* failures = std::get_if<settings_failures>(&outcome)) {
        for (const settings_failure& each : *failures) {
            texts += describe(each) + "\n";
        }
    }
    return texts;
}

void expect_failure(const std::string& from, const std::string& to, const std::string& expected) {
    std::string body = complete;
    std::size_t position = body.find(from);
    BOOST_TEST_REQUIRE(position != std::string::npos);
    BOOST_TEST(failures_of(body.replace(position, from.size(), to)) == expected + "\n");
}

// A directory that is removed at the end of the test.
class temporary_directory {
public:
    temporary_directory() {
        std::string pattern = (std::filesystem::temp_directory_path() / "settings-XXXXXX").string();
        BOOST_TEST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
        this->path = pattern;
    }
    ~temporary_directory() { std::filesystem::remove_all(this->path); }
    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;

    std::string write(const std::string& name, const std::string& content) const {
        std::ofstream(this->path / name) << content;
        return (this->path / name).string();
    }

    std::filesystem::path path;
};

}  // namespace

// Guards against a setting that is read into the wrong field.
BOOST_AUTO_TEST_CASE(complete_settings_are_read) {
    BOOST_TEST_REQUIRE(failures_of(complete) == "");
    settings read = std::get<settings>(parse_settings("t.yaml", complete));
    BOOST_TEST(read.instance == "station-1");
    BOOST_TEST(read.failure_domain == "d1");
    BOOST_TEST(read.site == "north");
    BOOST_TEST(read.service == "station");
    BOOST_TEST(read.listen.callers.text() == "0.0.0.0:8001");
    BOOST_TEST(read.listen.peers.port == 7001);
    BOOST_TEST(read.listen.admin.text() == "[::1]:9001");
    BOOST_TEST(read.upstream.text() == "127.0.0.1:6001");
    BOOST_TEST(read.platform == "http://127.0.0.1:5000");
    BOOST_TEST(read.seeds.at(0).text() == "127.0.0.1:7002");
    BOOST_TEST(read.fleet_secret == "0123456789abcdef");
    BOOST_TEST((read.log_level == log_level::debug));
}

// Guards against a daemon that starts with an invalid setting, and against an error message that
// does not name the field, the value and what is allowed.
BOOST_AUTO_TEST_CASE(invalid_settings_are_reported_in_one_line) {
    const std::string address =
        "expected an IP address with a port, such as 127.0.0.1:6001 or "
        "[::1]:6001, found ";
    expect_failure("127.0.0.1:6001", "localhost:6001",
                   "t.yaml:6: upstream: " + address + "\"localhost:6001\"");
    expect_failure("127.0.0.1:6001", "127.0.0.1:0",
                   "t.yaml:6: upstream: " + address + "\"127.0.0.1:0\"");
    expect_failure("127.0.0.1:7002", "::1:70000",
                   "t.yaml:8: seeds[0]: " + address + "\"::1:70000\"");
    expect_failure("peers: \"127.0.0.1:7001\"", "peers: \"0.0.0.0:7001\"",
                   "t.yaml:5: listen.peers: expected an address that peers can connect to, found "
                   "\"0.0.0.0:7001\"");
    expect_failure("[::1]:9001", "127.0.0.1:7001",
                   "t.yaml:5: listen.admin: expected an address that no other listener uses, found "
                   "\"127.0.0.1:7001\"");
    expect_failure("http://127.0.0.1:5000/", "127.0.0.1:5000",
                   "t.yaml:7: platform: expected a URL that starts with http:// or https://, "
                   "without query, found \"127.0.0.1:5000\"");
    expect_failure("log_level: debug", "log_level: verbose",
                   "t.yaml:10: log_level: expected debug, info, warning, error or off, found "
                   "\"verbose\"");
    expect_failure("site: north\n", "", "t.yaml:1: site: missing field, expected a name");
    expect_failure("site: north", "site: a/b",
                   "t.yaml:3: site: expected a name of 1 to 64 letters, digits, dots, hyphens and "
                   "underscores that starts with a letter or digit, found \"a/b\"");
    expect_failure("seeds:", "platform_value_bytes: 1023\nseeds:",
                   "t.yaml:8: platform_value_bytes: expected an integer from 1024 to 268435456, "
                   "found \"1023\"");
    expect_failure("seeds:", "memory_mb: 0.5\nseeds:",
                   "t.yaml:8: memory_mb: expected a number from 1 to 10000000, found \"0.5\"");
    expect_failure("seeds:", "max_descriptors: many\nseeds:",
                   "t.yaml:8: max_descriptors: expected an integer from 1 to 16777216, "
                   "found \"many\"");
    expect_failure("seeds:", "seed:",
                   "t.yaml:8: seed: unknown field, expected one of instance, name, "
                   "failure_domain, site, service, listen, upstream, platform, platform_protocol, "
                   "platform_value_bytes, platform_followers, platform_followers_min_domain, "
                   "memory_mb, max_descriptors, regions, stop, limits, "
                   "retries, domain_overflow, seeds, fleet_secret, "
                   "fleet_secret_file, trust_network, "
                   "log_level");
    expect_failure("log_level: debug", R"(log_level: "a\nb")",
                   R"(t.yaml:10: log_level: expected debug, info, warning, error or off, found )"
                   R"("a\x0ab")");
    BOOST_TEST(failures_of("- a\n") == "t.yaml:1: expected a map, found a list\n");
}

// Guards against a secret that is too short to be safe, and against an error message that contains
// the secret.
BOOST_AUTO_TEST_CASE(short_secret_is_rejected_and_never_shown) {
    expect_failure("0123456789abcdef", "short",
                   "t.yaml:9: fleet_secret: expected a secret of at least 16 characters");
    expect_failure("fleet_secret: \"0123456789abcdef\"\n", "",
                   "t.yaml:1: fleet_secret: missing field, expected either fleet_secret or "
                   "fleet_secret_file");
    expect_failure("log_level: debug", "fleet_secret_file: x",
                   "t.yaml:10: fleet_secret: missing field, expected either fleet_secret or "
                   "fleet_secret_file");
}

// Guards against a secret file that is looked up in the working directory, and against a line end
// that becomes part of the secret, which then differs from that of other daemons.
BOOST_AUTO_TEST_CASE(secret_file_is_relative_to_the_settings_file) {
    temporary_directory directory;
    std::string body = complete;
    body.replace(body.find("fleet_secret: \"0123456789abcdef\""), 32,
                 "fleet_secret_file: fleet.secret");
    std::string path = directory.write("t.yaml", body);
    auto missing = load_settings(path);
    auto& failure = std::get<unreadable_file>(std::get<settings_failures>(missing).at(0));
    BOOST_TEST(failure.field == "fleet_secret_file");
    BOOST_TEST(failure.detail == "No such file or directory");
    directory.write("fleet.secret", "fedcba9876543210\n");
    BOOST_TEST(std::get<settings>(load_settings(path)).fleet_secret == "fedcba9876543210");
    BOOST_TEST(!succeeded(load_settings(directory.path.string())));
    BOOST_TEST(!succeeded(load_settings((directory.path / "absent.yaml").string())));
}

// Guards against a process that is killed while requests are in progress, whose callers then get no
// response.
BOOST_AUTO_TEST_CASE(the_drain_limit_keeps_a_stop_within_the_total_limit) {
    using std::chrono::milliseconds;
    auto stop_of = [](const std::string& text) {
        return std::get<settings>(parse_settings("t.yaml", complete + "stop: " + text + "\n")).stop;
    };
    stop_settings platform = stop_of("{within_s: 6}");
    BOOST_CHECK(platform.announce + platform.drain_limit() < milliseconds(6000));
    BOOST_CHECK(platform.drain_limit() >= milliseconds(3000));
    BOOST_CHECK(stop_of("{within_s: 0.25}").drain_limit() == milliseconds(0));
    BOOST_CHECK(stop_of("{limit_ms: 1000, within_s: 20}").drain_limit() == milliseconds(1000));
    BOOST_CHECK(stop_of("{limit_ms: 9000}").drain_limit() == milliseconds(9000));
    BOOST_TEST(failures_of(complete + "stop: {within_s: -1}\n") != "");
}

// Guards against results that a slow machine cannot send at the end of a stop although most of the
// total limit is left.
BOOST_AUTO_TEST_CASE(the_flush_limit_grows_with_the_remaining_time) {
    using std::chrono::milliseconds;
    stop_settings platform{.total_limit = milliseconds(6000)};
    BOOST_CHECK(platform.flush_limit(milliseconds(2500)) == milliseconds(1000));
    BOOST_CHECK(platform.flush_limit(milliseconds(5200)) == milliseconds(500));
    BOOST_CHECK(platform.flush_limit(milliseconds(6000)) == milliseconds(50));
    BOOST_CHECK(stop_settings{}.flush_limit(milliseconds(62'000)) == milliseconds(1000));
}

// Guards against a size that is cut off or wraps around.
BOOST_AUTO_TEST_CASE(value_sizes_are_checked) {
    BOOST_TEST(parse_value_bytes("1048576").value() == 1048576U);
    for (const char* invalid : {"", "1023", "268435457", "4294968320", "-1", "1e6", "2048 "}) {
        BOOST_TEST(!parse_value_bytes(invalid).has_value(), invalid);
    }
}

// Guards against a daemon that does not start where a deployment leaves out some of the values that
// the template of its settings refers to.
BOOST_AUTO_TEST_CASE(optional_settings_without_a_value_have_their_defaults) {
    const std::string empty = complete +
                              "limits: {window_s: , overage: , slack: }\n"
                              "retries: {share: , slack: , minimum_per_second: }\n"
                              "domain_overflow:\n"
                              "stop: {within_s: }\n"
                              "memory_mb:\nmax_descriptors:\n"
                              "platform_followers:\n";
    BOOST_TEST_REQUIRE(failures_of(empty) == "");
    BOOST_CHECK(std::get<settings>(parse_settings("t.yaml", empty)) ==
                std::get<settings>(parse_settings("t.yaml", complete)));
    BOOST_TEST(failures_of(complete + "limits: {slack: x}\n") != "");
}

// Guards against a daemon that does not start because of the size of a number that the platform
// states, and against a number of the wrong kind that is accepted.
BOOST_AUTO_TEST_CASE(numbers_of_the_platform_are_limited_to_the_nearest_bound) {
    auto read = [](const std::string& section) {
        return std::get<settings>(parse_settings("t.yaml", complete + section));
    };
    BOOST_TEST(read("retries: {share: 2.5, slack: 20}\n").retries.share == 1);
    BOOST_TEST(read("retries: {slack: 1e9}\n").retries.slack == 1e6);
    BOOST_TEST(read("limits: {overage: 3}\n").limits.overage == 1);
    BOOST_CHECK(read("limits: {window_s: 0.5}\n").limits.window == std::chrono::seconds(1));
    settings stop = read("stop: {within_s: 3600}\n");
    BOOST_CHECK(stop.stop.total_limit == std::chrono::seconds(600));
    BOOST_REQUIRE(stop.adjustments.size() == 1U);
    BOOST_TEST(stop.adjustments[0].path == "stop.within_s");
    BOOST_TEST(read("stop: {within_s: 6}\n").adjustments.empty());
    std::string named = complete;
    named.replace(named.find("service: station"), 16, "service: \"order desk\"");
    BOOST_TEST(std::get<settings>(parse_settings("t.yaml", named)).service == "order desk");
    for (const char* invalid : {"retries: {share: -1}\n", "limits: {slack: many}\n",
                                "limits: {window_s: nan}\n", "stop: {within_s: [6]}\n"}) {
        BOOST_TEST(failures_of(complete + invalid) != "", invalid);
    }
    BOOST_TEST(nearest_size("268435457", {1'024, 1U << 28U}).value() == std::size_t{1} << 28U);
    BOOST_TEST(nearest_size("0.5", memory_mb_limits).value() == 1U);
    for (const char* invalid : {"", "-1", "many", "nan", "2048 "}) {
        BOOST_TEST(!nearest_size(invalid, memory_mb_limits).has_value(), invalid);
    }
}

BOOST_AUTO_TEST_CASE(domain_overflow_is_off_unless_its_section_is_present) {
    auto parsed = [](const std::string& section) {
        return std::get<settings>(parse_settings("t.yaml", complete + section)).domain_overflow;
    };
    BOOST_TEST(!parsed("").has_value());
    BOOST_CHECK(parsed("domain_overflow: {}\n") == domain_overflow_settings{});
    BOOST_CHECK(parsed("domain_overflow: {floor: , limit: 0.5}\n") ==
                (domain_overflow_settings{.floor = 0, .limit = 0.5}));
    BOOST_TEST(failures_of(complete + "domain_overflow: {limit: 1.5}\n") ==
               "t.yaml:11: domain_overflow.limit: expected a number from 0 to 1, found \"1.5\"\n");
    BOOST_TEST(failures_of(complete + "domain_overflow: {floor: 0.4, limit: 0.2}\n") ==
               "t.yaml:11: domain_overflow.floor: expected a number that is not above limit, found "
               "\"0.4\"\n");
    BOOST_TEST(failures_of(complete + "domain_overflow: {share: 1}\n") != "");
}

}  // namespace trefoil::daemon
