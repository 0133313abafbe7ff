// Implements the simulation with ticks of 10 ms and a queue of scheduled events.

#include "daemon/testing/retry_fleet.h"

#include <algorithm>
#include <utility>

namespace trefoil::daemon::testing {

namespace {

using std::chrono::milliseconds;

constexpr mono_time origin{std::chrono::hours(1)};
constexpr milliseconds tick_length{10};
constexpr std::size_t window_ticks = 1000;  // The window of 10 s in which the platform counts.
constexpr double retry_share = 0.2;
constexpr milliseconds down_time{500};
constexpr milliseconds one_way_delay{3};
constexpr milliseconds time_limit{3000};
// Probability that a read makes its two nested calls.
constexpr double nested_call_probability = 0.7;

mono_duration mean_run_time(const std::string& route) {
    static const std::map<std::string, milliseconds> times = {{"read", milliseconds(260)},
                                                              {"command", milliseconds(340)},
                                                              {"dose", milliseconds(180)},
                                                              {"probe", milliseconds(66)}};
    return times.at(route);
}

std::shared_ptr<const membership::view> view_of(std::size_t listed) {
    std::vector<membership::instance_record> records;
    std::vector<membership::member> members;
    for (std::size_t i = 0; i < listed; ++i) {
        records.push_back({.id = std::to_string(i)});
        members.push_back(
            {.record = std::make_shared<const membership::instance_record>(records.back()),
             .listed = true});
    }
    auto list = std::make_shared<const membership::instance_list>(1, std::move(records));
    return std::make_shared<const membership::view>(std::move(list), std::move(members),
                                                    std::vector<membership::member>{});
}

std::uint64_t sum(const std::vector<std::uint32_t>& counts, std::size_t from, std::size_t to) {
    std::uint64_t total = 0;
    for (std::size_t i = from; i < std::min(to, counts.size()); ++i) {
        total += counts[i];
    }
    return total;
}

}  // namespace

struct retry_fleet::model_call {
    std::size_t ingress = 0;
    std::string service;
    std::string route;
    bool nested = false;
    bool made_by_retry = false;                      // A nested call of a retried request.
    double retry_probability = 0;                    // As estimated by the daemons.
    std::shared_ptr<model_daemon> egress = nullptr;  // Of the latest attempt.
    std::unique_ptr<nested_retry_tracker::reservation> reserved = {};  // At that egress.
    std::uint32_t arrivals = 0;
    std::vector<std::size_t> tried;
    routing::call_attempts history;
};

struct retry_fleet::model_daemon {
    model_daemon(double slack, std::shared_ptr<const membership::view> view) {
        auto given = std::make_shared<settings>();
        given->retries = {.share = retry_share, .slack = slack, .minimum_per_second = 0};
        this->shared.settings.publish(std::move(given));
        this->shared.members.publish(std::move(view));
    }

    shared_state shared;
    service_retry_budgets budgets{this->shared};
    nested_retry_tracker nested_retries{this->budgets};
};

arrival_window retry_outcome::worst_window(const std::string& service) const {
    const service_count& counts = this->services.at(service);
    arrival_window found;
    double most = -1;
    for (std::size_t end = 1; end <= counts.extra_arrivals.size(); ++end) {
        auto window = [&](const std::vector<std::uint32_t>& each, std::size_t until) {
            std::size_t from = until > window_ticks ? until - window_ticks : 0;
            return static_cast<double>(sum(each, from, until));
        };
        std::size_t half = end > window_ticks / 2 ? end - window_ticks / 2 : 0;
        std::size_t before = end > window_ticks ? end - window_ticks : 0;
        double requests = std::max({window(counts.requests, end), window(counts.requests, half),
                                    window(counts.requests, before)});
        arrival_window here{.extra_arrivals = window(counts.extra_arrivals, end),
                            .allowed = retry_share * requests + this->slack,
                            .requests = requests};
        if (here.extra_arrivals / here.allowed > most) {
            most = here.extra_arrivals / here.allowed;
            found = here;
        }
    }
    return found;
}

double retry_outcome::extra_arrivals(const std::string& service) const {
    const auto& counts = this->services.at(service).extra_arrivals;
    return static_cast<double>(sum(counts, 0, counts.size()));
}

double retry_outcome::served_share(const std::string& service) const {
    const service_count& counts = this->services.at(service);
    return static_cast<double>(counts.served) / static_cast<double>(counts.calls);
}

retry_fleet::retry_fleet(retry_scenario given, std::uint64_t seed)
    : scenario(std::move(given)), random(seed), now(origin) {
    this->result.slack = this->scenario.slack;
    auto ticks = static_cast<std::size_t>(this->scenario.length / tick_length);
    for (const char* service : {"station", "dosing"}) {
        this->counts_of(service).requests.resize(ticks);
        this->counts_of(service).extra_arrivals.resize(ticks);
    }
    this->publish_members();
    for (std::size_t i = 0; i < this->scenario.daemons; ++i) {
        this->daemons.push_back(std::make_shared<model_daemon>(this->scenario.slack, this->view));
    }
}

retry_fleet::~retry_fleet() = default;

std::size_t retry_fleet::tick_index() const {
    auto index = static_cast<std::size_t>((this->now - origin) / tick_length);
    return std::min(index, this->result.services.begin()->second.requests.size() - 1);
}

void retry_fleet::schedule(mono_duration delay, std::function<void()> event) {
    this->events.emplace(this->now + delay, std::move(event));
}

retry_outcome retry_fleet::run() {
    mono_time end = origin + this->scenario.length;
    for (mono_time next = origin; next < end; next += tick_length) {
        while (!this->events.empty() && this->events.begin()->first <= next) {
            auto event = this->events.extract(this->events.begin());
            this->now = std::max(this->now, event.key());
            event.mapped()();
        }
        this->now = next;
        this->publish_members();
        this->apply_restarts();
        this->create_calls();
    }
    return this->result;
}

void retry_fleet::publish_members() {
    std::size_t listed =
        this->scenario.listed ? this->scenario.listed(this->now - origin) : this->scenario.daemons;
    if (listed == this->listed_now && this->view != nullptr) {
        return;
    }
    this->listed_now = listed;
    this->view = view_of(listed);
    for (auto& each : this->daemons) {
        if (each != nullptr) {
            each->shared.members.publish(this->view);
        }
    }
}

void retry_fleet::apply_restarts() {
    for (const restart& each : this->scenario.restarts) {
        if (origin + each.at < this->now || origin + each.at >= this->now + tick_length) {
            continue;
        }
        for (std::size_t i = each.first; i < each.first + each.count; ++i) {
            this->daemons[i].reset();
            this->schedule(down_time, [this, i] {
                this->daemons[i] = std::make_shared<model_daemon>(this->scenario.slack, this->view);
            });
        }
    }
}

void retry_fleet::create_calls() {
    double seconds = std::chrono::duration<double>(tick_length).count();
    auto daemon_count = static_cast<double>(this->scenario.daemons);
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        double load = this->scenario.load ? this->scenario.load(i, this->now - origin) : 1;
        auto create_some = [&](double rate, const char* service, const char* route,
                               bool idempotent) {
            if (this->random.uniform() < rate * seconds * load / daemon_count) {
                this->create_call(i, service, route, idempotent);
            }
        };
        create_some(this->scenario.reads, "station", "read", true);
        create_some(this->scenario.commands, "station", "command", false);
        create_some(this->scenario.doses, "dosing", "dose", false);
    }
}

void retry_fleet::create_call(std::size_t daemon, const std::string& service,
                              const std::string& route, bool idempotent) {
    if (this->daemons[daemon] == nullptr) {
        return;
    }
    auto call = std::make_shared<model_call>();
    call->ingress = daemon;
    call->service = service;
    call->route = route;
    call->history = {.idempotent = idempotent, .deadline = this->now + time_limit};
    ++this->counts_of(service).calls;
    this->handle_at_ingress(call);
}

void retry_fleet::handle_at_ingress(const call_ptr& call) {
    this->counts_of(call->service).requests[this->tick_index()] += call->made_by_retry ? 0 : 1;
    model_daemon& ingress = *this->daemons[call->ingress];
    if (call->nested) {
        call->retry_probability =
            ingress.nested_retries.count_nested_call(call->service, std::nullopt, this->now);
    } else {
        ingress.budgets.budget_for(call->service, this->now)->count_call(this->now);
    }
    this->send_attempt(call);
}

// Returns a random running upstream that the call was not sent to, or the number of daemons if none
// was found.
std::size_t retry_fleet::pick(const call_ptr& call) {
    std::size_t first = call->service == "station" ? 0 : this->scenario.stations;
    std::size_t last = call->service == "station" ? this->scenario.stations : this->daemons.size();
    for (std::size_t tries = 0; tries < 2 * this->daemons.size(); ++tries) {
        std::size_t instance = first + this->random.below(last - first);
        bool tried =
            std::find(call->tried.begin(), call->tried.end(), instance) != call->tried.end();
        if (!tried && this->daemons[instance] != nullptr) {
            return instance;
        }
    }
    return this->daemons.size();
}

void retry_fleet::send_attempt(const call_ptr& call) {
    std::size_t instance = this->pick(call);
    if (instance == this->daemons.size()) {
        return;
    }
    call->tried.push_back(instance);
    this->schedule(one_way_delay,
                   [this, call, instance] { this->handle_at_egress(call, instance); });
}

double retry_fleet::failure_probability_of(const std::string& service, std::size_t instance) const {
    return this->scenario.failure_probability
               ? this->scenario.failure_probability(
                     {.service = service, .instance = instance, .at = this->now - origin})
               : 0;
}

void retry_fleet::handle_at_egress(const call_ptr& call, std::size_t instance) {
    if (this->daemons[instance] == nullptr) {
        this->handle_failure(call, routing::attempt_end::refused);
        return;
    }
    bool is_retry = call->history.retries > 0;
    if (is_retry) {
        call->reserved.reset();
        call->egress = this->daemons[instance];
        call->reserved = call->egress->nested_retries.reserve(call->route, this->now);
        if (call->reserved == nullptr) {
            this->handle_failure(call, routing::attempt_end::over_budget);
            return;
        }
    }
    bool is_extra = call->arrivals > 0 || call->made_by_retry;
    ++call->arrivals;
    this->counts_of(call->service).extra_arrivals[this->tick_index()] += is_extra ? 1 : 0;
    if (this->random.uniform() < this->failure_probability_of(call->service, instance)) {
        auto end = this->scenario.resets ? routing::attempt_end::unknown_reply
                                         : routing::attempt_end::not_run_reply;
        call->reserved.reset();
        this->schedule(one_way_delay, [this, call, end] { this->handle_failure(call, end); });
        return;
    }
    this->run_call(call, instance);
}

void retry_fleet::run_call(const call_ptr& call, std::size_t instance) {
    auto length = std::chrono::duration_cast<mono_duration>(mean_run_time(call->route) *
                                                            (0.5 + this->random.uniform()));
    if (call->route == "read" && this->random.uniform() < nested_call_probability) {
        this->make_nested_calls(call, instance, length);
    }
    std::shared_ptr<model_daemon> egress = this->daemons[instance];
    double probability = call->history.retries > 0 ? 1 : call->retry_probability;
    auto run = egress->nested_retries.begin_run(call->route, probability, this->now);
    this->schedule(length, [this, call, egress, run] {
        egress->nested_retries.end_run(run, this->now);
        call->reserved.reset();
        this->counts_of(call->service).served += call->nested ? 0 : 1;
    });
}

void retry_fleet::make_nested_calls(const call_ptr& call, std::size_t instance,
                                    mono_duration length) {
    bool is_retry = call->arrivals > 1 || call->made_by_retry;
    auto delay = std::chrono::duration_cast<mono_duration>(length * this->random.uniform());
    this->schedule(delay, [this, call, instance, is_retry] {
        for (int i = 0; i < 2 && this->daemons[instance] != nullptr; ++i) {
            auto nested = std::make_shared<model_call>();
            nested->ingress = instance;
            nested->service = "dosing";
            nested->route = "probe";
            nested->nested = true;
            nested->made_by_retry = is_retry;
            nested->history = {.idempotent = true, .deadline = call->history.deadline};
            this->handle_at_ingress(nested);
        }
    });
}

void retry_fleet::handle_failure(const call_ptr& call, routing::attempt_end end) {
    model_daemon* ingress = this->daemons[call->ingress].get();
    if (ingress == nullptr) {
        return;
    }
    auto decision = this->policy.decide(
        call->history, end, *ingress->budgets.budget_for(call->service, this->now), this->now);
    if (std::holds_alternative<routing::retry_elsewhere>(decision)) {
        this->send_attempt(call);
    }
}

}  // namespace trefoil::daemon::testing
