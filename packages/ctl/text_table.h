// A text table with aligned columns.
//
// Example:
//
//     ctl::text_table table({"FAILURE DOMAIN", "INSTANCE"});
//     table.add_row({"d1", "station-1"});
//     std::cout << table.to_string();

#ifndef TREFOIL_CTL_TEXT_TABLE_H_
#define TREFOIL_CTL_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace trefoil::ctl {

class text_table {
public:
    explicit text_table(std::vector<std::string> titles);

    // Adds a row; missing cells are empty, and control characters are replaced by "?".
    void add_row(std::vector<std::string> cells);

    // Sorts the rows by their cells from left to right.
    void sort_rows();

    bool empty() const { return this->rows.empty(); }

    // Returns the titles and the rows, each terminated by a newline.
    std::string to_string() const;

private:
    std::vector<std::string> titles;
    std::vector<std::vector<std::string>> rows;  // Each row has as many cells as `titles`.
};

}  // namespace trefoil::ctl

#endif  // TREFOIL_CTL_TEXT_TABLE_H_
