// Implements the schedule of platform requests.

#include "dissemination/platform_schedule.h"

#include <algorithm>

namespace trefoil::dissemination {

namespace {

// Time beyond its wait after which a request is given up, whatever the timeouts of the platform
// client, so that a lost answer cannot stop the reads of a document.
constexpr milliseconds response_timeout{10000};
// Minimum time between two requests of a reader that receives documents, so that a platform that
// answers every watch at once does not keep it busy.
constexpr milliseconds min_read_interval{200};

}  // namespace

platform_schedule::platform_schedule(const core_options& settings, random_source& source,
                                     mono_time start)
    : options(settings), random(source) {
    this->phase = start + this->jitter(settings.watch_wait);
    // The instance list is read first, because it names the readers and the peers. A daemon that is
    // no reader later reads the other documents only if peers have not delivered them by then.
    for (std::size_t i = 0; i < document_count; ++i) {
        milliseconds delay = i == list_index ? milliseconds(0) : settings.start_timeout;
        this->read_states[i].next_at = start + delay + this->jitter(settings.first_read_jitter);
        this->read_states[i].jittered = true;
    }
}

mono_duration platform_schedule::jitter(milliseconds limit) {
    auto ticks = static_cast<double>(mono_duration(limit).count());
    return mono_duration(static_cast<mono_duration::rep>(this->random.uniform() * ticks));
}

milliseconds platform_schedule::watch_wait(mono_time now) const {
    mono_duration passed = (now - this->phase) % this->options.watch_wait;
    mono_duration left = passed < mono_duration(0) ? -passed : this->options.watch_wait - passed;
    return std::chrono::ceil<milliseconds>(left);
}

milliseconds platform_schedule::backoff(unsigned failures) const {
    milliseconds limit = this->options.read_interval;
    for (unsigned i = 1; i < failures && limit < this->options.max_backoff; ++i) {
        limit *= 2;
    }
    return std::min(limit, this->options.max_backoff);
}

bool platform_schedule::watch_due(const read_state& target, mono_time now, bool reader) const {
    if (!reader) {
        return false;
    }
    // The first request of a reader does not wait for the initial `next_at`, which includes the
    // start timeout.
    bool never_asked = target.sent.issued_at == mono_time();
    return never_asked || now >= target.next_at;
}

bool platform_schedule::read_due(read_state& target, mono_time now, mono_time confirmed_at) {
    bool old = confirmed_at == mono_time::min() || now - confirmed_at > this->options.read_after;
    if (!old) {
        target.jittered = false;
        return false;
    }
    if (!target.jittered) {
        target.jittered = true;
        target.next_at =
            std::max(target.next_at, now + this->jitter(this->backoff(target.failures)));
    }
    return now >= target.next_at;
}

std::optional<read_document> platform_schedule::next_read(mono_time now, std::size_t document,
                                                          const std::string& name,
                                                          std::uint64_t held_revision, bool reader,
                                                          mono_time confirmed_at) {
    read_state& target = this->read_states[document];
    bool timed_out = now - target.sent.issued_at > target.sent.wait + response_timeout;
    if (target.request != 0 && !timed_out) {
        return std::nullopt;
    }
    bool watch = this->watch_due(target, now, reader);
    if (!watch && !this->read_due(target, now, confirmed_at)) {
        return std::nullopt;
    }
    // A reader's request has no wait when no revision is held. Its first request after a new
    // document has none either, because an answer without a wait confirms the new revision for all
    // daemons sooner than a watch.
    bool wait = watch && held_revision != 0 && !target.skip_wait;
    target.skip_wait = false;
    target.request = ++this->last_request;
    target.sent = {.document = document,
                   .after = held_revision,
                   .wait = wait ? this->watch_wait(now) : milliseconds(0),
                   .issued_at = now};
    return read_document{
        .request = target.request, .name = name, .after = held_revision, .wait = target.sent.wait};
}

std::optional<platform_schedule::sent_read> platform_schedule::finish(std::uint64_t request) {
    for (read_state& each : this->read_states) {
        if (each.request == request && request != 0) {
            each.request = 0;
            return each.sent;
        }
    }
    return std::nullopt;
}

void platform_schedule::schedule_next(mono_time now, const sent_read& finished,
                                      read_outcome outcome, bool reader, bool read_since) {
    read_state& target = this->read_states[finished.document];
    bool good = outcome == read_outcome::newer || outcome == read_outcome::confirmed;
    target.failures = good ? 0 : target.failures + 1;
    target.jittered = false;
    bool paced = good || (reader && outcome == read_outcome::stale);
    if (!paced) {
        target.jittered = true;
        target.next_at = std::max(now + this->jitter(this->backoff(target.failures)),
                                  finished.issued_at + this->options.read_interval);
        return;
    }
    if (!reader) {
        target.next_at = finished.issued_at + this->options.read_interval;
        return;
    }
    target.skip_wait = outcome == read_outcome::newer;
    if (outcome == read_outcome::confirmed && read_since) {
        target.next_at = now;
        return;
    }
    milliseconds gap = min_read_interval;
    if (outcome != read_outcome::newer) {
        // A platform that ends watches early is not queried more often than one that waits. An
        // absent document cannot be watched, only read.
        bool absent = finished.after == 0;
        gap = absent ? this->options.watch_wait : finished.wait;
    }
    target.next_at = std::max(now, finished.issued_at + gap);
}

}  // namespace trefoil::dissemination
