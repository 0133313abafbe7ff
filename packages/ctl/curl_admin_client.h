// Fetches admin endpoints in parallel with libcurl.

#ifndef TREFOIL_CTL_CURL_ADMIN_CLIENT_H_
#define TREFOIL_CTL_CURL_ADMIN_CLIENT_H_

#include <chrono>
#include <string>
#include <vector>

#include "ctl/admin_client.h"

namespace trefoil::ctl {

struct curl_admin_options {
    std::chrono::milliseconds timeout{3000};  // Per endpoint, including connection setup.
};

class curl_admin_client final : public admin_client {
public:
    explicit curl_admin_client(curl_admin_options options);
    ~curl_admin_client() override;

    std::vector<admin_outcome> fetch(const std::vector<std::string>& addresses,
                                     const std::string& target) override;

private:
    curl_admin_options options;
};

}  // namespace trefoil::ctl

#endif  // TREFOIL_CTL_CURL_ADMIN_CLIENT_H_
