// Implements the binding to a configuration service that publishes whole documents.

#include "daemon/platform_binding.h"

#include "source/http_configuration_service.h"

namespace trefoil::daemon {

platform_binding bind_documents(const settings& given) {
    return {.service = std::make_unique<source::http_configuration_service>(
                source::http_configuration_service_options{
                    .url = given.platform, .max_body_bytes = given.platform_value_bytes}),
            .max_document_bytes = given.platform_value_bytes};
}

}  // namespace trefoil::daemon
