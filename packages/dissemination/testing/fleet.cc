// Implements the simulated fleet.

#include "dissemination/testing/fleet.h"

#include <algorithm>
#include <ctime>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "messages/codec.h"

namespace trefoil::dissemination {

namespace {

constexpr milliseconds tick_interval{100};
constexpr milliseconds follower_interval{10};
// A partition closes connections after the heartbeat timeout.
constexpr milliseconds heartbeat_timeout{2000};
constexpr milliseconds platform_timeout{3000};

bool succeeded_read(const platform_answer& result) {
    return !std::holds_alternative<platform_unavailable>(result);
}

double cpu_us() {
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

}  // namespace

fleet::fleet(fleet_options settings) : options(std::move(settings)), random(options.seed) {
    this->store.one_counter = this->options.one_counter;
    for (std::size_t i = 0; i < this->options.count; ++i) {
        auto each = std::make_unique<node>();
        std::size_t domain = i % this->options.domains;
        each->record = {.id = "i" + std::to_string(i),
                        .address = "a" + std::to_string(i),
                        .failure_domain = "d" + std::to_string(domain),
                        .site = "s" + std::to_string(domain % this->options.sites),
                        .service = "station"};
        this->nodes.push_back(std::move(each));
    }
    for (std::size_t i = 0; i < this->options.count; ++i) {
        this->start(i);
    }
}

std::size_t fleet::index_of(const std::string& text) const {
    return std::stoul(text.substr(1));
}

mono_duration fleet::delay() {
    auto longest = std::chrono::microseconds(this->options.longest_delay).count();
    return std::chrono::microseconds(500 + this->random.below(static_cast<std::uint64_t>(longest)));
}

void fleet::schedule(mono_duration delay, std::function<void()> run) {
    this->queue.push({this->time + delay, ++this->events, std::move(run)});
}

void fleet::run(milliseconds duration) {
    mono_time end = this->time + duration;
    while (!this->queue.empty() && this->queue.top().at <= end) {
        auto next = this->queue.top();
        this->queue.pop();
        this->time = next.at;
        next.run();
    }
    this->time = end;
}

void fleet::deliver(std::size_t index, std::uint64_t incarnation,
                    std::function<void(node&)> input) {
    node& target = *this->nodes[index];
    if (target.incarnation != incarnation) {
        return;
    }
    if (target.paused) {
        target.waiting.push_back([this, index, incarnation, input = std::move(input)] {
            this->deliver(index, incarnation, input);
        });
        return;
    }
    input(target);
    this->count_regressions(target);
    this->execute(index);
}

void fleet::count_regressions(node& target) {
    for (std::size_t i = 0; i < document_count; ++i) {
        const held_document& state = target.decision->documents().held(i);
        std::uint64_t now_held[2] = {state.revision, state.revision_in_force};
        for (std::size_t kind = 0; kind < 2; ++kind) {
            this->regressions += now_held[kind] < target.highest[i][kind] ? 1 : 0;
            target.highest[i][kind] = now_held[kind];
        }
    }
}

void fleet::start(std::size_t index) {
    node& target = *this->nodes[index];
    ++target.incarnation;
    target.random = std::make_unique<seeded_random>(this->random.next());
    target.store = std::make_unique<fake_document_store>();
    target.tracker = std::make_unique<membership::tracker>();
    for (auto& pair : target.highest) {
        pair[0] = pair[1] = 0;
    }
    core_options settings = this->options.core;
    settings.instance = target.record.id;
    settings.failure_domain = target.record.failure_domain;
    settings.site = target.record.site;
    settings.address = target.record.address;
    settings.seeds = {"a0", "a1", "a2"};
    target.decision = std::make_unique<core>(settings, *target.store, *target.random, this->time);
    std::uint64_t incarnation = target.incarnation;
    this->schedule(milliseconds(this->random.below(tick_interval.count())),
                   [this, index, incarnation] { this->tick(index, incarnation); });
    if (settings.mirrored) {
        target.follower =
            std::make_unique<simulated_follower>(this->store, *target.random, this->time);
        target.follower->access = target.access;
        target.follower->link_mbps = this->options.link_mbps;
        this->step_follower(index, incarnation);
    }
}

void fleet::step_follower(std::size_t index, std::uint64_t incarnation) {
    node& target = *this->nodes[index];
    if (target.incarnation != incarnation) {
        return;
    }
    if (!target.paused) {
        target.follower->step(this->time);
    }
    this->schedule(follower_interval,
                   [this, index, incarnation] { this->step_follower(index, incarnation); });
}

void fleet::set_access(std::size_t index, store_access access) {
    this->nodes[index]->access = access;
    this->nodes[index]->follower->access = access;
}

void fleet::restart(std::size_t index) {
    auto connections = this->nodes[index]->connections;
    for (std::size_t peer : connections) {
        this->close(index, peer);
    }
    this->nodes[index]->waiting.clear();
    this->start(index);
}

void fleet::resume(std::size_t index) {
    this->nodes[index]->paused = false;
    auto waiting = std::exchange(this->nodes[index]->waiting, {});
    for (auto& each : waiting) {
        each();
    }
}

void fleet::tick(std::size_t index, std::uint64_t incarnation) {
    if (this->nodes[index]->incarnation != incarnation) {
        return;
    }
    if (index == 0) {
        this->platform.expire(this->time);
    }
    if (!this->nodes[index]->paused) {
        this->refresh_view(index);
        this->deliver(index, incarnation, [this](node& target) {
            double before = this->options.measure_cpu ? cpu_us() : 0;
            target.decision->tick(this->time);
            if (this->options.measure_cpu) {
                this->tick_us.push_back(cpu_us() - before);
            }
        });
    }
    this->schedule(tick_interval, [this, index, incarnation] { this->tick(index, incarnation); });
}

void fleet::refresh_view(std::size_t index) {
    node& target = *this->nodes[index];
    if (target.ticks++ % 5 != 0) {
        return;
    }
    for (std::size_t peer : target.connections) {
        const node& other = *this->nodes[peer];
        if (!other.paused && this->reachable(index, peer)) {
            target.tracker->record_contact(this->time, other.record, other.incarnation);
            target.decision->record_contact(other.record.id, this->time);
        }
    }
    const confirmation& state = target.decision->confirmation_state();
    target.tracker->record_reported_contacts(state.list_revision(), state.contact_times());
    target.decision->set_view(target.tracker->refresh(this->time));
}

void fleet::set_partition(std::size_t index, int partition) {
    this->nodes[index]->partition = partition;
    this->schedule(heartbeat_timeout, [this, index] {
        auto connections = this->nodes[index]->connections;
        for (std::size_t peer : connections) {
            if (!this->reachable(index, peer)) {
                this->close(index, peer);
            }
        }
    });
}

bool fleet::reachable(std::size_t a, std::size_t b) const {
    return this->nodes[a]->partition == this->nodes[b]->partition;
}

void fleet::execute(std::size_t index) {
    for (const action& each : this->nodes[index]->decision->take_actions()) {
        this->execute_one(index, each);
    }
}

void fleet::execute_one(std::size_t index, const action& each) {
    if (const auto* message = std::get_if<send_message>(&each)) {
        this->send(index, *message);
    } else if (const auto* request = std::get_if<read_document>(&each)) {
        this->read(index, *request);
    } else if (const auto* follow = std::get_if<follow_platform>(&each)) {
        this->nodes[index]->follower->set_following(follow->following);
    } else if (const auto* opening = std::get_if<open_connection>(&each)) {
        this->open(index, opening->address);
    } else if (const auto* closing = std::get_if<close_connection>(&each)) {
        this->close(index, this->index_of(closing->peer));
    } else if (const auto* list = std::get_if<adopt_list>(&each)) {
        node& target = *this->nodes[index];
        target.tracker->adopt(this->time, list->list);
        target.decision->set_view(target.tracker->refresh(this->time));
    }
}

void fleet::send(std::size_t from, const send_message& message) {
    std::size_t to = this->index_of(message.peer);
    std::size_t bytes = messages::encode(message.message).size();
    this->bytes_sent += bytes;
    this->nodes[from]->bytes_sent += bytes;
    if (!this->nodes[from]->connections.contains(to) ||
        this->random.uniform() < this->options.loss) {
        return;
    }
    std::uint64_t incarnation = this->nodes[to]->incarnation;
    if (std::holds_alternative<messages::document>(message.message)) {
        ++this->bodies_sent;
        bool inside =
            this->nodes[from]->record.failure_domain == this->nodes[to]->record.failure_domain;
        this->bodies_between_domains += inside ? 0 : 1;
    }
    mono_duration transit =
        this->delay() + this->link_time(*this->nodes[from], *this->nodes[to], bytes);
    this->schedule(transit, [this, from, to, incarnation, content = message.message] {
        if (!this->reachable(from, to)) {
            return;
        }
        this->deliver(to, incarnation,
                      [this, from, to, content](node&) { this->receive(from, to, content); });
    });
}

mono_duration fleet::link_time(node& from, node& to, std::size_t bytes) const {
    if (this->options.link_mbps <= 0) {
        return mono_duration(0);
    }
    constexpr double bits = 8;
    constexpr double mega = 1e6;
    auto carried = std::chrono::duration_cast<mono_duration>(std::chrono::duration<double>(
        static_cast<double>(bytes) * bits / (this->options.link_mbps * mega)));
    from.upload_free = std::max(from.upload_free, this->time) + carried;
    to.download_free = std::max(to.download_free, from.upload_free) + carried;
    return to.download_free - this->time;
}

std::uint64_t fleet::take_most_bytes_sent() {
    std::uint64_t most = 0;
    for (auto& each : this->nodes) {
        most = std::max(most, std::exchange(each->bytes_sent, 0));
    }
    return most;
}

void fleet::receive(std::size_t from, std::size_t to, const messages::peer_message& message) {
    node& target = *this->nodes[to];
    const std::string& peer = this->nodes[from]->record.id;
    if (const auto* digest = std::get_if<messages::digest>(&message)) {
        double before = this->options.measure_cpu ? cpu_us() : 0;
        target.decision->receive(this->time, peer, *digest);
        target.tracker->record_leaving(peer, this->nodes[from]->incarnation, digest->leaving);
        if (this->options.measure_cpu) {
            this->digest_us.push_back(cpu_us() - before);
        }
    } else if (const auto* request = std::get_if<messages::document_request>(&message)) {
        target.decision->receive(this->time, peer, *request);
    } else if (const auto* document = std::get_if<messages::document>(&message)) {
        target.decision->receive(this->time, peer, *document);
    }
}

void fleet::read(std::size_t index, const read_document& request) {
    std::uint64_t incarnation = this->nodes[index]->incarnation;
    auto answer = [this, index, incarnation, id = request.request](const platform_answer& result,
                                                                   mono_duration after) {
        this->schedule(after, [this, index, incarnation, id, result] {
            // The platform client times out when a partition blocks the answer.
            bool lost = this->nodes[index]->partition != 0 && succeeded_read(result);
            platform_answer seen = result;
            if (lost) {
                seen.emplace<platform_unavailable>();
            }
            this->deliver(index, incarnation, [this, id, seen](node& target) {
                target.decision->on_platform_answer(this->time, id, seen);
            });
        });
    };
    if (this->options.core.mirrored) {
        this->nodes[index]->follower->read(
            this->time, request,
            [answer](const platform_answer& result) { answer(result, mono_duration(0)); });
        return;
    }
    if (this->nodes[index]->partition != 0) {
        static const platform_answer unavailable = platform_unavailable{};
        answer(unavailable, platform_timeout);
        return;
    }
    this->schedule(this->delay(), [this, request, answer] {
        this->platform.read(
            this->time, this->time + request.wait, request.name, request.after,
            [this, answer](const platform_answer& result) { answer(result, this->delay()); });
    });
}

void fleet::open(std::size_t from, const std::string& address) {
    std::size_t to = this->index_of(address);
    std::uint64_t incarnation = this->nodes[from]->incarnation;
    this->schedule(this->delay(), [this, from, to, incarnation, address] {
        bool possible = from != to && this->reachable(from, to) && !this->nodes[to]->paused;
        if (this->nodes[from]->incarnation != incarnation) {
            return;
        }
        if (possible && this->nodes[from]->connections.insert(to).second) {
            this->nodes[to]->connections.insert(from);
            this->deliver(to, this->nodes[to]->incarnation, [this, from](node& target) {
                target.decision->on_connection_opened(this->time, this->nodes[from]->record, "");
            });
            this->deliver(from, incarnation, [this, to, address](node& target) {
                target.decision->on_connection_opened(this->time, this->nodes[to]->record, address);
            });
        } else if (!possible) {
            this->deliver(from, incarnation, [this, address](node& target) {
                target.decision->on_connection_failed(this->time, address);
            });
        }
    });
}

void fleet::close(std::size_t a, std::size_t b) {
    for (auto [self, peer] : {std::pair(a, b), std::pair(b, a)}) {
        if (this->nodes[self]->connections.erase(peer) != 0) {
            this->deliver(self, this->nodes[self]->incarnation, [this, peer = peer](node& target) {
                target.decision->on_connection_closed(this->nodes[peer]->record.id);
            });
        }
    }
}

void fleet::publish(const std::string& name, std::uint64_t revision, const std::string& body) {
    this->platform.publish(name, revision, body);
    this->store.documents[name] = {
        .revision = revision, .body = body, .checksum = checksum64(body)};
    ++this->store.version;
}

void fleet::publish_list(std::uint64_t revision) {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& each : this->nodes) {
        const membership::instance_record& record = each->record;
        list.push_back({{"id", record.id},
                        {"address", record.address},
                        {"failure_domain", record.failure_domain},
                        {"site", record.site},
                        {"service", record.service},
                        {"state", "live"}});
    }
    this->publish("instances", revision, nlohmann::json{{"instances", list}}.dump());
}

std::uint64_t fleet::held_revision(std::size_t index, const std::string& name) const {
    const held_documents& documents = this->at(index).documents();
    return documents.held(documents.index_of(name).value()).revision;
}

std::uint64_t fleet::in_force_revision(std::size_t index, const std::string& name) const {
    const held_documents& documents = this->at(index).documents();
    return documents.held(documents.index_of(name).value()).revision_in_force;
}

std::size_t fleet::suspected_count(std::size_t index) const {
    const auto& listed = this->nodes[index]->tracker->refresh(this->time)->listed();
    return static_cast<std::size_t>(
        std::count_if(listed.begin(), listed.end(), [](const membership::member& each) {
            return each.state == membership::instance_state::suspected;
        }));
}

bool fleet::all_match(const std::function<bool(std::size_t)>& condition) const {
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        if (!condition(i)) {
            return false;
        }
    }
    return true;
}

milliseconds fleet::run_until_all(const std::function<bool(std::size_t)>& condition,
                                  milliseconds limit) {
    mono_time begin = this->time;
    while (!this->all_match(condition) && this->time - begin < limit) {
        this->run(milliseconds(10));
    }
    return std::chrono::duration_cast<milliseconds>(this->time - begin);
}

}  // namespace trefoil::dissemination
