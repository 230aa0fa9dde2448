#include "config/csv.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/algorithm/string.hpp>

namespace bluebell::config {
namespace {

using nlohmann::json;

const std::string kDigest(64, '0');

const std::vector<std::pair<std::string, json>> kRows = {
    {"accounts",
     {{"id", "a"}, {"weight", 2}, {"rate", 3}, {"burst", 4}, {"priority", 0}}},
    {"keys", {{"digest", kDigest}, {"account", "a"}, {"withdrawn", true}}},
    {"models", {{"id", "org/m"}, {"memory_bytes", 5}, {"min_copies", 2}}},
    {"adapters", {{"id", "x"}, {"model", "org/m"}, {"memory_bytes", 6}}},
    {"endpoints",
     {{"id", "e"},
      {"address", "127.0.0.1:80"},
      {"zone", "Thies"},
      {"kind", "service"},
      {"group", "orders"},
      {"memory_bytes", 0},
      {"checks_fencing", true},
      {"max_concurrency", 7}}},
    {"routes",
     {{"id", "r"},
      {"prefix", "/a,\"b\""},
      {"group", "orders"},
      {"open", true},
      {"repeatable", false}}},
};

// Guards against a field or character being lost in export and import, for
// every table.
TEST(csv, RoundTripOfEveryTable) {
  ASSERT_EQ(kRows.size(), Tables().size());
  for (const auto& [name, row] : kRows) {
    SCOPED_TRACE(name);
    const table_schema& table = *FindTable(name);
    const std::string text = WriteCsv(table, {{row, revision(9)}});
    for (const auto& form : {text, boost::replace_all_copy(text, "\r\n", "\n"),
                             "\xef\xbb\xbf" + text, text + "\r\n",
                             boost::replace_all_copy(text, "true", "TRUE")}) {
      const auto read = ReadCsv(table, form);
      ASSERT_TRUE(read) << read.error().detail;
      ASSERT_EQ(read->size(), 1u);
      EXPECT_EQ(read->front().value, row);
      EXPECT_EQ(read->front().version, revision(9));
    }
  }
}

TEST(csv, ReadsColumnsInAnyOrderAndAnEmptyRevision) {
  const auto read = ReadCsv(*FindTable("adapters"),
                            "revision,\"memory_bytes\",id,model\n,1,a,m\n");
  ASSERT_TRUE(read) << read.error().detail;
  EXPECT_EQ(read->front().version, revision());
  EXPECT_EQ(read->front().value["memory_bytes"], 1);
}

// Guards against a malformed file being imported partially or with shifted
// columns.
TEST(csv, RefusesMalformedFiles) {
  const std::string header = "id,model,memory_bytes,revision\n";
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"", "no header"},
      {"id,model,revision\na,m,\n", "memory_bytes"},
      {"id,id,model,memory_bytes,revision\n", "column id"},
      {"id,model,memory_bytes,revision,x\n", "more columns"},
      {header + "a,m,1\n", "line 2: 3 cells"},
      {header + "a,m,x,\n", "line 2: memory_bytes"},
      {header + "a,m,,\n", "line 2: memory_bytes"},
      {header + "a,m,1,-1\n", "line 2: revision"},
      {header + "a,m,0,\n", "line 2: memory_bytes"},
      {header + "a,m,1,\na,m,1,\n", "line 3: a second row"},
      {header + "\"a,m,1,\n", "without closing quote"},
      {header + "\"a\"b,m,1,\n", "after a closing quote"},
      {header + "a\"b,m,1,\n", "not quoted"},
      {header + "a,m,x,\nb,m,y,\n", "line 3: memory_bytes"},
  };
  for (const auto& [text, expected] : cases) {
    const auto read = ReadCsv(*FindTable("adapters"), text);
    ASSERT_FALSE(read) << text;
    EXPECT_NE(read.error().detail.find(expected), std::string::npos)
        << text << read.error().detail;
  }
}

}  // namespace
}  // namespace bluebell::config
