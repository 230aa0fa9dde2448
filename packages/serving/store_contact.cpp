#include "serving/store_contact.h"

#include <algorithm>

namespace bluebell::serving {

void store_contact::OnRead(clock::time_point sent) {
  own_read_ = std::max(own_read_.value_or(sent), sent);
  OnContact(sent, sent);
}

void store_contact::OnRestored() {
  up_since_ = clock_.now();
  was_away_ = true;
}

void store_contact::OnPeer(const store_contact_report& report,
                           clock::duration late) {
  const auto sent = clock_.now() - late;
  OnContact(sent - report.up_for, sent - report.read_age);
}

void store_contact::OnContact(clock::time_point since,
                              clock::time_point newest) {
  if (!newest_read_) {
    up_since_ = since;
  } else if (since > *newest_read_ + kMaxPause) {
    up_since_ = since;
    was_away_ = true;
  } else if (newest + kMaxPause < up_since_) {
    return;  // from before the last outage
  } else {
    up_since_ = std::min(up_since_, since);
  }
  newest_read_ = std::max(newest_read_.value_or(newest), newest);
}

std::optional<store_contact_report> store_contact::Report() const {
  const auto now = clock_.now();
  if (!own_read_ || now - *own_read_ > kMaxPause) return std::nullopt;
  return store_contact_report{now - *own_read_, now - up_since_};
}

clock::time_point store_contact::LacksRecordsUntil() const {
  return was_away_ ? up_since_ + kRecordReturnPeriod : clock::time_point::min();
}

}  // namespace bluebell::serving
