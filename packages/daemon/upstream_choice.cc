// Implements the choice of an upstream from what results told.

#include "daemon/upstream_choice.h"

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>
#include <variant>

#include "base/random.h"
#include "daemon/refusal.h"

namespace trefoil::daemon {

namespace {

constexpr double bytes_per_kib = 1024;
// What so many instances of a service refuse most others refuse as well. Each refusal costs a round
// trip and the time of two daemons.
constexpr std::size_t most_refusals = 4;
// While this share of the offers in time is refused, a large service counts as full: calls are
// offered as ones that may be late at once. An instance that has room starts them all the same. In
// the model (upstream_choice_test) 0.5 serves fewer calls in time at 1.5 of capacity, and 0.75
// saves few attempts at 1.1.
constexpr double full_share = 0.6;
// While this share of the late offers is refused, so many refusals of a call are enough: room that
// one call does not find is taken by the next.
constexpr double full_share_late = 0.75;
constexpr std::size_t most_refusals_full = 2;

random_source& thread_random() {
    thread_local seeded_random random(entropy_seed());
    return random;
}

// Reasons for which the next calls would be refused at the same upstream as well.
bool avoids_upstream(std::string_view reason) {
    return reason == reasons::overloaded || reason == reasons::no_upstream ||
           reason == reasons::stopping;
}

}  // namespace

upstream_choice::upstream_choice(std::string own_domain, const shared_state& daemon_state)
    : failure_domain(std::move(own_domain)),
      shared(daemon_state),
      chooser({.failure_domain = this->failure_domain}) {}

routing::pick_context upstream_choice::context_of(const detail::entry_call& call) const {
    double request = static_cast<double>(call.message.body.size()) / bytes_per_kib;
    return {.route = call.message.route,
            .objective = call.objective,
            .payload_kib = request + this->response_kib.find(call.message.route).value_or(0)};
}

std::vector<std::string> upstream_choice::unconnected_neighbours(std::size_t most) const {
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
    std::size_t wanted = connected < most ? most - connected : 0;
    while (addresses.size() > wanted) {
        std::swap(addresses[thread_random().below(addresses.size())], addresses.back());
        addresses.pop_back();
    }
    return addresses;
}

routing::pick_result upstream_choice::pick(detail::entry_call& call, mono_time now) const {
    return this->pick(call, now, thread_random());
}

routing::pick_result upstream_choice::pick(detail::entry_call& call, mono_time now,
                                           random_source& random) const {
    auto list = this->shared.candidates.read();
    if (list == nullptr) {
        return routing::no_upstream_available{};
    }
    const auto& candidates = list->of_service(call.message.service);
    routing::pick_context context = this->context_of(call);
    auto choose = [&] {
        return this->chooser.pick(candidates, call.tried, this->load, context, now, random);
    };
    this->ask_once(call, candidates, now);
    // Of a small service the ingress knows each instance, which says more.
    bool large = !this->chooser.compares_all(candidates.size());
    if (large && !call.message.may_be_late && this->full(call, now)) {
        this->accept_late_place(call, now);
        call.message.may_be_late = true;
    }
    bool few = large && call.message.may_be_late && this->full(call, now);
    bool enough = call.overloaded >= (few ? most_refusals_full : most_refusals);
    if (enough && !this->accept_late_place(call, now)) {
        return routing::every_upstream_tried{};
    }
    routing::pick_result choice = choose();
    bool none = !std::holds_alternative<routing::picked_upstream>(choice);
    return none && this->accept_late_place(call, now) ? choose() : choice;
}

bool upstream_choice::full(const detail::entry_call& call, mono_time now) const {
    const std::string& route = call.message.route;
    return call.message.may_be_late ? this->refused_late.share(route, now) >= full_share_late
                                    : this->refused_in_time.share(route, now) >= full_share;
}

void upstream_choice::ask_once(detail::entry_call& call,
                               const std::vector<routing::candidate>& candidates,
                               mono_time now) const {
    if (call.message.may_be_late || call.sent > 0) {
        return;
    }
    auto accepts_work = [](const routing::candidate& each) { return each.accepts_work(); };
    auto first = std::find_if(candidates.begin(), candidates.end(), accepts_work);
    bool only = std::count_if(candidates.begin(), candidates.end(), accepts_work) == 1;
    call.message.may_be_late =
        only && !this->late_places.expected(first->instance, call.message.route, now);
}

bool upstream_choice::accept_late_place(detail::entry_call& call, mono_time now) const {
    if (call.message.may_be_late || call.refused.empty()) {
        return false;
    }
    call.message.may_be_late = true;
    std::erase_if(call.tried, [&](const std::string& each) {
        bool refused =
            std::find(call.refused.begin(), call.refused.end(), each) != call.refused.end();
        return refused && !this->late_places.expected(each, call.message.route, now);
    });
    call.refused.clear();
    call.overloaded = 0;
    return true;
}

void upstream_choice::describe(detail::attempt& started, const routing::candidate& target,
                               mono_time now) const {
    auto list = this->shared.candidates.read();
    started.candidates = list->of_service(started.call->message.service).size();
    started.expected =
        this->chooser.expected_time(target, this->load, this->context_of(*started.call), now);
    auto reported = this->load.find(target.instance).reported_at;
    started.report_age = reported.has_value() ? now - *reported : mono_duration(-1);
}

void upstream_choice::sent(const std::string& instance, mono_time now) {
    this->load.call_sent(instance, now);
}

void upstream_choice::result_came(const detail::attempt& ended, const messages::call_result& result,
                                  mono_time now) {
    const std::string& instance = ended.instance;
    this->load.call_ended(instance);
    this->load.reported(instance, result.load, now);
    if (result.load.service_us > 0) {
        mono_duration held = std::chrono::microseconds(result.held_us);
        this->load.measured(instance, ended.call->message.route,
                            std::chrono::microseconds(result.load.service_us),
                            std::max(mono_duration(0), now - ended.sent_at - held));
    }
    if (result.outcome == messages::call_outcome::answered) {
        this->load.accepted(instance);
        this->offers_of(*ended.call).accepted(ended.call->message.route);
    } else if (result.outcome == messages::call_outcome::not_run) {
        this->note_refusal(*ended.call, instance, result, now);
    }
}

void upstream_choice::note_refusal(detail::entry_call& call, const std::string& instance,
                                   const messages::call_result& result, mono_time now) {
    // An egress that says how long requests take is avoided by its expected time.
    bool by_time = result.load.mean_service_us > 0 && result.reason == reasons::overloaded;
    if (avoids_upstream(result.reason) && !by_time) {
        this->load.refused(instance, now);
    }
    if (result.reached_upstream) {
        return;
    }
    call.refused.push_back(instance);
    if (result.reason == reasons::overloaded) {
        ++call.overloaded;
        this->offers_of(call).refused(call.message.route, now);
    }
    if (by_time && call.message.may_be_late && call.objective.count() > 0) {
        this->late_places.add(instance, call.message.route, now);
    }
    if (result.retry_after_ms > 0) {
        std::chrono::milliseconds wait(result.retry_after_ms);
        call.retry_after = std::min(call.retry_after.value_or(wait), wait);
    }
}

routing::recent_refusals& upstream_choice::offers_of(const detail::entry_call& call) {
    return call.message.may_be_late ? this->refused_late : this->refused_in_time;
}

void upstream_choice::ended_without_result(const std::string& instance) {
    this->load.call_ended(instance);
}

void upstream_choice::connection_failed(const std::string& instance, mono_time now) {
    this->load.connection_failed(instance, now);
}

void upstream_choice::set_connected(const std::string& instance, bool connected) {
    this->load.set_connected(instance, connected);
}

void upstream_choice::response_delivered(const std::string& route, std::size_t bytes) {
    constexpr double latest_weight = 1.0 / 16;
    double kib = static_cast<double>(bytes) / bytes_per_kib;
    this->response_kib.update(route, [kib](double& mean) {
        mean = mean == 0 ? kib : mean + latest_weight * (kib - mean);
    });
}

void upstream_choice::expire(mono_time now) {
    this->late_places.expire(now);
    this->refused_in_time.expire(now);
    this->refused_late.expire(now);
}

}  // namespace trefoil::daemon
