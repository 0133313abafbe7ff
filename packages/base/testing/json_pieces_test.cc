// Tests of the splitting of JSON into pieces.

#define BOOST_TEST_MODULE json_pieces
#include "base/json_pieces.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace trefoil {

namespace {

// Formats each piece as [name=text]; returns "nothing" when the text was not split.
std::string format_pieces(const std::optional<std::vector<json_piece>>& pieces) {
    std::string texts;
    for (const json_piece& each : pieces.value_or(std::vector<json_piece>())) {
        texts += "[" + std::string(each.name) + "=" + std::string(each.text) + "]";
    }
    return pieces ? texts : "nothing";
}

std::string object(std::string_view text) {
    return format_pieces(split_json_object(text));
}

}  // namespace

// Guards against pieces that end too early or too late, for example at a comma of a nested value.
BOOST_AUTO_TEST_CASE(objects_and_arrays_are_split_at_top_level_commas) {
    BOOST_TEST(object("{}") == "");
    BOOST_TEST(object(" { \"a\" : 1 , \"b\":{\"c\":[1,{}]} }\n") == "[a=1][b={\"c\":[1,{}]}]");
    BOOST_TEST(object(R"({"a":"}],{\"","b":"\\"})") == R"([a="}],{\""][b="\\"])");
    BOOST_TEST(object(R"({"b":[ 1 , 2 ],"a":null})") == "[b=[ 1 , 2 ]][a=null]");
    BOOST_TEST(format_pieces(split_json_array("[1, \"x,y\" ,[2,3]]")) == "[=1][=\"x,y\"][=[2,3]]");
    BOOST_TEST(format_pieces(split_json_array("[]")) == "");
}

// Guards against malformed text whose pieces would each be accepted by a parser.
BOOST_AUTO_TEST_CASE(malformed_text_is_not_split) {
    using namespace std::string_literals;
    for (const std::string& text :
         {""s, "7"s, "[]"s, "{"s, "{\"a\"}"s, "{\"a\":}"s, "{\"a\":1,}"s, "{,}"s, "{\"a\":1}}"s,
          "{\"a\":1} 2"s, "{a:1}"s, "{\"a\":\"1}"s, "{\"a\":\"1\\\"}"s, "{\"a\":1"s,
          "{\"a\":\xef\xbb\xbf"
          "1}"s,
          "\xef\xbb\xbf{}"s, "{\"a\":1\0}"s, "{\"a\":1}\0"s}) {
        BOOST_TEST(object(text) == "nothing", text);
    }
    BOOST_TEST(object(R"({"a":1 "b":2})") == "nothing");
    BOOST_TEST(format_pieces(split_json_array("[1,]")) == "nothing");
    BOOST_TEST(format_pieces(split_json_array("{}")) == "nothing");
}

// Guards against the loss of one of two members with the same name, and against different encodings
// of one name that count as two.
BOOST_AUTO_TEST_CASE(objects_with_duplicate_or_encoded_names_are_not_split) {
    BOOST_TEST(object(R"({"a":1,"a":2})") == "nothing");
    BOOST_TEST(object(R"({"b":1,"a":1,"b":2})") == "nothing");
    BOOST_TEST(object(R"({"\u0061":1})") == "nothing");
    BOOST_TEST(object("{\"\xc3\xa9\":1}") == "nothing");
    BOOST_TEST(object("{\"a\nb\":1}") == "nothing");
}

// Guards against escape sequences that are returned as literal characters.
BOOST_AUTO_TEST_CASE(only_strings_without_escapes_are_returned) {
    BOOST_TEST(plain_json_string("\"a+/=\"").value_or("nothing") == "a+/=");
    BOOST_TEST(plain_json_string("\"\"").value_or("nothing") == "");
    for (std::string_view text :
         {"", "\"", "7", "\"a", "\"\\n\"", "\"a\"b\"", "\"\xff\"", "\"\n\""}) {
        BOOST_TEST(!plain_json_string(text).has_value(), text);
    }
}

}  // namespace trefoil
