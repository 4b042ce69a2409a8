#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include "config/config.h"

namespace lapishatch::config {
namespace {

struct Disk {
  base::WorkerName name;
  int size = 4;
};

struct Sample {
  int count = 3;
  double share = 0.5;
  bool on = false;
  std::string note = "n";
  base::DomainName domain;
  base::WorkClass work_class = base::WorkClass::kNormal;
  http::Endpoint endpoint;
  std::vector<http::Endpoint> peers;
  base::Duration wait{10};
  std::vector<Disk> disks;
};

Section DescribeDisk(Disk& disk) {
  Section section("disk", "A disk.");
  section.Name("name", disk.name, "Its name.", Presence::kRequired);
  section.Integer("size", disk.size, 1, 8, "Its size.");
  return section;
}

Settings SettingsOf(Sample& sample) {
  Section section("sample", "A sample.");
  section.Integer("count", sample.count, 1, 9, "A count.");
  section.Number("share", sample.share, 0, 1, "A share.");
  section.Flag("on", sample.on, "A flag.");
  section.Text("note", sample.note, 5, "A text.");
  section.Name("domain", sample.domain, "A name.", Presence::kRequired);
  section.Choice("class", sample.work_class, "A class.");
  section.Endpoint("endpoint", sample.endpoint, "An endpoint.");
  section.Endpoints("peers", sample.peers, 2, "Endpoints.");
  section.Millis("wait_ms", sample.wait, 0, 100, "A time.");
  Settings settings;
  settings.Add(std::move(section));
  settings.AddRepeated<Disk>(sample.disks, DescribeDisk);
  return settings;
}

/// Problems as text, one a line; empty when there are none.
std::string Load(Sample& sample, std::string_view text) {
  const auto settings = SettingsOf(sample);
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(settings.LoadText(text, "f.toml"));
        return std::string();
      },
      [](const SettingsProblems& found) {
        std::string out;
        for (const auto& it : found.problems) out += TextOf(it) + "\n";
        return out;
      },
      [] { return std::string("no SettingsProblems"); });
}

TEST_CASE("settings of every type reach their targets") {
  Sample sample;
  CHECK(Load(sample, R"([sample]
count = 9
share = 1
on = true
note = "abcde"
domain = "zona-10"
class = "quiet"
endpoint = "127.0.0.1:80"
peers = ["[::1]:1", "10.0.0.1:2"]
wait_ms = 100
[[disk]]
name = "a"
[[disk]]
name = "b"
size = 8
)")
            .empty());
  CHECK(sample.count == 9);
  CHECK(sample.share == 1);
  CHECK(sample.on);
  CHECK(sample.note == "abcde");
  CHECK(sample.domain.str() == "zona-10");
  CHECK(sample.work_class == base::WorkClass::kQuiet);
  CHECK(sample.endpoint == http::Endpoint{"127.0.0.1", 80});
  CHECK(sample.peers ==
        std::vector<http::Endpoint>{{"::1", 1}, {"10.0.0.1", 2}});
  CHECK(sample.wait == base::Duration(100));
  REQUIRE(sample.disks.size() == 2);
  CHECK(sample.disks[0].size == 4);
  CHECK(sample.disks[1].name.str() == "b");
}

TEST_CASE("what a file leaves out keeps its default") {
  Sample sample;
  CHECK(Load(sample, "[sample]\ndomain = \"a\"\n").empty());
  CHECK(sample.count == 3);
  CHECK(sample.note == "n");
}

TEST_CASE("every wrong value is named with its line and what is allowed") {
  struct Wrong {
    std::string line;
    std::string says;
  };
  const auto wrong = GENERATE(values<Wrong>({
      {"count = 10",
       "sample.count: 10 is not allowed: a whole number from 1 "
       "to 9"},
      {"count = 0", "whole number from 1 to 9"},
      {"count = 1.0", "whole number from 1 to 9"},
      {"count = \"1\"", "whole number from 1 to 9"},
      {"share = 1.5", "a number from 0 to 1"},
      {"share = nan", "a number from 0 to 1"},
      {"on = 1", "true or false"},
      {"note = \"abcdef\"", "at most 5 bytes"},
      {"class = \"fast\"", "one of urgent, normal, quiet"},
      {"endpoint = \"localhost:80\"", "IP:port"},
      {"endpoint = \"127.0.0.1:65536\"", "IP:port"},
      {"endpoint = \"127.0.0.1\"", "IP:port"},
      {"peers = [\"1.1.1.1:1\", \"1.1.1.1:2\", \"1.1.1.1:3\"]", "at most 2"},
      {"peers = [1]", "list of at most 2"},
      {"wait_ms = -1", "from 0 to 100"},
      {"cuont = 1", "sample.cuont: is unknown: allowed here are count, share"},
  }));
  Sample sample;
  const auto problems =
      Load(sample, "[sample]\ndomain = \"a\"\n" + wrong.line + "\n");
  CHECK_THAT(problems,
             Catch::StartsWith("f.toml:3: ") && Catch::Contains(wrong.says));
}

TEST_CASE("all problems of a file are told at once") {
  Sample sample;
  CHECK(Load(sample, "[sample]\ncount = 0\n[smaple]\n[[disk]]\nsize = 9\n") ==
        "f.toml:1: sample.domain: is missing: a name: 1 to 63 of a-z, 0-9, "
        "'-', '_' and '.', the first a letter or digit\n"
        "f.toml:2: sample.count: 0 is not allowed: a whole number from 1 to "
        "9\n"
        "f.toml:3: smaple: is unknown: allowed here are the tables sample, "
        "disk\n"
        "f.toml:4: disk.name: is missing: a name: 1 to 63 of a-z, 0-9, '-', "
        "'_' and '.', the first a letter or digit\n"
        "f.toml:5: disk.size: 9 is not allowed: a whole number from 1 to 8\n");
}

TEST_CASE("errors of syntax and tables of the wrong sort have their line") {
  Sample sample;
  CHECK_THAT(Load(sample, "[sample]\ncount = = 1\n"),
             Catch::StartsWith("f.toml:2: "));
  CHECK_THAT(Load(sample, "sample = 1\n"),
             Catch::Contains("f.toml:1: sample: 1 is not allowed: a table"));
  CHECK_THAT(Load(sample, "disk = 1\n[sample]\ndomain = \"a\"\n"),
             Catch::Contains("f.toml:1: disk: 1 is not allowed: tables"));
}

TEST_CASE("the table of settings shows type, range and default") {
  Sample sample;
  const auto text = SettingsOf(sample).Markdown();
  CHECK_THAT(text, Catch::Contains("| `count` | a whole number from 1 to 9 | "
                                   "`3` | A count. |"));
  CHECK_THAT(text, Catch::Contains("### `[[disk]]`"));
  CHECK_THAT(text, Catch::Contains("| `domain` | a name"));
  CHECK_THAT(text, Catch::Contains("(required)"));
}

}  // namespace
}  // namespace lapishatch::config
