// Tests of the splitting of JSON.

#define BOOST_TEST_MODULE json_pieces
#include "base/json_pieces.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace trefoil {

namespace {

// The pieces as name=text, each in brackets.
std::string pieces_of(const std::optional<std::vector<json_piece>>& pieces) {
    std::string texts;
    for (const json_piece& each : pieces.value_or(std::vector<json_piece>())) {
        texts += "[" + std::string(each.name) + "=" + std::string(each.text) + "]";
    }
    return pieces ? texts : "nothing";
}

std::string object(std::string_view text) {
    return pieces_of(split_json_object(text));
}

}  // namespace

// Guards against a piece that ends too early or too late.
BOOST_AUTO_TEST_CASE(an_object_is_split_at_its_own_commas) {
    BOOST_TEST(object("{}") == "");
    BOOST_TEST(object(" { \"a\" : 1 , \"b\":{\"c\":[1,{}]} }\n") == "[a=1][b={\"c\":[1,{}]}]");
    BOOST_TEST(object(R"({"a":"}],{\"","b":"\\"})") == R"([a="}],{\""][b="\\"])");
    BOOST_TEST(object(R"({"b":[ 1 , 2 ],"a":null})") == "[b=[ 1 , 2 ]][a=null]");
    BOOST_TEST(pieces_of(split_json_array("[1, \"x,y\" ,[2,3]]")) == "[=1][=\"x,y\"][=[2,3]]");
    BOOST_TEST(pieces_of(split_json_array("[]")) == "");
}

// Guards against text that is taken for valid JSON although a parser accepts each of its pieces.
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
    BOOST_TEST(pieces_of(split_json_array("[1,]")) == "nothing");
    BOOST_TEST(pieces_of(split_json_array("{}")) == "nothing");
}

// Guards against one of two members being lost, and against two spellings of one name.
BOOST_AUTO_TEST_CASE(names_that_need_a_parser_are_not_split) {
    BOOST_TEST(object(R"({"a":1,"a":2})") == "nothing");
    BOOST_TEST(object(R"({"b":1,"a":1,"b":2})") == "nothing");
    BOOST_TEST(object(R"({"\u0061":1})") == "nothing");
    BOOST_TEST(object("{\"\xc3\xa9\":1}") == "nothing");
    BOOST_TEST(object("{\"a\nb\":1}") == "nothing");
}

// Guards against escapes that are taken for characters.
BOOST_AUTO_TEST_CASE(only_plain_strings_are_read) {
    BOOST_TEST(plain_json_string("\"a+/=\"").value_or("nothing") == "a+/=");
    BOOST_TEST(plain_json_string("\"\"").value_or("nothing") == "");
    for (std::string_view text :
         {"", "\"", "7", "\"a", "\"\\n\"", "\"a\"b\"", "\"\xff\"", "\"\n\""}) {
        BOOST_TEST(!plain_json_string(text).has_value(), text);
    }
}

}  // namespace trefoil
