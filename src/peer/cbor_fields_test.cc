#include "peer/cbor_fields.h"

#include "base/error_kind.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

TEST(cbor_fields_test, FieldsAreReadByTypeOrNamedInTheError) {
  const QCborMap map = {{QStringLiteral("s"), QStringLiteral("x")},
                        {QStringLiteral("i"), qint64{1} << 62},
                        {QStringLiteral("d"), 2.5},
                        {QStringLiteral("b"), true},
                        {QStringLiteral("a"), QCborArray{1}},
                        {QStringLiteral("m"), QCborMap{}}};
  EXPECT_EQ(GetString(map, "s").value(), "x");
  EXPECT_EQ(GetInt(map, "i").value(), int64_t{1} << 62);
  EXPECT_EQ(GetDouble(map, "d").value(), 2.5);
  EXPECT_EQ(GetBool(map, "b").value(), true);
  EXPECT_EQ(GetArray(map, "a")->size(), 1);
  EXPECT_TRUE(GetMap(map, "m")->isEmpty());
  const absl::Status errors[] = {
      GetString(map, "i").status(), GetInt(map, "d").status(),
      GetDouble(map, "s").status(), GetBool(map, "i").status(),
      GetArray(map, "m").status(),  GetMap(map, "a").status()};
  for (const absl::Status& error : errors) {
    EXPECT_EQ(KindOf(error), error_kind::malformed_request);
  }
  EXPECT_EQ(GetInt(map, "none").status().message(),
            "field none is missing or no integer");
}

}  // namespace
}  // namespace anvilridge
