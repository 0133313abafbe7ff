// Simulates a fleet of dissemination cores in simulated time, against a fake platform. The network
// has seeded delays and message loss; partitions, pauses and restarts can be injected.

#ifndef TREFOIL_DISSEMINATION_TESTING_FLEET_H_
#define TREFOIL_DISSEMINATION_TESTING_FLEET_H_

#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "dissemination/core.h"
#include "dissemination/testing/fake_document_store.h"
#include "dissemination/testing/fake_platform.h"
#include "dissemination/testing/simulated_follower.h"
#include "membership/tracker.h"

namespace trefoil::dissemination {

struct fleet_options {
    std::size_t count = 40;
    std::size_t domains = 4;
    std::size_t sites = 1;  // Domain d belongs to site d % sites.
    std::uint64_t seed = 1;
    double loss = 0;                // Probability that a message is lost.
    milliseconds longest_delay{5};  // Maximum random delay of an event, added to 0.5 ms.
    // Bandwidth of each node's link to the network, for messages in each direction; 0: unlimited.
    double link_mbps = 0;
    bool one_counter = false;  // See simulated_store.
    core_options core = {};    // The identity and the seeds are filled in.
    bool measure_cpu = false;  // Measures the CPU time of ticks and digests.
};

class fleet {
public:
    explicit fleet(fleet_options settings);

    void run(milliseconds duration);
    mono_time now() const { return this->time; }

    std::size_t size() const { return this->nodes.size(); }
    core& at(std::size_t index) { return *this->nodes[index]->decision; }
    const core& at(std::size_t index) const { return *this->nodes[index]->decision; }
    const std::string& site_of(std::size_t index) { return this->nodes[index]->record.site; }

    void publish(const std::string& name, std::uint64_t revision, const std::string& body);
    void publish_list(std::uint64_t revision);

    void pause(std::size_t index) { this->nodes[index]->paused = true; }
    // Delivers the messages that arrived during the pause at the current time.
    void resume(std::size_t index);
    void restart(std::size_t index);
    // Sets how the store treats the node's calls. Requires core_options::mirrored.
    void set_access(std::size_t index, store_access access);
    void set_refused(std::size_t index, bool refused) {
        this->set_access(index, refused ? store_access::refused : store_access::served);
    }

    // Nodes of different partitions cannot exchange messages. Only partition 0 reaches the
    // platform.
    void set_partition(std::size_t index, int partition);

    std::uint64_t held_revision(std::size_t index, const std::string& name) const;
    std::uint64_t in_force_revision(std::size_t index, const std::string& name) const;
    // Number of listed instances that the node suspects.
    std::size_t suspected_count(std::size_t index) const;
    bool confirmed(std::size_t index) const { return this->at(index).confirmed(this->time); }
    // Whether `condition` holds for every node.
    bool all_match(const std::function<bool(std::size_t)>& condition) const;
    // Runs until `condition` holds for every node. Returns the elapsed time, or `limit`.
    milliseconds run_until_all(const std::function<bool(std::size_t)>& condition,
                               milliseconds limit);

    fake_platform platform;
    simulated_store store;          // Replaces `platform` with core_options::mirrored.
    std::uint64_t bodies_sent = 0;  // Documents sent between nodes.
    std::uint64_t bodies_between_domains = 0;
    std::uint64_t bytes_sent = 0;  // Encoded messages sent by all nodes.
    // The highest number of bytes that one node has sent since the last call.
    std::uint64_t take_most_bytes_sent();
    // How often a held revision or a revision in force decreased without a restart.
    std::uint64_t regressions = 0;
    // CPU time of each tick and each received digest, in microseconds, with
    // fleet_options::measure_cpu.
    std::vector<double> tick_us;
    std::vector<double> digest_us;

private:
    struct node {
        membership::instance_record record;
        std::uint64_t incarnation = 0;
        std::unique_ptr<seeded_random> random;
        std::unique_ptr<fake_document_store> store;
        std::unique_ptr<core> decision;
        std::unique_ptr<membership::tracker> tracker;
        std::unique_ptr<simulated_follower> follower;
        store_access access = store_access::served;
        bool paused = false;
        int partition = 0;
        std::set<std::size_t> connections;
        std::vector<std::function<void()>> waiting;  // Inputs that arrived during a pause.
        std::uint64_t bytes_sent = 0;                // Since the last take_most_bytes_sent().
        // When the link has carried everything that was passed to it so far.
        mono_time upload_free;
        mono_time download_free;
        std::uint64_t highest[document_count][2] = {};
        unsigned ticks = 0;
    };
    struct event {
        mono_time at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const event& other) const {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    void schedule(mono_duration delay, std::function<void()> run);
    // Passes an input to one incarnation of a node, or queues it while the node is paused.
    void deliver(std::size_t index, std::uint64_t incarnation, std::function<void(node&)> input);
    mono_duration delay();
    bool reachable(std::size_t a, std::size_t b) const;
    void start(std::size_t index);
    void tick(std::size_t index, std::uint64_t incarnation);
    void step_follower(std::size_t index, std::uint64_t incarnation);
    void refresh_view(std::size_t index);
    void execute(std::size_t index);
    void execute_one(std::size_t index, const action& each);
    void send(std::size_t from, const send_message& message);
    // Returns the time until a message that is sent now has passed both links.
    mono_duration link_time(node& from, node& to, std::size_t bytes) const;
    void receive(std::size_t from, std::size_t to, const messages::peer_message& message);
    void read(std::size_t index, const read_document& request);
    void open(std::size_t from, const std::string& address);
    void close(std::size_t a, std::size_t b);
    void count_regressions(node& target);
    std::size_t index_of(const std::string& text) const;

    fleet_options options;
    seeded_random random;
    mono_time time = mono_time(std::chrono::hours(1));
    std::uint64_t events = 0;
    std::priority_queue<event> queue;
    std::vector<std::unique_ptr<node>> nodes;
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_TESTING_FLEET_H_
