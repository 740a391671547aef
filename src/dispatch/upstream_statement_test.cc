#include "dispatch/upstream_statement.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

fleet_upstream Engine(int64_t started_ms = 5) {
  fleet_upstream engine;
  engine.id = "a";
  engine.service = "model";
  engine.started_ms = started_ms;
  return engine;
}

std::map<std::string, std::vector<fleet_upstream>, std::less<>> Registered(
    const std::vector<fleet_upstream>& engines) {
  return {{"model", engines}};
}

upstream_statement Leaving() {
  upstream_statement statement;
  statement.leaving = true;
  return statement;
}

upstream_statement Pause(absl::Duration pause) {
  upstream_statement statement;
  statement.pause = pause;
  return statement;
}

// Guards against new work for an engine that has said that it leaves.
TEST(upstream_statement_test, ADepartureHoldsForTheInstance) {
  stated_absences absences;
  EXPECT_TRUE(RecordStatement(absences, Engine(), Leaving(), kNow).leaving);
  EXPECT_FALSE(RecordStatement(absences, Engine(), Leaving(), kNow).leaving);
  const absl::Time later = kNow + absl::Hours(2);
  EXPECT_EQ(AbsenceOf(absences, Engine(), later), absence_reason::leaving);
  EXPECT_EQ(AbsentUntil(absences, Engine()), absl::InfiniteFuture());
  // Another instance that has started under the same id.
  EXPECT_EQ(AbsenceOf(absences, Engine(6), later), absence_reason::none);
  // A late response of the old instance doesn't concern the new one.
  RecordStatement(absences, Engine(6), Pause(absl::Seconds(1)), kNow);
  RecordStatement(absences, Engine(5), Leaving(), kNow);
  EXPECT_EQ(AbsenceOf(absences, Engine(6), kNow), absence_reason::paused);
}

// Guards against sends within the pause that an engine has named: neither a
// shorter statement nor one of a response in flight ends it.
TEST(upstream_statement_test, APauseIsExtendedButNeverShortened) {
  stated_absences absences;
  EXPECT_TRUE(RecordStatement(absences, Engine(), Pause(absl::Seconds(3)), kNow)
                  .paused);
  EXPECT_FALSE(
      RecordStatement(absences, Engine(), Pause(absl::Milliseconds(100)), kNow)
          .paused);
  RecordStatement(absences, Engine(), Pause(absl::ZeroDuration()), kNow);
  EXPECT_EQ(AbsenceOf(absences, Engine(), kNow + absl::Milliseconds(2999)),
            absence_reason::paused);
  EXPECT_EQ(AbsenceOf(absences, Engine(), kNow + absl::Seconds(3)),
            absence_reason::none);
  RecordStatement(absences, Engine(), Pause(absl::Seconds(4)), kNow);
  EXPECT_EQ(AbsentUntil(absences, Engine()), kNow + absl::Seconds(4));
  // The next pause is reported again.
  EXPECT_TRUE(RecordStatement(absences, Engine(), Pause(absl::Seconds(1)),
                              kNow + absl::Seconds(9))
                  .paused);
}

TEST(upstream_statement_test, UnreadableFieldsAreReportedOnce) {
  stated_absences absences;
  upstream_statement statement;
  statement.unreadable = {"x"};
  EXPECT_EQ(RecordStatement(absences, Engine(), statement, kNow).unreadable,
            std::vector<std::string>{"x"});
  EXPECT_TRUE(
      RecordStatement(absences, Engine(), statement, kNow).unreadable.empty());
  EXPECT_EQ(AbsenceOf(absences, Engine(), kNow), absence_reason::none);
}

TEST(upstream_statement_test, ANewInstanceEndsTheAbsenceOfTheOldOne) {
  stated_absences absences;
  RecordStatement(absences, Engine(), Leaving(), kNow);
  RemoveGoneInstances(absences, Registered({Engine()}), kNow);
  EXPECT_EQ(absences.size(), 1u);
  RemoveGoneInstances(absences, Registered({Engine(6)}), kNow);
  EXPECT_TRUE(absences.empty());
}

// Guards against sends to a leaving engine whose registration expired while the
// store was down and came back.
TEST(upstream_statement_test, AReturnedRegistrationOfTheInstanceIsStillAbsent) {
  stated_absences absences;
  RecordStatement(absences, Engine(), Leaving(), kNow);
  RemoveGoneInstances(absences, Registered({}), kNow);
  RemoveGoneInstances(absences, Registered({}), kNow + absl::Minutes(1));
  EXPECT_EQ(AbsenceOf(absences, Engine(), kNow), absence_reason::leaving);
  RemoveGoneInstances(absences, Registered({}), kNow + absl::Minutes(11));
  EXPECT_TRUE(absences.empty());
  // Without a start time the next instance can't be told from this one.
  RecordStatement(absences, Engine(0), Leaving(), kNow);
  RemoveGoneInstances(absences, Registered({}), kNow);
  EXPECT_TRUE(absences.empty());
}

}  // namespace
}  // namespace anvilridge
