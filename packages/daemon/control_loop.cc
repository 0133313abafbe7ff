// Implements the control loop: one thread that ticks the core and the threads that read documents
// of the platform.

#include "daemon/control_loop.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/log.h"
#include "base/result.h"
#include "daemon/state_change_log.h"

namespace trefoil::daemon {

namespace {

constexpr std::chrono::milliseconds tick_interval{50};
// Interval of passing the times of the peers' last frames to the core. Peers report contact ages in
// units of 100 ms, and a contact counts for 10 s.
constexpr std::chrono::milliseconds contact_update_interval{500};
// One thread for a long poll of each of the three documents, and one for a read between polls.
constexpr int platform_threads = 4;

dissemination::read_origin to_origin(const source::read_origin& origin) {
    return {.revision = origin.revision, .partial = origin.partial, .at = origin.at};
}

dissemination::platform_answer to_answer(source::read_result result) {
    return std::visit(
        overloaded{[](source::document& found) -> dissemination::platform_answer {
                       return dissemination::platform_document{.revision = found.revision,
                                                               .body = std::move(found.body),
                                                               .origin = to_origin(found.origin)};
                   },
                   [](source::unchanged& same) -> dissemination::platform_answer {
                       return dissemination::platform_unchanged{.revision = same.revision,
                                                                .checksum = same.checksum,
                                                                .origin = to_origin(same.origin)};
                   },
                   [](source::absent&) -> dissemination::platform_answer {
                       return dissemination::platform_absent{};
                   },
                   [](source::unavailable&) -> dissemination::platform_answer {
                       return dissemination::platform_unavailable{};
                   }},
        result);
}

membership::instance_record record_of(const messages::hello& peer) {
    return {.id = peer.instance,
            .address = peer.address,
            .failure_domain = peer.failure_domain,
            .site = peer.site,
            .service = peer.service};
}

// Whether the sender of the digest has a configuration in force without an overlay of its site.
bool shows_absent_overlay(const messages::digest& digest, const std::string& overlay) {
    bool base_in_force = false;
    bool overlay_without_revision = false;
    for (const messages::document_state& each : digest.documents) {
        base_in_force = base_in_force || (each.name == "base" && each.revision_in_force > 0);
        overlay_without_revision =
            overlay_without_revision || (each.name == overlay && each.revision == 0);
    }
    return base_in_force && overlay_without_revision;
}

// An instance that is leaving only by its own announcement is stopping: its daemon shuts down,
// while the platform still lists its upstream as live.
routing::candidate_state state_of(const membership::member& each) {
    switch (each.state) {
        case membership::instance_state::live:
            return routing::candidate_state::live;
        case membership::instance_state::leaving:
            return each.record->state == membership::listed_state::leaving
                       ? routing::candidate_state::leaving
                       : routing::candidate_state::stopping;
        default:
            return routing::candidate_state::suspected;
    }
}

// Only listed instances are candidates: an instance that operators removed must get no calls, even
// while it is still in contact. `stopping_self` is the id of this instance while it drains, and
// empty otherwise.
std::shared_ptr<const routing::candidate_list> make_candidates(const membership::view& view,
                                                               const config::snapshot& snapshot,
                                                               std::string_view stopping_self) {
    routing::candidate_list::services by_service;
    for (const membership::member& each : view.listed()) {
        const membership::instance_record& record = *each.record;
        routing::candidate_state state = state_of(each);
        if (record.id == stopping_self && state == routing::candidate_state::live) {
            state = routing::candidate_state::stopping;
        }
        by_service[record.service].push_back(
            {.instance = record.id,
             .address = record.address,
             .failure_domain = record.failure_domain,
             .state = state,
             .taken_out = snapshot.is_taken_out(record.id, record.failure_domain)});
    }
    return std::make_shared<const routing::candidate_list>(std::move(by_service));
}

}  // namespace

control_loop::control_loop(const dissemination::core_options& given, const messages::hello& self,
                           shared_state& daemon_state, source::configuration_service& service,
                           const time_source& time)
    : options(given),
      own_record(record_of(self)),
      incarnation(self.incarnation),
      shared(daemon_state),
      platform(service),
      clock(time),
      random(entropy_seed()),
      store(given.site, given.max_document_bytes),
      core(given, this->store, this->random, time.now()) {}

control_loop::~control_loop() {
    this->stop();
}

void control_loop::start() {
    this->threads.emplace_back([this] { this->run(); });
    for (int i = 0; i < platform_threads; ++i) {
        this->threads.emplace_back([this] { this->run_platform_reads(); });
    }
}

void control_loop::stop() {
    {
        absl::MutexLock lock(&this->read_mutex);
        this->stopping = true;
    }
    for (std::thread& thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
}

template <class Input>
void control_loop::apply_input(Input input) {
    std::vector<dissemination::action> actions;
    {
        absl::MutexLock lock(&this->mutex);
        mono_time now = this->clock.now();
        input(now);
        actions = this->core.take_actions();
        for (const dissemination::action& each : actions) {
            if (const auto* adopted = std::get_if<dissemination::adopt_list>(&each)) {
                this->tracker.adopt(now, adopted->list);
            }
        }
        this->publish(now);
    }
    this->execute(actions);
}

void control_loop::run() {
    while (!this->stopping) {
        this->apply_input([this](mono_time now) {
            this->tracker.record_contact(now, this->own_record, this->incarnation);
            this->record_peer_contacts(now);
            this->core.tick(now);
        });
        this->connections->tick();
        std::this_thread::sleep_for(tick_interval);
    }
}

// Any frame shows that the peer that sent it is alive, including those of calls and heartbeats.
void control_loop::record_peer_contacts(mono_time now) {
    if (now < this->next_contact_update) {
        return;
    }
    this->next_contact_update = now + contact_update_interval;
    for (const auto& [instance, heard] : this->connections->last_heard()) {
        this->core.record_contact(instance, heard);
    }
}

void control_loop::on_connection_open(const messages::hello& peer, bool first) {
    this->apply_input([&](mono_time now) {
        membership::instance_record record = record_of(peer);
        this->tracker.record_contact(now, record, peer.incarnation);
        if (first) {
            this->open_peers[peer.address] = record;
            bool requested_by_core = this->requested_addresses.erase(peer.address) != 0;
            this->core.on_connection_opened(now, record, requested_by_core ? peer.address : "");
        }
    });
}

void control_loop::on_connection_closed(const messages::hello& peer, bool last) {
    if (last) {
        this->apply_input([&](mono_time) {
            this->open_peers.erase(peer.address);
            this->core.on_connection_closed(peer.instance);
        });
    }
}

void control_loop::on_dial_failed(const std::string& address) {
    this->apply_input([&](mono_time now) {
        this->requested_addresses.erase(address);
        this->core.on_connection_failed(now, address);
    });
}

void control_loop::on_message(const messages::hello& peer, const messages::peer_message& message) {
    this->apply_input([&](mono_time now) {
        this->tracker.record_contact(now, record_of(peer), peer.incarnation);
        if (const auto* digest = std::get_if<messages::digest>(&message)) {
            this->tracker.record_leaving(peer.instance, peer.incarnation, digest->leaving);
            if (peer.site == this->options.site &&
                shows_absent_overlay(*digest, config::overlay_document_name(peer.site))) {
                this->store.offer_absent_overlay();
            }
            this->core.receive(now, peer.instance, *digest);
        } else if (const auto* request = std::get_if<messages::document_request>(&message)) {
            this->core.receive(now, peer.instance, *request);
        } else if (const auto* document = std::get_if<messages::document>(&message)) {
            this->core.receive(now, peer.instance, *document);
        }
    });
}

void control_loop::begin_leaving() {
    this->apply_input([this](mono_time now) {
        this->leaving = true;
        this->core.set_leaving(now);
        this->publish_candidates();
    });
}

void control_loop::publish(mono_time now) {
    const auto& confirmations = this->core.confirmation_state();
    this->tracker.record_reported_contacts(confirmations.list_revision(),
                                           confirmations.contact_times());
    auto view = this->tracker.refresh(now);
    auto snapshot = this->store.configuration().in_force();
    bool view_changed = view != this->published_view;
    bool snapshot_changed = snapshot != this->published_snapshot;
    if (view_changed) {
        if (this->published_view != nullptr) {
            log_member_changes(*this->published_view, *view, now);
        }
        this->published_view = view;
        this->core.set_view(view);
        this->shared.members.publish(view);
    }
    if (snapshot_changed) {
        this->published_snapshot = snapshot;
        this->shared.snapshot.publish(snapshot);
    }
    if (view_changed || snapshot_changed) {
        this->publish_candidates();
    }
    this->publish_control_state();
}

void control_loop::publish_candidates() {
    if (this->published_view == nullptr || this->published_snapshot == nullptr) {
        return;
    }
    this->shared.candidates.publish(make_candidates(*this->published_view,
                                                    *this->published_snapshot,
                                                    this->leaving ? this->options.instance : ""));
}

void control_loop::publish_control_state() {
    auto state = std::make_shared<control_state>();
    state->ready = this->core.ready() && this->published_snapshot != nullptr;
    state->reader = this->core.reader();
    state->waiting_for = state->ready ? "" : this->core.waiting_for();
    state->confirmed_at = this->core.confirmed_at();
    state->versions = this->store.configuration().versions();
    state->list_revision = this->published_view->list_revision();
    state->rejected = this->store.configuration().last_failure();
    const dissemination::core_counts& counts = this->core.counts();
    state->platform_reads = counts.platform_reads;
    state->stale_answers = counts.stale_answers;
    state->checksum_conflicts = counts.checksum_conflicts;
    state->documents_received = counts.documents_received;
    state->documents_sent = counts.documents_sent;
    this->shared.control.publish(std::move(state));
}

void control_loop::execute(const std::vector<dissemination::action>& actions) {
    for (const dissemination::action& each : actions) {
        this->execute_one(each);
    }
}

void control_loop::execute_one(const dissemination::action& action) {
    std::visit(
        overloaded{[this](const dissemination::send_message& send) {
                       this->connections->send_if_open(send.peer, send.message);
                   },
                   [this](const dissemination::read_document& read) {
                       absl::MutexLock lock(&this->read_mutex);
                       this->reads.push_back(read);
                   },
                   [this](const dissemination::refresh_platform&) { this->platform.refresh(); },
                   [this](const dissemination::follow_platform& follow) {
                       this->platform.set_following(follow.following);
                   },
                   [this](const dissemination::open_connection& open) {
                       this->open_gossip_connection(open.address);
                   },
                   // The connection stays open until the idle timeout, because calls may use it.
                   [](const dissemination::close_connection&) {},
                   [](const dissemination::configuration_offered&) {},
                   [](const dissemination::adopt_list& adopted) {
                       log(log_level::info, "instance_list_adopted",
                           {{"revision", fmt::to_string(adopted.list->revision())},
                            {"checksum", fmt::format("{:016x}", adopted.checksum)},
                            {"instances", fmt::to_string(adopted.list->records().size())}});
                   },
                   [](const dissemination::report_invalid_list& invalid) {
                       log(log_level::error, "instance_list_rejected",
                           {{"revision", fmt::to_string(invalid.revision)},
                            {"detail", invalid.detail}});
                   }},
        action);
}

// Gossip also uses connections that were opened for calls or limits, but such a peer becomes a
// gossip peer only when the core requests it. Otherwise every daemon would gossip only with the
// homes of workspaces (the daemons that grant their tokens, to which all others are connected) and
// receive no updates from other daemons.
void control_loop::open_gossip_connection(const std::string& address) {
    bool connected = false;
    this->apply_input([&](mono_time now) {
        auto found = this->open_peers.find(address);
        connected = found != this->open_peers.end();
        if (connected) {
            this->core.on_connection_opened(now, found->second, address);
        } else {
            this->requested_addresses.insert(address);
        }
    });
    if (!connected) {
        this->connections->dial(address);
    }
}

void control_loop::run_platform_reads() {
    while (true) {
        dissemination::read_document next;
        {
            absl::MutexLock lock(&this->read_mutex);
            this->read_mutex.Await(absl::Condition(this, &control_loop::has_reads_or_is_stopping));
            if (this->stopping) {
                return;
            }
            next = std::move(this->reads.front());
            this->reads.pop_front();
        }
        this->read_platform(next);
    }
}

void control_loop::read_platform(const dissemination::read_document& read) {
    source::read_result result = this->platform.read({.name = read.name,
                                                      .after = read.after,
                                                      .wait = read.wait,
                                                      .checksum = read.checksum,
                                                      .read_revision = read.read_revision});
    bool no_overlay = std::holds_alternative<source::absent>(result) &&
                      read.name == config::overlay_document_name(this->options.site);
    dissemination::platform_answer answer = to_answer(std::move(result));
    this->apply_input([&](mono_time now) {
        if (no_overlay) {
            this->store.offer_absent_overlay();
        }
        this->core.on_platform_answer(now, read.request, answer);
    });
}

}  // namespace trefoil::daemon
