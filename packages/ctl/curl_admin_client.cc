// Implements parallel admin requests with a libcurl multi handle.

#include "ctl/curl_admin_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

namespace trefoil::ctl {

namespace {

// Upper limit for response bodies. A daemon's status lists up to a few thousand members and stays
// well below it.
constexpr std::size_t max_body_bytes = 16U << 20U;
constexpr std::size_t max_parallel_transfers = 64;
constexpr int poll_timeout_ms = 100;

using easy_handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using multi_handle = std::unique_ptr<CURLM, decltype(&curl_multi_cleanup)>;

struct transfer {
    easy_handle handle{nullptr, &curl_easy_cleanup};
    std::string body;
    CURLcode code = CURLE_FAILED_INIT;  // Set when the transfer completes.
};

std::size_t append_body(char* data, std::size_t size, std::size_t count, void* target) {
    auto* body = static_cast<std::string*>(target);
    std::size_t bytes = size * count;
    if (body->size() + bytes > max_body_bytes) {
        return 0;  // libcurl aborts the transfer with CURLE_WRITE_ERROR.
    }
    body->append(data, bytes);
    return bytes;
}

void prepare_transfer(transfer& each, const std::string& url, std::chrono::milliseconds timeout) {
    each.handle.reset(curl_easy_init());
    CURL* handle = each.handle.get();
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    // Bypasses any HTTP proxy that is set in the environment.
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &append_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &each.body);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &each);
}

void collect_finished(CURLM* multi) {
    int remaining = 0;
    while (CURLMsg* message = curl_multi_info_read(multi, &remaining)) {
        if (message->msg == CURLMSG_DONE) {
            char* target = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &target);
            reinterpret_cast<transfer*>(target)->code = message->data.result;
        }
    }
}

void run_transfers(CURLM* multi) {
    int running = 1;
    while (running > 0) {
        if (curl_multi_perform(multi, &running) != CURLM_OK) {
            return;
        }
        collect_finished(multi);
        if (running > 0) {
            curl_multi_poll(multi, nullptr, 0, poll_timeout_ms, nullptr);
        }
    }
}

admin_outcome to_outcome(transfer& each) {
    if (each.code != CURLE_OK) {
        return unreachable_endpoint{curl_easy_strerror(each.code)};
    }
    long status = 0;
    curl_easy_getinfo(each.handle.get(), CURLINFO_RESPONSE_CODE, &status);
    if (status != 200) {
        return unexpected_status{status};
    }
    return std::move(each.body);
}

void fetch_batch(const std::vector<std::string>& urls, std::chrono::milliseconds timeout,
                 std::vector<admin_outcome>& outcomes) {
    // Declared before the multi handle, which must be destroyed first.
    std::vector<transfer> transfers(urls.size());
    multi_handle multi(curl_multi_init(), &curl_multi_cleanup);
    for (std::size_t i = 0; i < urls.size(); ++i) {
        prepare_transfer(transfers[i], urls[i], timeout);
        curl_multi_add_handle(multi.get(), transfers[i].handle.get());
    }
    run_transfers(multi.get());
    for (transfer& each : transfers) {
        outcomes.push_back(to_outcome(each));
        curl_multi_remove_handle(multi.get(), each.handle.get());
    }
}

}  // namespace

curl_admin_client::curl_admin_client(curl_admin_options chosen) : options(chosen) {
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

curl_admin_client::~curl_admin_client() {
    curl_global_cleanup();
}

std::vector<admin_outcome> curl_admin_client::fetch(const std::vector<std::string>& addresses,
                                                    const std::string& target) {
    // Requests are sent in batches to limit the number of open sockets. libcurl's own connection
    // limit is not used because the timeout of queued transfers would already be running.
    std::vector<admin_outcome> outcomes;
    for (std::size_t start = 0; start < addresses.size(); start += max_parallel_transfers) {
        std::size_t end = std::min(start + max_parallel_transfers, addresses.size());
        std::vector<std::string> urls;
        for (std::size_t i = start; i < end; ++i) {
            urls.push_back("http://" + addresses[i] + target);
        }
        fetch_batch(urls, this->options.timeout, outcomes);
    }
    return outcomes;
}

}  // namespace trefoil::ctl
