// Where an ingress sends a call: what it learned from the results of earlier calls, and the choice
// that follows from it.
//
// Example:
//
//     upstream_choice choice("d1", shared);
//     auto picked = choice.pick(call, now);
//     choice.sent(target.instance, now);
//     choice.result_came(*attempt, result, now);

#ifndef TREFOIL_DAEMON_UPSTREAM_CHOICE_H_
#define TREFOIL_DAEMON_UPSTREAM_CHOICE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/sharded_map.h"
#include "base/time.h"
#include "daemon/entry_call.h"
#include "daemon/shared_state.h"
#include "messages/messages.h"
#include "routing/late_refusals.h"
#include "routing/load_table.h"
#include "routing/recent_refusals.h"
#include "routing/upstream_picker.h"

namespace trefoil::daemon {

// Safe for concurrent use; a call is handed in by one thread at a time.
class upstream_choice {
public:
    upstream_choice(std::string own_domain, const shared_state& daemon_state);

    // The upstream for the call's next attempt. A call that no upstream can serve in time, or that
    // several have refused, is changed to one that may be late; after as many further refusals
    // there is none. Of a large service that is full, a call may be late at once, and fewer
    // refusals are enough.
    routing::pick_result pick(detail::entry_call& call, mono_time now) const;
    routing::pick_result pick(detail::entry_call& call, mono_time now, random_source& random) const;

    // Keeps what led to the choice of `target`, for the log.
    void describe(detail::attempt& started, const routing::candidate& target, mono_time now) const;

    void sent(const std::string& instance, mono_time now);
    void result_came(const detail::attempt& ended, const messages::call_result& result,
                     mono_time now);
    void ended_without_result(const std::string& instance);
    void connection_failed(const std::string& instance, mono_time now);
    void set_connected(const std::string& instance, bool connected);
    // Addresses of some instances of the own failure domain without a connection, at most `most`.
    // Calls find a connection there then.
    std::vector<std::string> unconnected_neighbours(std::size_t most) const;
    void response_delivered(const std::string& route, std::size_t bytes);

    // Forgets what says nothing any more. To be called every few milliseconds.
    void expire(mono_time now);

    const routing::load_table& loads() const { return this->load; }
    const routing::upstream_picker& picker() const { return this->chooser; }

private:
    routing::pick_context context_of(const detail::entry_call& call) const;
    // Lets a call that no upstream can serve in time take a late place. False: there is none.
    bool accept_late_place(detail::entry_call& call, mono_time now) const;
    // Likewise before the first attempt when only one upstream is left to ask: then nothing is won
    // by asking it twice.
    void ask_once(detail::entry_call& call, const std::vector<routing::candidate>& candidates,
                  mono_time now) const;
    // Whether most instances of the service refuse calls that are offered like this one.
    bool full(const detail::entry_call& call, mono_time now) const;
    // The refusals of calls that were offered like this one.
    routing::recent_refusals& offers_of(const detail::entry_call& call);
    void note_refusal(detail::entry_call& call, const std::string& instance,
                      const messages::call_result& result, mono_time now);

    const std::string failure_domain;  // Of this daemon.
    const shared_state& shared;
    routing::load_table load;
    routing::late_refusals late_places;
    routing::recent_refusals refused_in_time;  // Of calls that must not be late.
    routing::recent_refusals refused_late;     // Of calls that may be.
    const routing::upstream_picker chooser;
    sharded_map<std::string, double> response_kib;  // Mean size of responses, by route.
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_UPSTREAM_CHOICE_H_
