// Implements the model with one step of time for each 10 ms and a queue of later steps.

#include "daemon/testing/retry_fleet.h"

#include <algorithm>
#include <utility>

namespace trefoil::daemon::testing {

namespace {

using std::chrono::milliseconds;

constexpr mono_time origin{std::chrono::hours(1)};
constexpr milliseconds tick_length{10};
constexpr std::size_t window_ticks = 1000;  // The platform's window of 10 s.
constexpr double share = 0.2;
constexpr milliseconds down_time{500};
constexpr milliseconds way{3};
constexpr milliseconds time_limit{3000};
// Reads make two nested calls with this likelihood, while they run.
constexpr double nested_share = 0.7;

mono_duration run_time(const std::string& route) {
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
    bool of_repeat = false;                                     // Made by a run that was a repeat.
    double repeat_share = 0;                                    // What the daemons believe of it.
    std::shared_ptr<model_daemon> egress = nullptr;             // Of the latest attempt.
    std::unique_ptr<repeated_runs::reservation> reserved = {};  // Held there.
    std::uint32_t arrivals = 0;
    std::vector<std::size_t> tried;
    routing::call_attempts history;
};

struct retry_fleet::model_daemon {
    model_daemon(double slack, std::shared_ptr<const membership::view> view) {
        auto given = std::make_shared<settings>();
        given->retries = {.share = share, .slack = slack, .minimum_per_second = 0};
        this->shared.settings.publish(std::move(given));
        this->shared.members.publish(std::move(view));
    }

    shared_state shared;
    service_budgets budgets{this->shared};
    repeated_runs repeats{this->budgets};
};

retry_window_count retry_outcome::worst(const std::string& service) const {
    const service_count& counts = this->services.at(service);
    retry_window_count found;
    double most = -1;
    for (std::size_t end = 1; end <= counts.beyond.size(); ++end) {
        auto window = [&](const std::vector<std::uint32_t>& each, std::size_t until) {
            std::size_t from = until > window_ticks ? until - window_ticks : 0;
            return static_cast<double>(sum(each, from, until));
        };
        std::size_t half = end > window_ticks / 2 ? end - window_ticks / 2 : 0;
        std::size_t before = end > window_ticks ? end - window_ticks : 0;
        double requests = std::max({window(counts.requests, end), window(counts.requests, half),
                                    window(counts.requests, before)});
        retry_window_count here{.beyond = window(counts.beyond, end),
                                .allowed = share * requests + this->slack,
                                .requests = requests};
        if (here.beyond / here.allowed > most) {
            most = here.beyond / here.allowed;
            found = here;
        }
    }
    return found;
}

double retry_outcome::beyond(const std::string& service) const {
    const auto& counts = this->services.at(service).beyond;
    return static_cast<double>(sum(counts, 0, counts.size()));
}

double retry_outcome::served(const std::string& service) const {
    const service_count& counts = this->services.at(service);
    return static_cast<double>(counts.served) / static_cast<double>(counts.calls);
}

retry_fleet::retry_fleet(retry_scenario given, std::uint64_t seed)
    : scenario(std::move(given)), random(seed), now(origin) {
    this->result.slack = this->scenario.slack;
    auto ticks = static_cast<std::size_t>(this->scenario.length / tick_length);
    for (const char* service : {"station", "dosing"}) {
        this->count(service).requests.resize(ticks);
        this->count(service).beyond.resize(ticks);
    }
    this->publish_list();
    for (std::size_t i = 0; i < this->scenario.daemons; ++i) {
        this->daemons.push_back(std::make_shared<model_daemon>(this->scenario.slack, this->view));
    }
}

retry_fleet::~retry_fleet() = default;

std::size_t retry_fleet::tick() const {
    auto index = static_cast<std::size_t>((this->now - origin) / tick_length);
    return std::min(index, this->result.services.begin()->second.requests.size() - 1);
}

void retry_fleet::at(mono_duration delay, std::function<void()> step) {
    this->steps.emplace(this->now + delay, std::move(step));
}

retry_outcome retry_fleet::run() {
    mono_time end = origin + this->scenario.length;
    for (mono_time next = origin; next < end; next += tick_length) {
        while (!this->steps.empty() && this->steps.begin()->first <= next) {
            auto step = this->steps.extract(this->steps.begin());
            this->now = std::max(this->now, step.key());
            step.mapped()();
        }
        this->now = next;
        this->publish_list();
        this->apply_restarts();
        this->create_calls();
    }
    return this->result;
}

void retry_fleet::publish_list() {
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
            this->at(down_time, [this, i] {
                this->daemons[i] = std::make_shared<model_daemon>(this->scenario.slack, this->view);
            });
        }
    }
}

void retry_fleet::create_calls() {
    double seconds = std::chrono::duration<double>(tick_length).count();
    auto calls = static_cast<double>(this->scenario.daemons);
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        double load = this->scenario.load ? this->scenario.load(i, this->now - origin) : 1;
        auto create_some = [&](double rate, const char* service, const char* route,
                               bool idempotent) {
            if (this->random.uniform() < rate * seconds * load / calls) {
                this->create(i, service, route, idempotent);
            }
        };
        create_some(this->scenario.reads, "station", "read", true);
        create_some(this->scenario.commands, "station", "command", false);
        create_some(this->scenario.doses, "dosing", "dose", false);
    }
}

void retry_fleet::create(std::size_t daemon, const std::string& service, const std::string& route,
                         bool idempotent) {
    if (this->daemons[daemon] == nullptr) {
        return;
    }
    auto call = std::make_shared<model_call>();
    call->ingress = daemon;
    call->service = service;
    call->route = route;
    call->history = {.idempotent = idempotent, .deadline = this->now + time_limit};
    ++this->count(service).calls;
    this->enter(call);
}

void retry_fleet::enter(const call_ptr& call) {
    this->count(call->service).requests[this->tick()] += call->of_repeat ? 0 : 1;
    model_daemon& ingress = *this->daemons[call->ingress];
    if (call->nested) {
        call->repeat_share = ingress.repeats.nested_call(call->service, std::nullopt, this->now);
    } else {
        ingress.budgets.of(call->service, this->now)->count_call(this->now);
    }
    this->attempt(call);
}

// A random upstream that the call was not sent to; the number of daemons when there is none.
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

void retry_fleet::attempt(const call_ptr& call) {
    std::size_t instance = this->pick(call);
    if (instance == this->daemons.size()) {
        return;
    }
    call->tried.push_back(instance);
    this->at(way, [this, call, instance] { this->arrive(call, instance); });
}

double retry_fleet::likelihood_of_failure(const std::string& service, std::size_t instance) const {
    return this->scenario.fails
               ? this->scenario.fails(
                     {.service = service, .instance = instance, .at = this->now - origin})
               : 0;
}

void retry_fleet::arrive(const call_ptr& call, std::size_t instance) {
    if (this->daemons[instance] == nullptr) {
        this->failed(call, routing::attempt_end::refused);
        return;
    }
    bool repeat = call->history.retries > 0;
    if (repeat) {
        call->reserved.reset();
        call->egress = this->daemons[instance];
        call->reserved = call->egress->repeats.reserve(call->route, this->now);
        if (call->reserved == nullptr) {
            this->failed(call, routing::attempt_end::over_budget);
            return;
        }
    }
    bool beyond = call->arrivals > 0 || call->of_repeat;
    ++call->arrivals;
    this->count(call->service).beyond[this->tick()] += beyond ? 1 : 0;
    if (this->random.uniform() < this->likelihood_of_failure(call->service, instance)) {
        auto end = this->scenario.resets ? routing::attempt_end::unknown_reply
                                         : routing::attempt_end::not_run_reply;
        call->reserved.reset();
        this->at(way, [this, call, end] { this->failed(call, end); });
        return;
    }
    this->start(call, instance);
}

void retry_fleet::start(const call_ptr& call, std::size_t instance) {
    auto length = std::chrono::duration_cast<mono_duration>(run_time(call->route) *
                                                            (0.5 + this->random.uniform()));
    if (call->route == "read" && this->random.uniform() < nested_share) {
        this->make_nested_calls(call, instance, length);
    }
    std::shared_ptr<model_daemon> egress = this->daemons[instance];
    double share = call->history.retries > 0 ? 1 : call->repeat_share;
    auto run = egress->repeats.started(call->route, share, this->now);
    this->at(length, [this, call, egress, run] {
        egress->repeats.finished(run, this->now);
        call->reserved.reset();
        this->count(call->service).served += call->nested ? 0 : 1;
    });
}

void retry_fleet::make_nested_calls(const call_ptr& call, std::size_t instance,
                                    mono_duration length) {
    bool repeat = call->arrivals > 1 || call->of_repeat;
    auto delay = std::chrono::duration_cast<mono_duration>(length * this->random.uniform());
    this->at(delay, [this, call, instance, repeat] {
        for (int i = 0; i < 2 && this->daemons[instance] != nullptr; ++i) {
            auto nested = std::make_shared<model_call>();
            nested->ingress = instance;
            nested->service = "dosing";
            nested->route = "probe";
            nested->nested = true;
            nested->of_repeat = repeat;
            nested->history = {.idempotent = true, .deadline = call->history.deadline};
            this->enter(nested);
        }
    });
}

void retry_fleet::failed(const call_ptr& call, routing::attempt_end end) {
    model_daemon* ingress = this->daemons[call->ingress].get();
    if (ingress == nullptr) {
        return;
    }
    auto decision = this->policy.decide(call->history, end,
                                        *ingress->budgets.of(call->service, this->now), this->now);
    if (std::holds_alternative<routing::retry_elsewhere>(decision)) {
        this->attempt(call);
    }
}

}  // namespace trefoil::daemon::testing
