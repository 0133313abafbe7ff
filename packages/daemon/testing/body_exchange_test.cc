// Tests of the exchange of large bodies, without network: each side's messages are passed to the
// other one.

#define BOOST_TEST_MODULE daemon_body_exchange
#include "daemon/body_exchange.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>

namespace trefoil::daemon {

namespace {

constexpr transport::connection_id connection = 5;
constexpr std::uint64_t sequence = 7;
constexpr std::size_t body_bytes = 20 * outgoing_bodies::part_bytes + 3;

struct recorded_link final : body_link {
    bool send_body_message(transport::connection_id,
                           const messages::body_message& message) override {
        if (this->open) {
            this->sent.push_back(message);
        }
        return this->open;
    }
    bool open = true;
    std::deque<messages::body_message> sent;
};

struct two_sides {
    void start(mono_time deadline = mono_time(std::chrono::seconds(60))) {
        this->outgoing.start(connection, sequence, edge::make_shared_body(this->body, nullptr),
                             {.deadline = deadline,
                              .wanted = [this] { return this->wanted; },
                              .arrived = [this] { ++this->arrived; },
                              .failed =
                                  [this](body_failure why) {
                                      ++this->failed;
                                      this->failure = why;
                                  }});
    }
    // Delivers one message to the receiver and its answer to the sender.
    void deliver_one() {
        messages::body_message next = std::move(this->to_receiver.sent.front());
        this->to_receiver.sent.pop_front();
        if (const auto* part = std::get_if<messages::body_part>(&next)) {
            this->incoming.on_part(connection, *part, this->now);
        } else {
            this->incoming.on_discard(connection, sequence);
        }
        while (!this->to_sender.sent.empty()) {
            messages::body_message answer = this->to_sender.sent.front();
            this->to_sender.sent.pop_front();
            if (const auto* progress = std::get_if<messages::body_progress>(&answer)) {
                this->outgoing.on_progress(connection, *progress);
            } else {
                this->outgoing.on_refusal(connection, sequence);
            }
        }
    }
    void deliver_all() {
        while (!this->to_receiver.sent.empty()) {
            this->deliver_one();
        }
    }

    edge::memory_account account{{.limit_bytes = 2 * body_bytes}};
    recorded_link to_receiver;
    recorded_link to_sender;
    outgoing_bodies outgoing{to_receiver};
    incoming_bodies incoming{to_sender, &account};
    std::string body = std::string(body_bytes - 1, 'b') + "e";
    mono_time now;
    bool wanted = true;
    int arrived = 0;
    int failed = 0;
    body_failure failure = body_failure::not_sent;
};

}  // namespace

// Guards against a body that arrives changed, against more unconfirmed bytes than the window, and
// against bytes that stay counted.
BOOST_FIXTURE_TEST_CASE(a_body_arrives_whole_within_the_window, two_sides) {
    this->start();
    while (!this->to_receiver.sent.empty()) {
        BOOST_TEST(this->to_receiver.sent.size() <=
                   outgoing_bodies::window_bytes / outgoing_bodies::part_bytes);
        BOOST_TEST(this->arrived == 0);
        this->deliver_one();
    }
    BOOST_TEST(this->arrived == 1);
    BOOST_TEST(this->failed == 0);
    BOOST_TEST(this->account.usage().held_bytes > body_bytes);
    auto whole = this->incoming.take(connection, sequence, body_bytes);
    BOOST_TEST((whole == this->body));
    BOOST_TEST(!this->incoming.take(connection, sequence, body_bytes).has_value());
    BOOST_TEST(this->account.usage().held_bytes == 0U);
}

// Guards against a call that runs with a part of its body.
BOOST_FIXTURE_TEST_CASE(an_incomplete_body_is_never_taken, two_sides) {
    this->start();
    this->deliver_one();
    BOOST_TEST(!this->incoming.take(connection, sequence, body_bytes).has_value());
    BOOST_TEST(!this->incoming.take(connection, sequence, outgoing_bodies::part_bytes).has_value());
    this->deliver_all();
    BOOST_TEST(this->arrived == 0);
}

// Guards against a receiver that exceeds its account, and against a refused body that stays there.
BOOST_FIXTURE_TEST_CASE(a_body_without_room_is_refused, two_sides) {
    edge::memory_reservation others(&this->account);
    BOOST_TEST(others.resize(body_bytes + body_bytes / 2));
    this->start();
    this->deliver_all();
    BOOST_TEST(this->arrived == 0);
    BOOST_TEST(this->failed == 1);
    BOOST_TEST((this->failure == body_failure::refused));
    BOOST_TEST(this->account.usage().held_bytes == others.size());
    BOOST_TEST(this->account.usage().refused_bodies == 1U);
}

// Guards against a sender that waits until its deadline for a body that the receiver has dropped.
BOOST_FIXTURE_TEST_CASE(parts_of_a_dropped_body_are_refused, two_sides) {
    this->start();
    this->deliver_one();
    this->incoming.expire(this->now + incoming_bodies::stall_limit + mono_duration(1));
    this->deliver_all();
    BOOST_TEST(this->failed == 1);
    BOOST_TEST((this->failure == body_failure::refused));
    BOOST_TEST(this->account.usage().held_bytes == 0U);
}

// Guards against events for a body that nobody wants, and against bytes that stay at the receiver
// after the deadline, the end of the call, a stall or the loss of the connection.
BOOST_FIXTURE_TEST_CASE(ended_bodies_are_dropped_on_both_sides, two_sides) {
    const mono_time deadline{std::chrono::seconds(1)};
    this->start(deadline);
    this->deliver_one();
    this->outgoing.expire(deadline);
    BOOST_TEST(this->failed == 1);
    this->deliver_all();
    BOOST_TEST(this->account.usage().held_bytes == 0U);

    this->start();
    this->wanted = false;
    this->deliver_all();
    BOOST_TEST(this->failed == 1);
    BOOST_TEST(this->account.usage().held_bytes == 0U);

    this->wanted = true;
    this->start();
    this->deliver_one();
    this->incoming.expire(this->now + incoming_bodies::stall_limit);
    BOOST_TEST(this->account.usage().held_bytes > 0U);
    this->incoming.expire(this->now + incoming_bodies::stall_limit + mono_duration(1));
    BOOST_TEST(this->account.usage().held_bytes == 0U);
    this->outgoing.connection_lost(connection);
    BOOST_TEST(this->failed == 2);

    this->to_receiver.sent.clear();
    this->start();
    this->deliver_one();
    this->incoming.connection_lost(connection);
    this->to_receiver.open = false;
    this->to_receiver.sent.clear();
    this->outgoing.on_progress(connection,
                               {.sequence = sequence, .received = 2 * outgoing_bodies::part_bytes});
    BOOST_TEST(this->failed == 3);
    BOOST_TEST(this->arrived == 0);
    BOOST_TEST(this->account.usage().held_bytes == 0U);
}

}  // namespace trefoil::daemon
