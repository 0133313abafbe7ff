// Implements the HTTP client on libcurl.

#include "support/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>

namespace trefoil::testing {

namespace {

std::size_t append_body(char* data, std::size_t size, std::size_t count, void* target) {
    static_cast<http_reply*>(target)->body.append(data, size * count);
    return size * count;
}

std::size_t add_header(char* data, std::size_t size, std::size_t count, void* target) {
    std::string line(data, size * count);
    std::size_t colon = line.find(": ");
    if (colon != std::string::npos) {
        std::transform(line.begin(), line.begin() + static_cast<std::ptrdiff_t>(colon),
                       line.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        std::string value = line.substr(colon + 2);
        value.erase(value.find_last_not_of("\r\n") + 1);
        static_cast<http_reply*>(target)->headers[line.substr(0, colon)] = value;
    }
    return size * count;
}

std::string error_class(CURLcode code) {
    return code == CURLE_OK                   ? ""
           : code == CURLE_COULDNT_CONNECT    ? "refused"
           : code == CURLE_OPERATION_TIMEDOUT ? "timeout"
                                              : "reset";
}

}  // namespace

std::string http_reply::header(const std::string& name) const {
    auto found = this->headers.find(name);
    return found == this->headers.end() ? "" : found->second;
}

http_client::http_client() : handle(curl_easy_init()) {}

http_client::~http_client() {
    curl_easy_cleanup(this->handle);
}

http_reply http_client::perform(const http_call& call) {
    http_reply reply;
    auto set = [this](CURLoption option, auto value) {
        curl_easy_setopt(this->handle, option, value);
    };
    curl_easy_reset(this->handle);
    curl_slist* headers = curl_slist_append(nullptr, "Expect:");
    for (const std::string& header : call.headers) {
        headers = curl_slist_append(headers, header.c_str());
    }
    set(CURLOPT_URL, call.url.c_str());
    set(CURLOPT_CUSTOMREQUEST, call.method.c_str());
    set(CURLOPT_HTTPHEADER, headers);
    set(CURLOPT_NOSIGNAL, 1L);
    set(CURLOPT_PROXY, "");
    set(CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    set(CURLOPT_WRITEFUNCTION, append_body);
    set(CURLOPT_WRITEDATA, &reply);
    set(CURLOPT_HEADERFUNCTION, add_header);
    set(CURLOPT_HEADERDATA, &reply);
    set(CURLOPT_FRESH_CONNECT, call.fresh_connection ? 1L : 0L);
    set(CURLOPT_FORBID_REUSE, call.fresh_connection ? 1L : 0L);
    if (call.method != "GET") {
        set(CURLOPT_POSTFIELDS, call.body.data());
        set(CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
    }
    reply.error = error_class(curl_easy_perform(this->handle));
    curl_easy_getinfo(this->handle, CURLINFO_RESPONSE_CODE, &reply.status);
    curl_slist_free_all(headers);
    return reply;
}

}  // namespace trefoil::testing
