// Implements reading and checking of settings with the YAML readers of the config package.

#include "daemon/settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <limits>
#include <optional>
#include <sstream>
#include <utility>

#include "config/document.h"
#include "config/field_reader.h"
#include "config/yaml_node.h"

namespace trefoil::daemon {

namespace {

constexpr std::size_t secret_characters_min = 16;
constexpr std::uint32_t milliseconds_max = 600'000;
constexpr std::uint32_t retries_max = 100'000;
constexpr std::uint32_t followers_max = 1'000;
constexpr std::uint32_t min_domain_max = 100'000;
constexpr std::uint32_t upstreams_max = 100'000;
// The platform states the values of these.
constexpr config::value_range<double> stop_seconds_limits{0, 600};
constexpr config::value_range<double> window_seconds_limits{1, 600};
constexpr config::value_range<double> share_limits{0, 1};
constexpr config::value_range<double> slack_limits{0, 1e6};  // Requests.
constexpr std::string_view expected_address =
    "an IP address with a port, such as 127.0.0.1:6001 or [::1]:6001";
constexpr std::string_view expected_secret = "a secret of at least 16 characters";

result<std::string, unreadable_file> read_file(const std::string& path, std::string_view field) {
    errno = 0;
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    // An empty file inserts nothing, which sets the failure bit of `content` without an error.
    bool readable = file.is_open() && !std::filesystem::is_directory(path);
    if (readable) {
        content << file.rdbuf();
    }
    if (!readable || file.bad()) {
        const char* detail = errno == 0 ? "not a readable file" : std::strerror(errno);
        return unreadable_file{path, std::string(field), detail};
    }
    return content.str();
}

class settings_reader {
public:
    settings_reader(std::string settings_path, const config::yaml_node& root)
        : path(std::move(settings_path)), fields(config::root_field(root), this->invalid) {}

    result<settings, settings_failures> read() {
        this->parsed.instance = this->read_name("instance");
        this->parsed.name =
            config::read_entry_name(optional(this->fields, "name"), "a name", this->invalid)
                .value_or(this->parsed.instance);
        this->parsed.failure_domain = this->read_entry_name("failure_domain");
        this->parsed.site = this->read_name("site");
        this->parsed.service = this->read_entry_name("service");
        this->read_listen();
        this->parsed.upstream =
            this->read_address(this->fields.required("upstream", expected_address));
        this->read_platform();
        this->read_platform_protocol();
        this->parsed.platform_value_bytes =
            config::read_integer(optional(this->fields, "platform_value_bytes"), value_bytes_limits,
                                 this->invalid)
                .value_or(this->parsed.platform_value_bytes);
        this->parsed.platform_followers =
            config::read_integer(optional(this->fields, "platform_followers"), 0, followers_max,
                                 this->invalid)
                .value_or(this->parsed.platform_followers);
        this->parsed.platform_followers_min_domain =
            config::read_integer(optional(this->fields, "platform_followers_min_domain"), 0,
                                 min_domain_max, this->invalid)
                .value_or(this->parsed.platform_followers_min_domain);
        auto memory = config::read_number(optional(this->fields, "memory_mb"), memory_mb_limits,
                                          this->invalid);
        this->parsed.memory_mb = memory ? static_cast<std::size_t>(*memory) : 0;
        this->parsed.max_descriptors =
            config::read_integer(optional(this->fields, "max_descriptors"), descriptors_limits,
                                 this->invalid)
                .value_or(this->parsed.max_descriptors);
        this->read_regions();
        this->read_stop();
        this->read_limits();
        this->read_retries();
        this->read_domain_overflow();
        this->read_seeds();
        this->read_secret();
        this->read_log_level();
        this->fields.reject_unknown();
        return this->finish();
    }

private:
    // Returns an optional setting. Without a value it has its default, because templates of
    // settings leave a field empty that the deployment does not define.
    static config::yaml_field optional(config::map_reader& map, std::string_view name) {
        config::yaml_field field = map.optional(name);
        if (field.value != nullptr && field.value->kind == config::yaml_kind::null) {
            field.value = nullptr;
        }
        return field;
    }

    std::string read_name(std::string_view name) {
        config::yaml_field field = this->fields.required(name, "a name");
        return config::read_name(field, "a name", this->invalid).value_or("");
    }

    // Reads a name that is also one of an entry of the configuration.
    std::string read_entry_name(std::string_view name) {
        config::yaml_field field = this->fields.required(name, "a name");
        return config::read_entry_name(field, "a name", this->invalid).value_or("");
    }

    socket_address read_address(const config::yaml_field& field) {
        auto text = config::read_text(field, expected_address, this->invalid);
        if (!text) {
            return {};
        }
        std::optional<socket_address> address = parse_socket_address(*text);
        if (!address) {
            config::reject_value(field, expected_address, this->invalid);
        }
        return address.value_or(socket_address{});
    }

    void read_listen() {
        config::map_reader map(this->fields.required("listen", "callers, peers and admin"),
                               this->invalid);
        config::yaml_field callers = map.required("callers", expected_address);
        config::yaml_field peers = map.required("peers", expected_address);
        config::yaml_field admin = map.required("admin", expected_address);
        listen_addresses& listen = this->parsed.listen;
        listen.callers = this->read_address(callers);
        listen.peers = this->read_address(peers);
        listen.admin = this->read_address(admin);
        map.reject_unknown();
        if (peers.value != nullptr && listen.peers.is_unspecified()) {
            config::reject_value(peers, "an address that peers can connect to", this->invalid);
        }
        this->reject_duplicate(peers, listen.peers, {listen.callers});
        this->reject_duplicate(admin, listen.admin, {listen.callers, listen.peers});
    }

    void reject_duplicate(const config::yaml_field& field, const socket_address& address,
                          const std::vector<socket_address>& others) {
        bool valid = address.port != 0;
        bool duplicate = std::find(others.begin(), others.end(), address) != others.end();
        if (valid && duplicate) {
            config::reject_value(field, "an address that no other listener uses", this->invalid);
        }
    }

    void read_platform() {
        constexpr std::string_view expected =
            "a URL that starts with http:// or https://, without query";
        config::yaml_field field = this->fields.required("platform", expected);
        std::optional<std::string> text = config::read_text(field, expected, this->invalid);
        if (!text) {
            return;
        }
        while (text->ends_with('/')) {
            text->pop_back();
        }
        bool has_scheme = text->starts_with("http://") || text->starts_with("https://");
        std::size_t host = text->find("://") + 3;
        bool has_host = has_scheme && host < text->size() && (*text)[host] != ':';
        bool plain = std::all_of(text->begin(), text->end(), [](char c) {
            return c > ' ' && c != 0x7f && c != '?' && c != '#' && c != '@';
        });
        if (!has_host || !plain) {
            config::reject_value(field, expected, this->invalid);
        }
        this->parsed.platform = std::move(*text);
    }

    void read_platform_protocol() {
        config::yaml_field field = optional(this->fields, "platform_protocol");
        if (auto name = config::read_name(field, "a name", this->invalid)) {
            this->parsed.platform_protocol = std::move(*name);
        }
    }

    void read_regions() {
        config::yaml_field section = optional(this->fields, "regions");
        for (const config::yaml_field& field : config::read_entries(section, this->invalid)) {
            if (auto region =
                    config::read_entry_name(field, "the name of a region", this->invalid)) {
                this->parsed.regions.emplace(field.name, std::move(*region));
            }
        }
    }

    void read_stop() {
        config::map_reader map(optional(this->fields, "stop"), this->invalid);
        stop_settings& stop = this->parsed.stop;
        stop.announce = this->read_milliseconds(optional(map, "announce_ms"), stop.announce);
        stop.limit = this->read_milliseconds(optional(map, "limit_ms"), stop.limit);
        auto total_limit =
            this->read_nearest(optional(map, "within_s"), "stop.within_s", stop_seconds_limits);
        if (total_limit) {
            stop.total_limit = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::duration<double>(*total_limit));
        }
        map.reject_unknown();
    }

    void read_limits() {
        config::map_reader map(optional(this->fields, "limits"), this->invalid);
        admission::limit_tolerance& limits = this->parsed.limits;
        auto window =
            this->read_nearest(optional(map, "window_s"), "limits.window_s", window_seconds_limits);
        if (window) {
            limits.window = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::duration<double>(*window));
        }
        limits.overage =
            this->read_nearest(optional(map, "overage"), "limits.overage", share_limits)
                .value_or(limits.overage);
        limits.slack = this->read_nearest(optional(map, "slack"), "limits.slack", slack_limits)
                           .value_or(limits.slack);
        map.reject_unknown();
    }

    void read_retries() {
        config::map_reader map(optional(this->fields, "retries"), this->invalid);
        retry_settings& retries = this->parsed.retries;
        retries.share = this->read_nearest(optional(map, "share"), "retries.share", share_limits)
                            .value_or(retries.share);
        retries.slack = this->read_nearest(optional(map, "slack"), "retries.slack", slack_limits)
                            .value_or(retries.slack);
        retries.minimum_per_second =
            config::read_integer(optional(map, "minimum_per_second"), 0, retries_max, this->invalid)
                .value_or(retries.minimum_per_second);
        map.reject_unknown();
    }

    void read_domain_overflow() {
        config::yaml_field section = optional(this->fields, "domain_overflow");
        if (section.value == nullptr) {
            return;
        }
        config::map_reader map(section, this->invalid);
        domain_overflow_settings& overflow = this->parsed.domain_overflow.emplace();
        config::yaml_field floor = optional(map, "floor");
        overflow.floor = config::read_number(floor, 0, 1, this->invalid).value_or(overflow.floor);
        overflow.limit = config::read_number(optional(map, "limit"), 0, 1, this->invalid)
                             .value_or(overflow.limit);
        overflow.min_upstreams =
            config::read_integer(optional(map, "min_upstreams"), 0, upstreams_max, this->invalid)
                .value_or(overflow.min_upstreams);
        map.reject_unknown();
        if (floor.value != nullptr && overflow.floor > overflow.limit) {
            config::reject_value(floor, "a number that is not above limit", this->invalid);
        }
    }

    // Reads a number that the platform states. A daemon that did not start because of its size
    // would serve nobody, so the nearest bound replaces a number out of range.
    std::optional<double> read_nearest(const config::yaml_field& field, const char* name,
                                       config::value_range<double> limits) {
        constexpr double any_size = std::numeric_limits<double>::max();
        config::validation_failures not_a_size;
        auto stated = config::read_number(field, 0, any_size, not_a_size);
        if (!stated) {
            return config::read_number(field, limits, this->invalid);
        }
        double nearest = std::clamp(*stated, limits.min, limits.max);
        if (nearest != *stated) {
            this->parsed.adjustments.push_back(
                {.path = name, .found = field.value->text, .used = fmt::to_string(nearest)});
        }
        return nearest;
    }

    std::chrono::milliseconds read_milliseconds(const config::yaml_field& field,
                                                std::chrono::milliseconds fallback) {
        auto value = config::read_integer(field, 0, milliseconds_max, this->invalid);
        return value ? std::chrono::milliseconds(*value) : fallback;
    }

    void read_seeds() {
        config::yaml_field field = optional(this->fields, "seeds");
        for (const auto& element : config::read_list(field, "a list of addresses", this->invalid)) {
            this->parsed.seeds.push_back(this->read_address(element));
        }
    }

    void read_secret() {
        if (!this->fields.is_map()) {
            return;
        }
        config::yaml_field text = this->fields.secret("fleet_secret");
        config::yaml_field file = optional(this->fields, "fleet_secret_file");
        auto trusted = config::read_boolean(optional(this->fields, "trust_network"), this->invalid);
        if (trusted.value_or(false) && text.value == nullptr && file.value == nullptr) {
            return;
        }
        bool has_text = text.value != nullptr;
        bool has_file = file.value != nullptr;
        if (has_text == has_file) {
            config::location where{this->path, has_file ? file.value->line : 1, "fleet_secret"};
            this->invalid.emplace_back(config::missing_field{
                std::move(where), "either fleet_secret or fleet_secret_file"});
        } else if (has_text) {
            this->set_secret(text,
                             config::read_text(text, expected_secret, this->invalid).value_or(""));
        } else if (auto name = config::read_text(file, "the path of a file", this->invalid)) {
            this->read_secret_file(file, *name);
        }
    }

    void read_secret_file(const config::yaml_field& field, const std::string& name) {
        std::filesystem::path location = std::filesystem::path(this->path).parent_path() / name;
        auto outcome = read_file(location.string(), "fleet_secret_file");
        if (auto* failure = std::get_if<unreadable_file>(&outcome)) {
            this->unreadable.push_back(std::move(*failure));
            return;
        }
        std::string secret = std::get<std::string>(std::move(outcome));
        // Editors append a line end that is not part of the secret.
        while (secret.ends_with('\n') || secret.ends_with('\r')) {
            secret.pop_back();
        }
        this->set_secret(field, std::move(secret));
    }

    void set_secret(const config::yaml_field& field, std::string secret) {
        bool is_scalar = field.value->kind == config::yaml_kind::scalar;
        if (is_scalar && secret.size() < secret_characters_min) {
            config::reject_value(field, expected_secret, this->invalid);
        }
        this->parsed.fleet_secret = std::move(secret);
    }

    void read_log_level() {
        constexpr std::string_view expected = "debug, info, warning, error or off";
        config::yaml_field field = optional(this->fields, "log_level");
        auto text = config::read_text(field, expected, this->invalid);
        std::optional<trefoil::log_level> level = parse_log_level(text.value_or("info"));
        if (!level) {
            config::reject_value(field, expected, this->invalid);
        }
        this->parsed.log_level = level.value_or(trefoil::log_level::info);
    }

    result<settings, settings_failures> finish() {
        settings_failures failures(this->invalid.begin(), this->invalid.end());
        failures.insert(failures.end(), this->unreadable.begin(), this->unreadable.end());
        if (!failures.empty()) {
            return failures;
        }
        return std::move(this->parsed);
    }

    std::string path;
    config::validation_failures invalid;
    std::vector<unreadable_file> unreadable;
    config::map_reader fields;  // Refers to `invalid`.
    settings parsed;
};

}  // namespace

result<settings, settings_failures> parse_settings(const std::string& path, std::string body) {
    config::document source = config::make_document(path, 0, std::move(body));
    auto tree = config::read_yaml(source, {});
    if (auto* failures = std::get_if<config::validation_failures>(&tree)) {
        return settings_failures(failures->begin(), failures->end());
    }
    return settings_reader(path, std::get<config::yaml_node>(tree)).read();
}

std::chrono::milliseconds stop_settings::drain_limit() const {
    if (this->total_limit.count() == 0) {
        return this->limit;
    }
    auto left = this->total_limit - this->announce - shutdown_reserve;
    return std::clamp(left, std::chrono::milliseconds(0), this->limit);
}

std::chrono::milliseconds stop_settings::flush_limit(mono_duration elapsed) const {
    // Peers acknowledge the close within a few round trips, each of which may take long on a busy
    // machine.
    constexpr std::chrono::milliseconds longest{1000};
    constexpr std::chrono::milliseconds shortest{50};
    if (this->total_limit.count() == 0) {
        return longest;
    }
    auto left = this->total_limit - shutdown_reserve -
                std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
    return std::clamp(left, shortest, longest);
}

result<settings, settings_failures> load_settings(const std::string& path) {
    auto body = read_file(path, "");
    if (auto* failure = std::get_if<unreadable_file>(&body)) {
        return settings_failures{std::move(*failure)};
    }
    return parse_settings(path, std::get<std::string>(std::move(body)));
}

namespace {

// Returns nothing unless the whole text is a number between the bounds.
template <class Number>
std::optional<Number> parse_number(std::string_view text, config::value_range<Number> limits) {
    Number value{};
    const char* end = text.data() + text.size();
    auto [rest, error] = std::from_chars(text.data(), end, value);
    bool valid = error == std::errc() && rest == end && value >= limits.min && value <= limits.max;
    return valid ? std::optional(value) : std::nullopt;
}

}  // namespace

std::optional<std::size_t> parse_value_bytes(std::string_view text) {
    return parse_number(text, value_bytes_limits);
}

std::optional<std::size_t> parse_memory_mb(std::string_view text) {
    auto megabytes = parse_number(text, memory_mb_limits);
    return megabytes ? std::optional(static_cast<std::size_t>(*megabytes)) : std::nullopt;
}

std::optional<std::size_t> parse_max_descriptors(std::string_view text) {
    return parse_number(text, descriptors_limits);
}

std::optional<std::size_t> nearest_size(std::string_view text, config::value_range<double> limits) {
    auto size = parse_number<double>(text, {0, std::numeric_limits<double>::max()});
    return size ? std::optional(static_cast<std::size_t>(std::clamp(*size, limits.min, limits.max)))
                : std::nullopt;
}

std::string describe(const settings_failure& failure) {
    return std::visit(overloaded{
                          [](const unreadable_file& f) {
                              std::string field = f.field.empty() ? "" : f.field + ": ";
                              return fmt::format("{}expected a readable file, found \"{}\" ({})",
                                                 field, f.path, f.detail);
                          },
                          [](const config::validation_failure& f) { return config::describe(f); },
                      },
                      failure);
}

}  // namespace trefoil::daemon
