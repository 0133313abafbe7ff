// Tests of command-line parsing and of the commands that read document files.

#define BOOST_TEST_MODULE ctl_document_commands
#include <stdlib.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "base/hash.h"
#include "ctl/command_line.h"

namespace trefoil::ctl {

namespace {

class unreachable_client final : public admin_client {
public:
    std::vector<admin_outcome> fetch(const std::vector<std::string>& addresses,
                                     const std::string& /*target*/) override {
        return std::vector<admin_outcome>(addresses.size(), unreachable_endpoint{"none"});
    }
};

// Runs commands on document files in a temporary directory.
struct fixture {
    fixture() {
        std::string pattern = (std::filesystem::temp_directory_path() / "ctl-XXXXXX").string();
        BOOST_TEST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
        this->directory = pattern + "/";
        this->write("base.yaml", base(50, "abc"));
        this->write("north.yaml", "failure_domains: {d1: {out: true}}\n");
        this->write("south.yaml", "services: {station: {slots: 6}}\n");
        this->write("bad.yaml", "services: {station: {slots: 0}}\n");
    }
    ~fixture() { std::filesystem::remove_all(this->directory); }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    static std::string base(int rate, const std::string& key) {
        return "fleet: {max_instances: 12}\nservices: {station: {slots: 12}}\n"
               "routes: {readings: {path_prefix: /station/, service: station}}\n"
               "workspaces: {north: {rate: " +
               std::to_string(rate) +
               ", burst: 20}}\nkeys: {north-1: {workspace: north, sha256: " + sha256_hex(key) +
               "}}\nfailure_domains: {d1: {}}\n";
    }

    std::string write(const std::string& name, const std::string& content) const {
        std::ofstream(this->directory + name) << content;
        return this->directory + name;
    }

    // Resolves arguments that end in ".yaml" in the temporary directory. Returns the exit code.
    int run(std::vector<std::string> arguments) {
        for (std::string& each : arguments) {
            if (each.ends_with(".yaml")) {
                each.insert(0, this->directory);
            }
        }
        std::ostringstream out_stream;
        std::ostringstream error_stream;
        unreachable_client client;
        exit_code code = ctl::run(make_commands(client), arguments, {out_stream, error_stream});
        this->out = this->without_directory(out_stream.str());
        this->error = this->without_directory(error_stream.str());
        return static_cast<int>(code);
    }

    std::string without_directory(std::string text) const {
        for (auto at = text.find(this->directory); at != std::string::npos;
             at = text.find(this->directory)) {
            text.erase(at, this->directory.size());
        }
        return text;
    }

    std::string directory;
    std::string out;
    std::string error;
};

}  // namespace

// Guards against a change that is sent although it has no effect, or another one than intended.
BOOST_FIXTURE_TEST_CASE(check_shows_warnings_and_what_the_document_changes, fixture) {
    this->write("next.yaml", base(60, "abc") + "instances: {}\n");
    BOOST_TEST(this->run({"check", "next.yaml", "--against", "base.yaml"}) == 0);
    BOOST_TEST(this->out.find("change: workspace north: rate 50 -> 60\n") != std::string::npos);
    BOOST_TEST(this->run({"check", "base.yaml", "north.yaml"}) == 0);
    BOOST_TEST(this->error.find("warning: failure domains: all are taken out") !=
               std::string::npos);
    BOOST_TEST(this->run({"check", "base.yaml", "north.yaml", "--strict"}) == 1);
    BOOST_TEST(this->run({"check", "base.yaml", "--strict"}) == 0);
    BOOST_TEST(this->run({"check", "base.yaml", "--against", "absent.yaml"}) == 2);
}

// Guards against a check that accepts an invalid pair or does not name the invalid overlay.
BOOST_FIXTURE_TEST_CASE(check_reports_each_pair, fixture) {
    BOOST_TEST(this->run({"check", "base.yaml"}) == 0);
    BOOST_TEST(this->out == "base.yaml: valid\n");
    BOOST_TEST(this->run({"check", "base.yaml", "north.yaml", "bad.yaml"}) == 1);
    BOOST_TEST(this->out ==
               "base.yaml with north.yaml: valid\n"
               "bad.yaml:1: services.station.slots: expected an integer from 1 to 100000, found "
               "\"0\"\n"
               "base.yaml with bad.yaml: invalid\n");
}

// Guards against a usage error with the exit code of a valid or an invalid document, which a script
// would take for the result of the check.
BOOST_FIXTURE_TEST_CASE(usage_errors_have_their_own_exit_code, fixture) {
    BOOST_TEST(this->run({}) == 2);
    BOOST_TEST(this->run({"chek"}) == 2);
    BOOST_TEST(this->run({"check"}) == 2);
    BOOST_TEST(this->run({"check", "absent.yaml"}) == 2);
    BOOST_TEST(this->error == "trefoilctl: cannot read absent.yaml: No such file or directory\n");
    BOOST_TEST(this->run({"check", "--unknown", "base.yaml"}) == 2);
    BOOST_TEST(this->run({"render", "base.yaml", "north.yaml", "south.yaml"}) == 2);
    BOOST_TEST(this->run({"diff", "base.yaml"}) == 2);
    BOOST_TEST(this->run({"diff", "base.yaml", "base.yaml", "--overlay", "north.yaml"}) == 2);
    BOOST_TEST(this->run({"status"}) == 2);
    BOOST_TEST(this->run({"status", "--admin", "127.0.0.1:1/x"}) == 2);
    BOOST_TEST(this->run({"explain", "--admin", "127.0.0.1:1"}) == 2);
    BOOST_TEST(this->run({"completion", "fish"}) == 2);
    BOOST_TEST(this->run({"--help"}) == 0);
    BOOST_TEST(this->run({"diff", "--help"}) == 0);
    BOOST_TEST(this->out.find("--overlay") != std::string::npos);
    BOOST_TEST(this->run({"completion", "bash"}) == 0);
}

// Guards against a rendered configuration that ignores the overlay or contains a key digest.
BOOST_FIXTURE_TEST_CASE(render_merges_and_hides_digests, fixture) {
    BOOST_TEST(this->run({"render", "base.yaml", "south.yaml"}) == 0);
    BOOST_TEST(this->out.find("slots: 6\n") != std::string::npos);
    BOOST_TEST(this->out.find(sha256_hex("abc")) == std::string::npos);
    BOOST_TEST(this->run({"render", "base.yaml", "bad.yaml"}) == 1);
    BOOST_TEST(this->out.empty());
}

// Guards against changes that are listed under the wrong site, and against key digests in the
// output.
BOOST_FIXTURE_TEST_CASE(diff_groups_changes_by_site, fixture) {
    this->write("new.yaml", base(60, "def"));
    BOOST_TEST(this->run({"diff", "base.yaml", "base.yaml"}) == 0);
    BOOST_TEST(this->out.empty());
    BOOST_TEST(this->run({"diff", "base.yaml", "new.yaml", "--overlay", "south.yaml", "south.yaml",
                          "--overlay", "-", "north.yaml"}) == 1);
    BOOST_TEST(this->out ==
               "all sites:\n"
               "  workspace north: rate 50 -> 60\n"
               "  key north-1: digest changed\n"
               "site north:\n"
               "  failure domain d1: out false -> true\n");
    BOOST_TEST(this->run({"diff", "base.yaml", "base.yaml", "--overlay", "north.yaml", "-"}) == 1);
    BOOST_TEST(this->out == "site north:\n  failure domain d1: out true -> false\n");
    BOOST_TEST(this->run({"diff", "base.yaml", "new.yaml", "--overlay", "bad.yaml", "-"}) == 1);
    BOOST_TEST(this->error.find("bad.yaml:1: services.station.slots") == 0U);
}

}  // namespace trefoil::ctl
