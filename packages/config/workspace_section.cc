// Reads and validates the sections `workspaces` and `keys`.

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>

#include "base/base64.h"
#include "config/redaction.h"
#include "config/section_context.h"

namespace trefoil::config::detail {

namespace {

void read_rate(section_context& context, map_reader& entry, workspace& each) {
    yaml_field rate = entry.required("rate", "a number");
    each.limited = !section_context::is_word(rate, "unlimited");
    if (!each.limited) {
        return;
    }
    yaml_field burst = entry.required("burst", "a number");
    each.rate = read_number(rate, rate_limits, context.sink).value_or(rate_limits.min);
    each.burst = read_number(burst, burst_limits, context.sink).value_or(burst_limits.min);
}

// Returns the digests sorted and unique. The packed form takes a third of the space of entries of
// the section `keys`, and a configuration may contain more than a hundred thousand keys.
std::vector<sha256_digest> read_key_digests(section_context& context, const yaml_field& field) {
    constexpr std::string_view expected = "SHA-256 digests, concatenated and encoded in base64";
    std::vector<sha256_digest> digests;
    auto text = read_text(field, expected, context.sink);
    if (!text) {
        return digests;
    }
    auto bytes = decode_base64(*text);
    if (!bytes || bytes->size() % sha256_bytes != 0) {
        reject_value(field, expected, context.sink);
        return digests;
    }
    digests.resize(bytes->size() / sha256_bytes);
    for (std::size_t i = 0; i < digests.size(); ++i) {
        std::copy_n(bytes->begin() + static_cast<std::ptrdiff_t>(i * sha256_bytes), sha256_bytes,
                    digests[i].begin());
    }
    if (!std::is_sorted(digests.begin(), digests.end())) {
        std::sort(digests.begin(), digests.end());
    }
    digests.erase(std::unique(digests.begin(), digests.end()), digests.end());
    digests.shrink_to_fit();
    return digests;
}

void read_workspaces(section_context& context) {
    yaml_field section = context.sections.optional("workspaces");
    context.for_each_entry(section, [&context](const std::string& name, map_reader& entry) {
        workspace each{.name = name};
        read_rate(context, entry, each);
        each.priority = context.read_priority(entry.optional("priority"));
        each.regions = context.read_names(entry.optional("regions"), "a list of names of regions");
        each.key_digests = read_key_digests(context, entry.secret("key_digests"));
        context.contents.workspaces.emplace(name, std::move(each));
    });
}

std::string read_workspace_reference(section_context& context, const yaml_field& field) {
    auto name = read_text(field, "the name of a workspace", context.sink);
    if (name && !context.contents.workspaces.contains(*name)) {
        context.reject_reference(field, "the name of a workspace");
    }
    return name.value_or("");
}

// Returns the digest in lower case, or an empty text if it is invalid.
std::string read_digest(section_context& context, const yaml_field& field) {
    constexpr std::string_view expected = "the SHA-256 digest of a key as 64 hex digits";
    std::string text = read_text(field, expected, context.sink).value_or("");
    bool digits = std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
    });
    bool is_scalar = field.value != nullptr && field.value->kind == yaml_kind::scalar;
    if (is_scalar && (!digits || text.size() != digest_hex_digits)) {
        reject_value(field, expected, context.sink);
        return "";
    }
    for (char& c : text) {
        c = c >= 'A' && c <= 'F' ? static_cast<char>(c - 'A' + 'a') : c;
    }
    return text;
}

// An API key with two ids would stay valid after one of them was revoked.
void check_unique_digest(section_context& context, const access_key& added, const yaml_field& field,
                         std::map<std::string, std::string>& id_by_digest) {
    if (added.sha256.empty()) {
        return;
    }
    auto [entry, inserted] = id_by_digest.emplace(added.sha256, added.id);
    if (!inserted) {
        std::string other = is_key_id(entry->second) ? entry->second : "<hidden>";
        context.sink.emplace_back(conflicting_entries{
            field.where(), fmt::format("a digest that differs from key \"{}\"", other)});
    }
}

void read_keys(section_context& context) {
    yaml_field section = context.sections.optional("keys");
    section.secret = true;
    std::map<std::string, std::string> id_by_digest;
    for (const yaml_field& field : read_entries(section, context.sink)) {
        std::string id(field.name);
        if (!is_key_id(id)) {
            context.reject_key(field, "a key id: a name without 32 or more hex digits in a row");
        }
        map_reader entry(field, context.sink);
        access_key each{.id = id};
        each.workspace = read_workspace_reference(context, entry.required("workspace", "a name"));
        yaml_field digest = entry.required("sha256", "64 hex digits");
        each.sha256 = read_digest(context, digest);
        entry.reject_unknown();
        check_unique_digest(context, each, digest, id_by_digest);
        context.contents.keys.emplace(id, std::move(each));
    }
}

}  // namespace

void read_workspaces_and_keys(section_context& context) {
    read_workspaces(context);
    read_keys(context);
}

}  // namespace trefoil::config::detail
