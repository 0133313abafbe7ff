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

std::size_t append_header(char* data, std::size_t size, std::size_t count, void* target) {
    std::string line(data, size * count);
    std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        std::size_t first = line.find_first_not_of(' ', colon + 1);
        std::size_t last = line.find_last_not_of("\r\n ");
        static_cast<http_reply*>(target)->headers[name] =
            first <= last ? line.substr(first, last - first + 1) : "";
    }
    return size * count;
}

std::string error_class(CURLcode code) {
    switch (code) {
        case CURLE_OK:
            return "";
        case CURLE_COULDNT_CONNECT:
            return "refused";
        case CURLE_OPERATION_TIMEDOUT:
            return "timeout";
        default:
            return "reset";
    }
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
    curl_easy_reset(this->handle);
    curl_slist* headers = curl_slist_append(nullptr, "Expect:");
    for (const std::string& header : call.headers) {
        headers = curl_slist_append(headers, header.c_str());
    }
    curl_easy_setopt(this->handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(this->handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(this->handle, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(this->handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(this->handle, CURLOPT_PROXY, "");
    curl_easy_setopt(this->handle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    curl_easy_setopt(this->handle, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(this->handle, CURLOPT_WRITEDATA, &reply);
    curl_easy_setopt(this->handle, CURLOPT_HEADERFUNCTION, append_header);
    curl_easy_setopt(this->handle, CURLOPT_HEADERDATA, &reply);
    curl_easy_setopt(this->handle, CURLOPT_FRESH_CONNECT, call.fresh_connection ? 1L : 0L);
    curl_easy_setopt(this->handle, CURLOPT_FORBID_REUSE, call.fresh_connection ? 1L : 0L);
    if (call.method != "GET") {
        curl_easy_setopt(this->handle, CURLOPT_POSTFIELDS, call.body.data());
        curl_easy_setopt(this->handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
    }
    reply.error = error_class(curl_easy_perform(this->handle));
    curl_easy_getinfo(this->handle, CURLINFO_RESPONSE_CODE, &reply.status);
    curl_slist_free_all(headers);
    return reply;
}

}  // namespace trefoil::testing
