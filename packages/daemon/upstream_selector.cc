// Implements the selection of upstreams from the results of earlier calls.

#include "daemon/upstream_selector.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>
#include <variant>

#include "base/log.h"
#include "base/random.h"
#include "daemon/refusal.h"

namespace trefoil::daemon {

namespace {

constexpr double bytes_per_kib = 1024;
// A call that this many instances of a service refused would most likely be refused by the others
// as well. Each refusal costs a round trip and processing time at two daemons.
constexpr std::size_t max_refusals = 4;
// From this refusal rate of calls that must meet their objective, a large service counts as
// overloaded and calls are late-tolerant from their first attempt. An instance with free slots
// starts them regardless. In the simulation of upstream_selector_test, 0.5 serves fewer calls in
// time at 1.5 times the capacity, and 0.75 saves few attempts at 1.1 times the capacity.
constexpr double overload_refusal_rate = 0.6;
// From this refusal rate of late-tolerant calls, a call to a large service is given up after
// max_refusals_overloaded refusals. This wastes no capacity, because the next calls use the free
// slots that the call did not find.
constexpr double overload_late_refusal_rate = 0.75;
constexpr std::size_t max_refusals_overloaded = 2;

random_source& thread_random() {
    thread_local seeded_random random(entropy_seed());
    return random;
}

// Whether the same instance would most likely refuse the next calls for this reason, too.
bool is_reason_to_avoid(std::string_view reason) {
    return reason == reasons::overloaded || reason == reasons::no_upstream ||
           reason == reasons::stopping;
}

}  // namespace

upstream_selector::upstream_selector(
    std::string own_domain, const shared_state& daemon_state,
    const std::optional<routing::domain_overflow_options>& overflow_options)
    : failure_domain(std::move(own_domain)),
      shared(daemon_state),
      chooser({.failure_domain = this->failure_domain}),
      overflow_floor(overflow_options.has_value() ? overflow_options->floor : 0),
      overflow(overflow_options.has_value()
                   ? std::make_unique<routing::domain_overflow>(*overflow_options)
                   : nullptr) {}

routing::pick_context upstream_selector::context_of(const detail::ingress_call& call) const {
    double request =
        call.body == nullptr ? 0 : static_cast<double>(call.body->size()) / bytes_per_kib;
    return {.route = call.message.route,
            .objective = call.objective,
            .payload_kib = request + this->response_kib.find(call.message.route).value_or(0)};
}

std::vector<std::string> upstream_selector::unconnected_peers(std::size_t limit) const {
    std::vector<std::string> addresses;
    auto list = this->shared.candidates.read();
    if (list == nullptr) {
        return addresses;
    }
    std::size_t connected = 0;
    for (const auto& [service, candidates] : list->all()) {
        for (const routing::candidate& each : candidates) {
            if (!each.accepts_work() || each.failure_domain != this->failure_domain) {
                continue;
            }
            if (this->load.find(each.instance).connected) {
                ++connected;
            } else {
                addresses.push_back(each.address);
            }
        }
    }
    std::size_t wanted = connected < limit ? limit - connected : 0;
    while (addresses.size() > wanted) {
        std::swap(addresses[thread_random().below(addresses.size())], addresses.back());
        addresses.pop_back();
    }
    return addresses;
}

routing::pick_result upstream_selector::pick(detail::ingress_call& call, mono_time now) const {
    return this->pick(call, now, thread_random());
}

routing::pick_result upstream_selector::pick(detail::ingress_call& call, mono_time now,
                                             random_source& random) const {
    auto list = this->shared.candidates.read();
    if (list == nullptr) {
        return routing::no_upstream_available{};
    }
    const auto& candidates = list->of_service(call.message.service);
    auto choose = [&] { return this->choose(call, list, now, random); };
    this->allow_late_for_single_candidate(call, candidates, now);
    // For a small service the load known of each instance is more accurate than the refusal rate.
    bool large = !this->chooser.compares_all(candidates.size());
    if (large && !call.message.may_be_late && this->is_overloaded(call, now)) {
        this->allow_late(call, now);
        call.message.may_be_late = true;
    }
    bool service_overloaded = large && call.message.may_be_late && this->is_overloaded(call, now);
    bool enough =
        call.overload_refusals >= (service_overloaded ? max_refusals_overloaded : max_refusals);
    if (enough && !this->allow_late(call, now)) {
        return routing::every_upstream_tried{};
    }
    routing::pick_result choice = choose();
    bool none = !std::holds_alternative<routing::picked_upstream>(choice);
    return none && this->allow_late(call, now) ? choose() : choice;
}

routing::pick_result upstream_selector::choose(
    const detail::ingress_call& call, const std::shared_ptr<const routing::candidate_list>& list,
    mono_time now, random_source& random) const {
    const auto& candidates = list->of_service(call.message.service);
    routing::pick_context context = this->context_of(call);
    if (this->overflow != nullptr) {
        routing::overflow_target target =
            this->overflow->choose({.service = call.message.service,
                                    .objective = call.objective,
                                    .attempted_before = call.attempts_sent > 0},
                                   list, this->load, now, random);
        if (target.among != nullptr) {
            routing::pick_result found = this->chooser.pick_among(
                candidates, *target.among, call.tried, this->load, context, now, random);
            if (std::holds_alternative<routing::picked_upstream>(found)) {
                return found;
            }
        }
    }
    return this->chooser.pick(candidates, call.tried, this->load, context, now, random);
}

bool upstream_selector::is_overloaded(const detail::ingress_call& call, mono_time now) const {
    const std::string& route = call.message.route;
    return call.message.may_be_late
               ? this->lenient_refusals.share(route, now) >= overload_late_refusal_rate
               : this->strict_refusals.share(route, now) >= overload_refusal_rate;
}

void upstream_selector::allow_late_for_single_candidate(
    detail::ingress_call& call, const std::vector<routing::candidate>& candidates,
    mono_time now) const {
    if (call.message.may_be_late || call.attempts_sent > 0) {
        return;
    }
    auto accepts_work = [](const routing::candidate& each) { return each.accepts_work(); };
    auto first = std::find_if(candidates.begin(), candidates.end(), accepts_work);
    bool only = std::count_if(candidates.begin(), candidates.end(), accepts_work) == 1;
    call.message.may_be_late = only && !this->late_call_refusals.recently_refused(
                                           first->instance, call.message.route, now);
}

bool upstream_selector::allow_late(detail::ingress_call& call, mono_time now) const {
    if (call.message.may_be_late || call.refused.empty()) {
        return false;
    }
    call.message.may_be_late = true;
    std::erase_if(call.tried, [&](const std::string& each) {
        bool refused =
            std::find(call.refused.begin(), call.refused.end(), each) != call.refused.end();
        return refused && !this->late_call_refusals.recently_refused(each, call.message.route, now);
    });
    call.refused.clear();
    call.overload_refusals = 0;
    return true;
}

void upstream_selector::record_choice(detail::attempt& started, const routing::candidate& target,
                                      mono_time now) {
    auto list = this->shared.candidates.read();
    started.failure_domain = target.failure_domain;
    if (this->overflow != nullptr) {
        this->overflow->on_sent(started.call->message.service, target.failure_domain);
    }
    started.candidates = list->of_service(started.call->message.service).size();
    started.expected =
        this->chooser.expected_time(target, this->load, this->context_of(*started.call), now);
    auto reported = this->load.find(target.instance).reported_at;
    started.report_age = reported.has_value() ? now - *reported : mono_duration(-1);
}

void upstream_selector::record_sent(const std::string& instance, mono_time now) {
    this->load.on_call_sent(instance, now);
}

void upstream_selector::record_result(const detail::attempt& ended,
                                      const messages::call_result& result, mono_time now) {
    const std::string& instance = ended.instance;
    this->load.on_call_ended(instance);
    this->load.on_report(instance, result.load, now);
    if (result.load.service_us > 0) {
        mono_duration held = std::chrono::microseconds(result.held_us);
        this->load.on_service_time(instance, ended.call->message.route,
                                   std::chrono::microseconds(result.load.service_us),
                                   std::max(mono_duration(0), now - ended.sent_at - held));
    }
    if (this->overflow != nullptr) {
        this->overflow->on_result(ended.call->message.service, ended.failure_domain,
                                  result.outcome == messages::call_outcome::not_run, now);
    }
    if (result.outcome == messages::call_outcome::answered) {
        this->load.on_accepted(instance);
        this->refusals_for(*ended.call).on_accepted(ended.call->message.route);
    } else if (result.outcome == messages::call_outcome::not_run) {
        this->record_refusal(*ended.call, instance, result, now);
    }
}

void upstream_selector::record_refusal(detail::ingress_call& call, const std::string& instance,
                                       const messages::call_result& result, mono_time now) {
    // An overloaded egress that reports service times needs no further mark: its expected time
    // reflects the overload.
    bool avoided_by_expected_time =
        result.load.mean_service_us > 0 && result.reason == reasons::overloaded;
    if (is_reason_to_avoid(result.reason) && !avoided_by_expected_time) {
        this->load.on_refused(instance, now);
    }
    if (result.retry_after_ms > 0) {
        std::chrono::milliseconds wait(result.retry_after_ms);
        call.retry_after = std::min(call.retry_after.value_or(wait), wait);
    }
    if (result.reached_upstream) {
        return;
    }
    call.refused.push_back(instance);
    if (result.reason == reasons::overloaded) {
        ++call.overload_refusals;
        this->refusals_for(call).on_refused(call.message.route, now);
    }
    if (avoided_by_expected_time && call.message.may_be_late && call.objective.count() > 0) {
        this->late_call_refusals.add(instance, call.message.route, now);
    }
}

routing::recent_refusals& upstream_selector::refusals_for(const detail::ingress_call& call) {
    return call.message.may_be_late ? this->lenient_refusals : this->strict_refusals;
}

void upstream_selector::record_end_without_result(const std::string& instance) {
    this->load.on_call_ended(instance);
}

void upstream_selector::record_connection_failure(const std::string& instance, mono_time now) {
    this->load.on_connection_failed(instance, now);
}

void upstream_selector::set_connected(const std::string& instance, bool connected) {
    this->load.set_connected(instance, connected);
}

void upstream_selector::record_response_size(const std::string& route, std::size_t bytes) {
    constexpr double latest_weight = 1.0 / 16;
    double kib = static_cast<double>(bytes) / bytes_per_kib;
    this->response_kib.update(route, [kib](double& mean) {
        mean = mean == 0 ? kib : mean + latest_weight * (kib - mean);
    });
}

void upstream_selector::expire(mono_time now) {
    this->late_call_refusals.expire(now);
    this->strict_refusals.expire(now);
    this->lenient_refusals.expire(now);
    auto list = this->shared.candidates.read();
    if (this->overflow != nullptr && list != nullptr) {
        this->overflow->expire(*list);
    }
    this->log_overflow_changes();
}

std::vector<routing::overflow_state> upstream_selector::overflow_states() const {
    return this->overflow == nullptr ? std::vector<routing::overflow_state>{}
                                     : this->overflow->states();
}

void upstream_selector::log_overflow_changes() {
    std::vector<routing::overflow_state> states = this->overflow_states();
    std::erase_if(this->overflowing, [&](const std::string& service) {
        return std::none_of(states.begin(), states.end(), [&](const routing::overflow_state& each) {
            return each.service == service;
        });
    });
    for (const routing::overflow_state& each : states) {
        bool above = each.share > this->overflow_floor;
        if (above == this->overflowing.contains(each.service)) {
            continue;
        }
        if (above) {
            this->overflowing.insert(each.service);
        } else {
            this->overflowing.erase(each.service);
        }
        log(log_level::info, above ? "domain_overflow_began" : "domain_overflow_ended",
            {{"service", each.service},
             {"reason", std::string(routing::overflow_reason_name(each.reason))},
             {"share", fmt::format("{:.2f}", each.share)},
             {"own_pressure", fmt::format("{:.2f}", each.own_pressure)},
             {"other_pressure", fmt::format("{:.2f}", each.other_pressure)},
             {"calls", std::to_string(each.calls)},
             {"sent_out", std::to_string(each.sent_out)}});
    }
}

}  // namespace trefoil::daemon
