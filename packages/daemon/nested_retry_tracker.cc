// Implements the charging of nested calls to retry budgets.

#include "daemon/nested_retry_tracker.h"

#include <algorithm>
#include <utility>

namespace trefoil::daemon {

namespace {

// Factor applied to estimated probabilities, which may be too low.
constexpr double estimate_margin = 1.1;
// Number of finished runs before the nested calls of a run can be estimated. Until then, one retry
// runs at a time.
constexpr std::uint64_t runs_to_learn = 4;
// The share of the expected nested calls of all reservations that the retry budget must have saved
// when a retry starts. The rest is earned while the retries run; until then, the budget may be
// overdrawn.
constexpr double saved_share_at_start = 0.5;

}  // namespace

nested_retry_tracker::reservation::reservation(nested_retry_tracker& owner,
                                               std::map<std::string, double> held)
    : tracker(owner), calls(std::move(held)) {
    this->tracker.mutex.AssertHeld();
    ++this->tracker.open_reservations;
    for (const auto& [service, count] : this->calls) {
        this->tracker.reserved[service] += count;
    }
}

nested_retry_tracker::reservation::~reservation() {
    absl::MutexLock lock(&this->tracker.mutex);
    --this->tracker.open_reservations;
    for (const auto& [service, count] : this->calls) {
        double& left = this->tracker.reserved[service];
        left = this->tracker.open_reservations == 0 ? 0 : left - count;
    }
}

std::unique_ptr<nested_retry_tracker::reservation> nested_retry_tracker::reserve(
    const std::string& route, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    bool learning = this->attribution.finished_runs() < runs_to_learn;
    auto calls = this->attribution.expected_calls(route);
    if ((learning && this->open_reservations > 0) || !this->budgets_cover(calls, now)) {
        return nullptr;
    }
    return std::make_unique<reservation>(*this, std::move(calls));
}

bool nested_retry_tracker::budgets_cover(const std::map<std::string, double>& calls,
                                         mono_time now) {
    return std::all_of(calls.begin(), calls.end(), [&](const auto& each) {
        const auto& [service, count] = each;
        routing::retry_window budget = this->budgets.budget_for(service, now)->window(now);
        double others = this->reserved[service];
        return std::min(budget.saved, budget.covered) >= saved_share_at_start * (others + count);
    });
}

routing::nested_call_attribution::run_id nested_retry_tracker::begin_run(const std::string& route,
                                                                         double retry_probability,
                                                                         mono_time now) {
    absl::MutexLock lock(&this->mutex);
    return this->attribution.begin_run(route, retry_probability, now);
}

void nested_retry_tracker::end_run(routing::nested_call_attribution::run_id number, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    this->attribution.end_run(number, now);
}

double nested_retry_tracker::count_nested_call(const std::string& service,
                                               std::optional<double> known, mono_time now) {
    double estimated = 0;
    {
        absl::MutexLock lock(&this->mutex);
        estimated = std::min(1.0, estimate_margin * this->attribution.attribute_call(service, now));
    }
    double probability = known.value_or(estimated);
    this->budgets.budget_for(service, now)->count_call(now, probability);
    return probability;
}

}  // namespace trefoil::daemon
