// Implements the protocol of a configuration service that publishes whole documents.

#include "source/http_configuration_service.h"

#include <fmt/format.h>

#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace trefoil::source {

namespace {

constexpr std::string_view revision_header = "Revision";
constexpr long status_ok = 200;
constexpr long status_not_modified = 304;
constexpr long status_not_found = 404;

std::optional<std::uint64_t> revision_of(const http_response& answer) {
    std::string value = answer.header(revision_header).value_or("");
    std::uint64_t revision = 0;
    auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), revision);
    if (error != std::errc() || end != value.data() + value.size()) {
        return std::nullopt;
    }
    return revision;
}

// Percent-encodes every byte of a document name that is neither unreserved nor a slash (RFC 3986).
std::string encode_name(std::string_view name) {
    std::string encoded;
    for (char c : name) {
        bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                     c == '-' || c == '.' || c == '_' || c == '~' || c == '/';
        if (plain) {
            encoded.push_back(c);
        } else {
            encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
        }
    }
    return encoded;
}

read_result interpret(const read_request& request, http_response answer) {
    if (answer.status == status_not_found) {
        return absent{};
    }
    if (answer.status != status_ok && answer.status != status_not_modified) {
        return unavailable{.detail = fmt::format("status {}", answer.status)};
    }
    auto revision = revision_of(answer);
    if (!revision.has_value()) {
        return unavailable{.detail = "the response has no valid header Revision"};
    }
    if (answer.status == status_not_modified) {
        return unchanged{.revision = *revision};
    }
    if (*revision <= request.after) {
        return unavailable{
            .detail = fmt::format("revision {} is not greater than {}", *revision, request.after)};
    }
    return document{.revision = *revision, .body = std::move(answer.body)};
}

}  // namespace

http_configuration_service::http_configuration_service(http_configuration_service_options settings)
    : options(std::move(settings)),
      client({.connect_timeout = this->options.connect_timeout,
              .max_body_bytes = this->options.max_body_bytes}) {}

read_result http_configuration_service::read(const read_request& request) {
    this->started.fetch_add(1);
    read_result answer = this->perform(request);
    if (std::holds_alternative<unavailable>(answer)) {
        this->failed.fetch_add(1);
    }
    return answer;
}

read_result http_configuration_service::perform(const read_request& request) {
    std::string url = fmt::format("{}/documents/{}?after={}&wait_ms={}", this->options.url,
                                  encode_name(request.name), request.after, request.wait.count());
    auto timeout = request.wait + this->options.connect_timeout + this->options.response_timeout;
    auto outcome = this->client.get(url, timeout);
    if (auto* failure = std::get_if<http_failure>(&outcome)) {
        return unavailable{.detail = std::move(failure->detail)};
    }
    auto& answer = std::get<http_response>(outcome);
    return interpret(request, std::move(answer));
}

call_counts http_configuration_service::calls() const {
    return {.started = this->started, .failed = this->failed};
}

}  // namespace trefoil::source
