// Implements the text table.

#include "ctl/text_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace trefoil::ctl {

namespace {

void replace_control_characters(std::string& text) {
    for (char& c : text) {
        bool control = static_cast<unsigned char>(c) < ' ' || c == 0x7f;
        c = control ? '?' : c;
    }
}

}  // namespace

text_table::text_table(std::vector<std::string> column_titles) : titles(std::move(column_titles)) {}

void text_table::add_row(std::vector<std::string> cells) {
    cells.resize(this->titles.size());
    for (std::string& cell : cells) {
        replace_control_characters(cell);
    }
    this->rows.push_back(std::move(cells));
}

void text_table::sort_rows() {
    std::sort(this->rows.begin(), this->rows.end());
}

std::string text_table::to_string() const {
    std::vector<std::size_t> widths;
    for (std::size_t column = 0; column < this->titles.size(); ++column) {
        std::size_t width = this->titles[column].size();
        for (const auto& row : this->rows) {
            width = std::max(width, row[column].size());
        }
        widths.push_back(width);
    }
    auto line = [&widths](const std::vector<std::string>& cells) {
        std::string text;
        for (std::size_t column = 0; column < cells.size(); ++column) {
            text += fmt::format("{:<{}}  ", cells[column], widths[column]);
        }
        text.erase(text.find_last_not_of(' ') + 1);
        return text + "\n";
    };
    std::string text = line(this->titles);
    for (const auto& row : this->rows) {
        text += line(row);
    }
    return text;
}

}  // namespace trefoil::ctl
