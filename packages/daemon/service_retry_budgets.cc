// Implements the retry budgets per service.

#include "daemon/service_retry_budgets.h"

namespace trefoil::daemon {

std::shared_ptr<routing::retry_budget> service_retry_budgets::budget_for(const std::string& service,
                                                                         mono_time now) {
    // An attempt arrives up to 0.3 s after its retry decision, so a window of 10 s of arrivals may
    // contain the retries decided in 10.3 s.
    constexpr double sustained_fraction = 0.97;
    retry_settings retries = this->shared.settings.read()->retries;
    auto view = this->shared.members.read();
    this->fleet.observe(view == nullptr ? 0 : view->listed().size() + view->unlisted().size(), now);
    return this->budgets.update(service, [&](std::shared_ptr<routing::retry_budget>& slot) {
        if (slot == nullptr) {
            slot = std::make_shared<routing::retry_budget>(
                routing::retry_budget_options{.share = retries.share,
                                              .sustained_fraction = sustained_fraction,
                                              .minimum_per_second = retries.minimum_per_second});
        }
        slot->set_slack(this->fleet.share_of(retries.slack, now), now);
        return slot;
    });
}

std::map<std::string, service_retry_budgets::state> service_retry_budgets::states(mono_time now) {
    std::map<std::string, state> all;
    this->budgets.for_each(
        [&](const std::string& service, const std::shared_ptr<routing::retry_budget>& each) {
            all[service] = {.window = each->window(now), .totals = each->totals()};
        });
    return all;
}

}  // namespace trefoil::daemon
