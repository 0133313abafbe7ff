// Reads documents over HTTP with libcurl:
// `GET /documents/<name>?after=<revision>&wait_ms=<milliseconds>`.
//
// Example:
//
//     platform::http_configuration_service service({.url = "http://127.0.0.1:5000"});
//     platform::read_result answer = service.read({.name = "instances"});

#ifndef TREFOIL_PLATFORM_HTTP_CONFIGURATION_SERVICE_H_
#define TREFOIL_PLATFORM_HTTP_CONFIGURATION_SERVICE_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "platform/configuration_service.h"

namespace trefoil::platform {

struct http_configuration_service_options {
    std::string url;  // Without a slash at the end.
    std::chrono::milliseconds connect_timeout{1000};
    // Limit of one call beyond the wait that it asks for.
    std::chrono::milliseconds response_timeout{2000};
    // The platform's documents are at most 1 MB; a larger response is refused as unavailable.
    std::size_t max_body_bytes = 1U << 20U;
};

class http_configuration_service final : public configuration_service {
public:
    explicit http_configuration_service(http_configuration_service_options settings);
    ~http_configuration_service() override;
    http_configuration_service(const http_configuration_service&) = delete;
    http_configuration_service& operator=(const http_configuration_service&) = delete;

    read_result read(const read_request& request) override;

    struct call_counts {
        std::uint64_t started = 0;
        std::uint64_t unavailable = 0;
        std::uint64_t body_bytes = 0;

        friend bool operator==(const call_counts&, const call_counts&) = default;
    };
    call_counts counts() const;

    // Ends calls that wait and makes later calls return unavailable, for shutdown. Takes at most a
    // second to reach a waiting call, the interval at which libcurl asks.
    void stop() { this->stopping.store(true); }

private:
    // A libcurl easy handle; it keeps its connection open between calls.
    class handle;

    std::unique_ptr<handle> take_handle();
    void return_handle(std::unique_ptr<handle> used);
    read_result perform(handle& connection, const read_request& request);

    const http_configuration_service_options options;
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> started{0};
    std::atomic<std::uint64_t> failed{0};
    std::atomic<std::uint64_t> received_bytes{0};
    absl::Mutex mutex;
    // Handles that no call uses; guarded by mutex. As many exist as calls ever ran at once.
    std::vector<std::unique_ptr<handle>> idle;
};

}  // namespace trefoil::platform

#endif  // TREFOIL_PLATFORM_HTTP_CONFIGURATION_SERVICE_H_
