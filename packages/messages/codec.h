// CBOR encoding of peer messages.
//
// Example:
//
//     std::string frame = messages::encode(messages::ping{.sent_us = 12});
//     auto decoded = messages::decode(frame);
//     if (auto* message = std::get_if<messages::peer_message>(&decoded)) { ... }

#ifndef TREFOIL_MESSAGES_CODEC_H_
#define TREFOIL_MESSAGES_CODEC_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "messages/messages.h"

namespace trefoil::messages {

// The frame is not CBOR, has no known type, or lacks a field of its type.
struct decode_failure {
    std::string detail;

    friend bool operator==(const decode_failure&, const decode_failure&) = default;
};

std::string encode(const peer_message& message);

result<peer_message, decode_failure> decode(std::string_view frame);

}  // namespace trefoil::messages

#endif  // TREFOIL_MESSAGES_CODEC_H_
