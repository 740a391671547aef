#ifndef ANVILRIDGE_BASE_TESTING_DAMAGED_VALUE_H_
#define ANVILRIDGE_BASE_TESTING_DAMAGED_VALUE_H_

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>
#include <QJsonObject>
#include <string>

#include "rapidcheck.h"

namespace anvilridge {

/// Generates a value of another type than any parser expects in most places,
/// or out of every range.
inline rc::Gen<QCborValue> StrayValue() {
  return rc::gen::exec([] {
    switch (*rc::gen::inRange(0, 10)) {
      case 0:
        return QCborValue(QCborValue::Null);
      case 1:
        return QCborValue(*rc::gen::arbitrary<bool>());
      case 2:
        return QCborValue(*rc::gen::element<qint64>(-1, 0, 7, 1LL << 40,
                                                    1LL << 62, -(1LL << 62)));
      case 3:
        return QCborValue(*rc::gen::element(1e300, -1e300, 0.5, -0.5));
      case 4:
        return QCborValue(QString());
      case 5:
        return QCborValue(QString(5000, QChar('x')));
      case 6:
        return QCborValue(
            QString::fromStdString(*rc::gen::string<std::string>()));
      case 7:
        return QCborValue(QByteArray("bytes"));
      case 8:
        return QCborValue(QCborArray{1, "a"});
      default:
        return QCborValue(QCborMap{{QString("a"), 1}});
    }
  });
}

/// Generates `value` with one part of it, however deep, removed or replaced.
inline rc::Gen<QCborValue> Damaged(const QCborValue& value) {
  return rc::gen::exec([value] {
    if (value.isMap() && !value.toMap().isEmpty() && *rc::gen::inRange(0, 8)) {
      QCborMap map = value.toMap();
      const auto keys = map.keys();
      const QCborValue key = keys[*rc::gen::inRange<qsizetype>(0, keys.size())];
      if (*rc::gen::inRange(0, 5) == 0) {
        map.remove(key);
      } else {
        const QCborValue part = map.value(key);
        map[key] = *Damaged(part);
      }
      return QCborValue(map);
    }
    if (value.isArray() && !value.toArray().isEmpty() &&
        *rc::gen::inRange(0, 8)) {
      QCborArray array = value.toArray();
      const auto at = *rc::gen::inRange<qsizetype>(0, array.size());
      if (*rc::gen::inRange(0, 5) == 0) {
        array.removeAt(at);
      } else {
        const QCborValue part = array.at(at);
        array[at] = *Damaged(part);
      }
      return QCborValue(array);
    }
    return *StrayValue();
  });
}

/// Generates `object` with one part of it removed or replaced.
inline rc::Gen<QJsonObject> DamagedJson(const QJsonObject& object) {
  return rc::gen::map(Damaged(QCborMap::fromJsonObject(object)),
                      [](const QCborValue& damaged) {
                        return damaged.toJsonValue().toObject();
                      });
}

}  // namespace anvilridge

#endif  // ANVILRIDGE_BASE_TESTING_DAMAGED_VALUE_H_
