#include "ctl/cli.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/algorithm/string/trim.hpp>
#include <fstream>
#include <functional>
#include <iterator>
#include <sstream>

#include "base/digest.h"
#include "base/settings.h"
#include "config/row_names.h"
#include "config/tables.h"
#include "ctl/check_command.h"
#include "ctl/host_commands.h"
#include "ctl/table_commands.h"
#include "ctl/text_file.h"
#include "ctl/timeline.h"

namespace bluebell::ctl {
namespace {

using command = std::function<exit_code(session&)>;

std::string CheckAddress(const std::string& text) {
  const auto parts = SplitList(text);
  const bool valid =
      !parts.empty() &&
      std::all_of(parts.begin(), parts.end(), [](const std::string& part) {
        const auto colon = part.rfind(':');
        return colon != std::string::npos && colon > 0 &&
               colon + 1 < part.size() &&
               part.find_first_not_of("0123456789", colon + 1) ==
                   std::string::npos;
      });
  return valid ? "" : "allowed: host:port[,host:port...]";
}

/// The command line and the values that it sets. The last parsed subcommand
/// puts what is to be done into `chosen_`.
class command_line {
 public:
  command_line(std::istream& in, std::ostream& out, std::ostream& err)
      : in_(in), out_(out), err_(err) {
    app_.name("bluebellrailctl");
    app_.description("Operates a fleet of bluebellrail entry hosts.");
    auto* admin =
        app_.add_option("--admin", admin_,
                        "Admin listeners, tried in this order; required by "
                        "all commands but check")
            ->check(CheckAddress)
            ->type_name("HOST:PORT[,...]");
    auto* key_file =
        app_.add_option("--operator-key-file", key_file_,
                        "File that holds the operator key; required by all "
                        "commands but check")
            ->type_name("FILE");
    app_.add_flag("--json", json_, "Print JSON");
    app_.require_subcommand(1);
    AddTableCommands();
    AddKeyCommands();
    AddHostCommands();
    AddTimeline();
    for (auto* sub : app_.get_subcommands({})) {
      sub->needs(admin)->needs(key_file);
    }
    Finish(app_);
    AddCheck();
  }

  exit_code Run(std::vector<std::string> arguments,
                const client_factory& make_client) {
    std::reverse(arguments.begin(), arguments.end());
    try {
      app_.parse(arguments);
    } catch (const CLI::ParseError& stop) {
      return app_.exit(stop, out_, err_) == 0 ? exit_code::kDone
                                              : exit_code::kUsage;
    }
    if (check_chosen_) {
      check_.json = json_;
      return CheckConfigFile(check_, out_, err_);
    }
    auto key = ReadFile(key_file_);
    if (!key) return exit_code::kUsage;
    boost::trim(*key);
    std::vector<std::unique_ptr<admin_client>> hosts;
    for (const auto& address : SplitList(admin_)) {
      hosts.push_back(make_client(address, *key));
    }
    admin_group admin(std::move(hosts));
    session current{admin, json_, out_, err_};
    return chosen_(current);
  }

 private:
  // Options of the program may stand after a subcommand, and help shows the
  // exit codes at every level.
  static void Finish(CLI::App& app) {
    app.fallthrough();
    app.footer(kExitCodeHelp);
    for (auto* sub : app.get_subcommands({})) Finish(*sub);
  }

  CLI::App* Add(CLI::App* parent, const std::string& name,
                const std::string& description, command run) {
    CLI::App* sub = parent->add_subcommand(name, description);
    sub->callback([this, run = std::move(run)] { chosen_ = run; });
    return sub;
  }

  // Adds a command on one table, given as its first argument.
  CLI::App* AddOnTable(CLI::App* parent, const std::string& name,
                       const std::string& description, command run) {
    CLI::App* sub = Add(parent, name, description, std::move(run));
    std::vector<std::string> names;
    for (const auto& table : config::Tables()) names.push_back(table.name);
    sub->add_option("table", table_, "Table")
        ->required()
        ->check(CLI::IsMember(names));
    return sub;
  }

  CLI::App* AddOnRow(CLI::App* parent, const std::string& name,
                     const std::string& description, command run) {
    CLI::App* sub = AddOnTable(parent, name, description, std::move(run));
    sub->add_option("row", row_, "Id of the row")->required();
    return sub;
  }

  const config::table_schema& table() const {
    return *config::FindTable(table_);
  }

  void AddTableCommands() {
    auto* group = app_.add_subcommand("table", "Reads and edits tables");
    group->require_subcommand(1);
    AddOnTable(group, "list", "Lists the rows of a table",
               [this](session& s) { return ListTable(s, table()); });
    AddOnRow(group, "get", "Shows one row",
             [this](session& s) { return GetRow(s, table(), row_); });
    auto* set =
        AddOnRow(group, "set", "Changes fields of a row", [this](session& s) {
          return SetRow(s, table(), row_, fields_, create_);
        });
    set->add_option("fields", fields_, "<field>=<value>")->required();
    set->add_flag("--create", create_, "Write a new row");
    AddOnRow(group, "remove", "Removes a row",
             [this](session& s) { return RemoveRow(s, table(), row_); });
    auto* import = AddOnTable(
        group, "import",
        "Writes the rows of a CSV file that differ from the rows in force; an "
        "empty revision creates the row",
        [this](session& s) { return Import(s); });
    import->add_option("file", file_, "CSV file; - reads standard input")
        ->required();
    auto* exporting =
        AddOnTable(group, "export", "Writes a table as a CSV file",
                   [this](session& s) { return Export(s); });
    exporting->add_option("file", file_, "CSV file; absent: standard output");
  }

  void AddKeyCommands() {
    auto* group = app_.add_subcommand("key", "Grants and withdraws keys");
    group->require_subcommand(1);
    auto* grant = Add(group, "grant", "Makes a key and prints it once",
                      [this](session& s) { return GrantKey(s, account_); });
    grant->add_option("--account", account_, "Client account")->required();
    auto* withdraw = Add(group, "withdraw", "Withdraws a key",
                         [this](session& s) { return Withdraw(s); });
    auto* which = withdraw->add_option_group("key");
    which->add_option("--key-file", file_, "File that holds the key");
    which->add_option("--digest", digest_, "SHA-256 digest of the key");
    which->require_option(1);
  }

  void AddHostCommands() {
    auto* group = app_.add_subcommand("host", "Lists and drains hosts");
    group->require_subcommand(1);
    Add(group, "list", "Lists the hosts of the fleet", ListHosts);
    auto* drain = Add(group, "drain", "Shuts a host down gracefully",
                      [this](session& s) { return DrainHost(s, row_); });
    drain->add_option("host", row_, "Id of the host")->required();
    Add(&app_, "status", "Shows the status of every given address", ShowStatus);
  }

  void AddTimeline() {
    auto* timeline =
        Add(&app_, "timeline", "Shows the events of every given address",
            [this](session& s) { return ShowTimeline(s, file_); });
    timeline->add_option("--trace-event", file_,
                         "Write a Chrome trace-event file");
  }

  // Contacts no host, so it has exit codes and requirements of its own.
  void AddCheck() {
    auto* check = app_.add_subcommand(
        "check",
        "Checks a configuration of hosted entry hosts before it is submitted, "
        "without contacting a host; takes --json");
    check->callback([this] { check_chosen_ = true; });
    check->add_option("file", check_.file, "Object as the store keeps it, JSON")
        ->required();
    check
        ->add_option("--against", check_.against,
                     "Object in force; shows the differences from it")
        ->type_name("FILE");
    check->fallthrough();
    check->footer(kCheckExitCodeHelp);
  }

  // Reports a file that cannot be read.
  std::optional<std::string> ReadFile(const std::string& name) {
    auto text = ReadTextFile(name);
    if (text) return std::move(*text);
    fmt::print(err_, "error: {}\n", text.error().detail);
    return std::nullopt;
  }

  exit_code Import(session& current) {
    if (file_ == "-") {
      return ImportTable(current, table(),
                         std::string(std::istreambuf_iterator<char>(in_), {}));
    }
    const auto text = ReadFile(file_);
    return text ? ImportTable(current, table(), *text) : exit_code::kUsage;
  }

  exit_code Export(session& current) {
    if (file_.empty()) return ExportTable(current, table(), out_);
    // A failed export leaves an existing file as it is.
    std::ostringstream text;
    const exit_code code = ExportTable(current, table(), text);
    if (code != exit_code::kDone) return code;
    std::ofstream file(file_, std::ios::binary);
    file << text.str();
    if (file.flush()) return code;
    fmt::print(err_, "error: cannot write {}\n", file_);
    return exit_code::kFailed;
  }

  exit_code Withdraw(session& current) {
    if (!file_.empty()) {
      auto key = ReadFile(file_);
      if (!key) return exit_code::kUsage;
      boost::trim(*key);
      digest_ = Sha256Hex(*key);
    }
    // The value is not repeated, because it may be a key.
    if (!config::IsKeyDigest(digest_)) {
      fmt::print(err_,
                 "error: --digest: allowed: 64 lower-case hexadecimal "
                 "digits\n");
      return exit_code::kUsage;
    }
    return WithdrawKey(current, digest_);
  }

  std::istream& in_;
  std::ostream& out_;
  std::ostream& err_;
  CLI::App app_;
  command chosen_;
  bool check_chosen_ = false;
  check_options check_;
  std::string admin_;
  std::string key_file_;
  bool json_ = false;
  std::string table_;
  std::string row_;
  std::vector<std::string> fields_;
  bool create_ = false;
  std::string file_;
  std::string account_;
  std::string digest_;
};

}  // namespace

exit_code RunCli(const std::vector<std::string>& arguments,
                 const client_factory& make_client, std::istream& in,
                 std::ostream& out, std::ostream& err) {
  return command_line(in, out, err).Run(arguments, make_client);
}

}  // namespace bluebell::ctl
