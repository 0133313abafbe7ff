// CBOR encoding of peer messages. Both functions are pure and safe for concurrent use.
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

// The frame is not valid CBOR, its message type is unknown, or a field is missing or malformed.
struct decode_failure {
    std::string detail;  // Text of the parser's error, for logs.

    friend bool operator==(const decode_failure&, const decode_failure&) = default;
};

// Returns the frame that represents the message.
std::string encode(const peer_message& message);

// Decodes one frame, also one of an earlier version. Never throws on malformed input.
result<peer_message, decode_failure> decode(std::string_view frame);

}  // namespace trefoil::messages

#endif  // TREFOIL_MESSAGES_CODEC_H_
