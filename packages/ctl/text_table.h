// A table of texts with aligned columns.
//
// Example:
//
//     ctl::text_table table({"FAILURE DOMAIN", "INSTANCE"});
//     table.add({"d1", "station-1"});
//     std::cout << table.text();

#ifndef TREFOIL_CTL_TEXT_TABLE_H_
#define TREFOIL_CTL_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace trefoil::ctl {

class text_table {
public:
    explicit text_table(std::vector<std::string> titles);

    // Adds a row; missing cells are empty, and control characters are replaced by "?".
    void add(std::vector<std::string> cells);

    // Sorts the rows by their cells from left to right.
    void sort();

    bool empty() const { return this->rows.empty(); }

    // The titles and the rows, each with a line end.
    std::string text() const;

private:
    std::vector<std::string> titles;
    std::vector<std::vector<std::string>> rows;  // Each as long as `titles`.
};

}  // namespace trefoil::ctl

#endif  // TREFOIL_CTL_TEXT_TABLE_H_
