// Reads documents over HTTP with libcurl:
// `GET /documents/<name>?after=<revision>&wait_ms=<milliseconds>`.
//
// Example:
//
//     source::http_configuration_service service({.url = "http://127.0.0.1:5000"});
//     source::read_result answer = service.read({.name = "instances"});

#ifndef TREFOIL_SOURCE_HTTP_CONFIGURATION_SERVICE_H_
#define TREFOIL_SOURCE_HTTP_CONFIGURATION_SERVICE_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "source/configuration_service.h"
#include "source/http_client.h"

namespace trefoil::source {

struct http_configuration_service_options {
    std::string url;  // Base URL without a trailing slash.
    std::chrono::milliseconds connect_timeout{1000};
    // Timeout of one call in addition to its wait and `connect_timeout`.
    std::chrono::milliseconds response_timeout{2000};
    // The platform's documents are at most 1 MB; a larger response is unavailable.
    std::size_t max_body_bytes = 1U << 20U;
};

class http_configuration_service final : public configuration_service {
public:
    explicit http_configuration_service(http_configuration_service_options settings);

    read_result read(const read_request& request) override;
    void stop() override { this->client.stop(); }

    call_counts calls() const override;

private:
    read_result perform(const read_request& request);

    const http_configuration_service_options options;
    std::atomic<std::uint64_t> started{0};
    std::atomic<std::uint64_t> failed{0};
    http_client client;
};

}  // namespace trefoil::source

#endif  // TREFOIL_SOURCE_HTTP_CONFIGURATION_SERVICE_H_
