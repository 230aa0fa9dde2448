#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "store/object_store.h"
#include "store_harness.h"

namespace bluebell::store {
namespace {

using std::chrono::milliseconds;

// Long enough that no call to a working platform times out on a busy machine.
constexpr milliseconds kLongLimit{10'000};
// Limit of tests in which a call must time out.
constexpr milliseconds kShortLimit{300};

using make_harness = std::unique_ptr<store_harness> (*)(milliseconds);

struct implementation {
  const char* name;
  make_harness make;
};

const implementation kImplementations[] = {{"memory", MakeMemoryHarness},
                                           {"http", MakeHttpHarness}};

// Calls a store and waits for the outcome.
class blocking_store {
 public:
  blocking_store(make_harness make, milliseconds limit)
      : harness_(make(limit)) {}

  store_harness& harness() { return *harness_; }

  write_result Put(const std::string& name, const nlohmann::json& value,
                   std::optional<std::uint64_t> expected = std::nullopt) {
    std::optional<revision> version;
    if (expected) version = revision(*expected);
    return Await<write_result>([&](auto done) {
      harness_->store().Put(name, value, version, std::move(done));
    });
  }
  write_result Remove(const std::string& name, std::uint64_t expected) {
    return Await<write_result>([&](auto done) {
      harness_->store().Remove(name, revision(expected), std::move(done));
    });
  }
  result<object> Get(const std::string& name) {
    return Await<result<object>>(
        [&](auto done) { harness_->store().Get(name, std::move(done)); });
  }
  result<object_list> List(const std::string& prefix) {
    return Await<result<object_list>>(
        [&](auto done) { harness_->store().List(prefix, std::move(done)); });
  }
  result<object_list> Watch(const std::string& prefix, std::uint64_t after,
                            milliseconds wait) {
    return Await<result<object_list>>([&](auto done) {
      harness_->store().Watch(prefix, revision(after), wait, std::move(done));
    });
  }
  result<std::vector<listed_host>> ListHosts() {
    return Await<result<std::vector<listed_host>>>(
        [&](auto done) { harness_->store().ListHosts(std::move(done)); });
  }

 private:
  // Fails the test if the call does not end in exactly one callback.
  template <class Result, class Call>
  Result Await(Call call) {
    const auto outcomes = std::make_shared<std::vector<Result>>();
    call([outcomes](Result outcome) {
      outcomes->push_back(std::move(outcome));
    });
    EXPECT_TRUE(outcomes->empty()) << "callback inside the call";
    const bool ended = harness_->RunUntil([&] { return !outcomes->empty(); });
    EXPECT_TRUE(ended) << "no callback";
    if (!ended) throw std::runtime_error("no callback");
    EXPECT_EQ(outcomes->size(), 1u);
    return outcomes->front();
  }

  std::unique_ptr<store_harness> harness_;
};

class object_store_contract : public testing::TestWithParam<implementation> {
 protected:
  blocking_store store_{GetParam().make, kLongLimit};
};

// Guards against two conditional writes that both succeed.
TEST_P(object_store_contract, OnlyOneConditionalWriteSucceeds) {
  const auto created = store_.Put("a", {{"writer", 1}}, 0);
  ASSERT_TRUE(created);
  const auto second = store_.Put("a", {{"writer", 2}}, 0);
  ASSERT_FALSE(second);
  EXPECT_EQ(second.error().cause.code, error_code::kConflict);
  ASSERT_TRUE(second.error().conflict->current);
  EXPECT_EQ(second.error().conflict->current->value["writer"], 1);
  EXPECT_EQ(second.error().conflict->current->version, *created);

  const auto updated = store_.Put("a", {{"writer", 3}}, created->value());
  ASSERT_TRUE(updated);
  const auto stale = store_.Remove("a", created->value());
  ASSERT_FALSE(stale);
  EXPECT_EQ(stale.error().conflict->current->version, *updated);
  EXPECT_EQ(store_.Get("a")->value["writer"], 3);
  EXPECT_TRUE(store_.Remove("a", updated->value()));
  EXPECT_EQ(store_.Get("a").error().code, error_code::kNotFound);
}

// Guards against an update or removal that recreates a removed object or
// reports success for it.
TEST_P(object_store_contract,
       WritesToAnAbsentObjectConflictWithoutACurrentObject) {
  for (const auto& outcome : {store_.Put("a", 1, 7), store_.Remove("a", 7)}) {
    ASSERT_FALSE(outcome);
    EXPECT_EQ(outcome.error().cause.code, error_code::kConflict);
    ASSERT_TRUE(outcome.error().conflict);
    EXPECT_FALSE(outcome.error().conflict->current);
  }
  EXPECT_FALSE(store_.Get("a"));
}

// Guards against a limit that is off by one or truncates the value.
TEST_P(object_store_contract, ValuesUpToTheLimitAreStored) {
  // The JSON text of a string has two quotes.
  const std::string largest(object_store::kMaxValueBytes - 2, 'x');
  EXPECT_TRUE(store_.Put("a", largest));
  EXPECT_EQ(store_.Get("a")->value, largest);
  const auto refused = store_.Put("a", largest + "x");
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().cause.code, error_code::kTooLarge);
}

// Guards against wrong encoding or truncation of names.
TEST_P(object_store_contract, NamesKeepSpecialCharacters) {
  const std::vector<std::string> names = {"a/b",     "a b", "a%2Fb",
                                          "a?x=1&y", "a+b", "\xc3\xbc#"};
  for (const auto& name : names) ASSERT_TRUE(store_.Put(name, name, 0));
  for (const auto& name : names) EXPECT_EQ(store_.Get(name)->value, name);
  EXPECT_EQ(store_.List("a")->items.size(), 5u);
  EXPECT_EQ(store_.List("a%")->items.size(), 1u);
}

// Guards against a revision that decreases or is used by two writes, which
// would make hosts miss a change.
TEST_P(object_store_contract, RevisionsAscendOverAllObjects) {
  revision last(0);
  for (const auto& name : {"b", "a", "c", "a", "b"}) {
    const auto version = store_.Put(name, 1);
    ASSERT_TRUE(version);
    EXPECT_GT(*version, last);
    last = *version;
    EXPECT_EQ(store_.List("").value().as_of, last);
  }
  const auto removed = store_.Remove("c", store_.Get("c")->version.value());
  EXPECT_GT(*removed, last);
  EXPECT_EQ(store_.List("").value().as_of, *removed);
}

// Guards against lost changes and against watches that return every object.
TEST_P(object_store_contract, WatchReturnsOnlyChangedObjects) {
  ASSERT_TRUE(store_.Put("p/old", 1));
  const auto start = store_.Put("p/changed", 1);
  std::vector<result<object_list>> outcomes;
  store_.harness().store().Watch("p/", *start, kLongLimit, [&](auto outcome) {
    outcomes.push_back(std::move(outcome));
  });
  ASSERT_TRUE(store_.Put("q/other", 1));
  EXPECT_TRUE(outcomes.empty());
  const auto change = store_.Put("p/changed", 2);
  ASSERT_TRUE(store_.harness().RunUntil([&] { return !outcomes.empty(); }));
  ASSERT_TRUE(outcomes[0]);
  ASSERT_EQ(outcomes[0]->items.size(), 1u);
  EXPECT_EQ(outcomes[0]->items[0].name, "p/changed");
  EXPECT_EQ(outcomes[0]->items[0].value, 2);
  EXPECT_EQ(outcomes[0]->as_of, *change);
  // A watch from an older revision returns the changes since then.
  EXPECT_EQ(store_.Watch("p/", 0, kLongLimit)->items.size(), 2u);
}

// Guards against a watch without changes that ends in an error.
TEST_P(object_store_contract, WatchWithoutChangesReturnsEmptyListWithRevision) {
  const auto written = store_.Put("a", 1);
  const auto quiet = store_.Watch("a", written->value(), milliseconds(20));
  ASSERT_TRUE(quiet);
  EXPECT_TRUE(quiet->items.empty());
  EXPECT_EQ(quiet->as_of, *written);
}

// Guards against calls to the platform that the counter does not include.
TEST_P(object_store_contract, EachCallCountsOnce) {
  ASSERT_TRUE(store_.Put("a", 1));
  ASSERT_TRUE(store_.Get("a"));
  ASSERT_TRUE(store_.List("a"));
  ASSERT_TRUE(store_.Watch("a", 1, milliseconds(5)));
  ASSERT_TRUE(store_.ListHosts());
  EXPECT_EQ(store_.harness().calls(), 5);
}

TEST_P(object_store_contract, HostListMarksLeavingHosts) {
  store_.harness().SetHosts({{host_id("h1"), false}, {host_id("h2"), true}});
  const auto hosts = store_.ListHosts();
  ASSERT_TRUE(hosts);
  ASSERT_EQ(hosts->size(), 2u);
  EXPECT_FALSE((*hosts)[0].leaving);
  EXPECT_TRUE((*hosts)[1].leaving);
}

INSTANTIATE_TEST_SUITE_P(all, object_store_contract,
                         testing::ValuesIn(kImplementations),
                         [](const auto& info) { return info.param.name; });

// Expected results of calls under one fault. No error code means success.
struct fault_case {
  const char* name;
  store_fault fault;
  std::optional<error_code> write;
  std::optional<error_code> read;
  std::optional<error_code> watch;
  // Whether the write eventually takes effect.
  bool takes_effect;
};

constexpr auto kUnavailable = error_code::kUnavailable;
constexpr auto kUnknown = error_code::kOutcomeUnknown;

const fault_case kFaultCases[] = {
    {"none", store_fault::kNone, {}, {}, {}, true},
    {"outage", store_fault::kOutage, kUnavailable, kUnavailable, kUnavailable,
     false},
    {"dropped_request", store_fault::kDropRequest, kUnavailable, kUnavailable,
     kUnavailable, false},
    {"lost_answer", store_fault::kLoseAnswer, kUnknown, {}, {}, true},
    {"delay_beyond_limit", store_fault::kDelayBeyondLimit, kUnknown,
     kUnavailable, kUnavailable, true},
    {"silent_connections", store_fault::kSilentConnections, {}, {}, {}, true},
    {"silent_watches", store_fault::kSilentWatches, {}, {}, kUnavailable, true},
};

using fault_parameter = std::tuple<implementation, fault_case>;

class object_store_faults : public testing::TestWithParam<fault_parameter> {
 protected:
  object_store_faults() {
    // The read opens a connection, which the fault may then freeze.
    EXPECT_TRUE(store_.Put("kept", 1));
    EXPECT_TRUE(store_.Get("kept"));
    store_.harness().Inject(fault().fault);
  }

  const fault_case& fault() const { return std::get<1>(GetParam()); }

  // Over HTTP, a request that got no response may have taken effect.
  std::optional<error_code> expected_write() {
    const bool known = store_.harness().DetectsUnsentRequests();
    if (fault().fault == store_fault::kDropRequest && !known) return kUnknown;
    return fault().write;
  }

  blocking_store store_{std::get<0>(GetParam()).make, kShortLimit};
};

// Guards against `kUnavailable` for a write that took effect, which would lead
// to a second write, and against calls that never end.
TEST_P(object_store_faults, WriteErrorTellsWhetherItMayHaveTakenEffect) {
  const auto outcome = store_.Put("a", "written", 0);
  ASSERT_EQ(outcome.has_value(), !expected_write().has_value());
  if (!outcome) {
    EXPECT_EQ(outcome.error().cause.code, *expected_write());
  }
  store_.harness().ClearFaults();
  bool stored = false;
  for (int attempt = 0; attempt < 20 && !stored; ++attempt) {
    const auto found = store_.Get("a");
    stored = found.has_value();
    // The watch waits until a delayed write takes effect.
    if (!stored && fault().takes_effect) {
      ASSERT_TRUE(store_.Watch("a", 1, kShortLimit));
    }
    if (!fault().takes_effect) break;
  }
  EXPECT_EQ(stored, fault().takes_effect);
}

// Guards against reads and watches that hang or turn a fault into "not found".
TEST_P(object_store_faults, ReadsAreAnsweredOrUnavailable) {
  const auto found = store_.Get("kept");
  ASSERT_EQ(found.has_value(), !fault().read.has_value());
  if (!found) {
    EXPECT_EQ(found.error().code, *fault().read);
  }
  if (fault().fault == store_fault::kDropRequest) {
    store_.harness().Inject(fault().fault);
  }
  const auto seen = store_.Watch("kept", 0, milliseconds(20));
  ASSERT_EQ(seen.has_value(), !fault().watch.has_value());
  if (!seen) {
    EXPECT_EQ(seen.error().code, *fault().watch);
  }
}

// Guards against a store that does not recover after a fault.
TEST_P(object_store_faults, WorksAgainAfterTheFault) {
  (void)store_.Get("kept");
  store_.harness().ClearFaults();
  EXPECT_TRUE(store_.Put("b", 1, 0));
  EXPECT_TRUE(store_.Get("b"));
  EXPECT_EQ(store_.List("").value().items.size(), 2u);
}

INSTANTIATE_TEST_SUITE_P(all, object_store_faults,
                         testing::Combine(testing::ValuesIn(kImplementations),
                                          testing::ValuesIn(kFaultCases)),
                         [](const auto& info) {
                           return std::string(std::get<0>(info.param).name) +
                                  "_" + std::get<1>(info.param).name;
                         });

}  // namespace
}  // namespace bluebell::store
