#include "gateway/filter.h"

namespace bluebell::gateway {
namespace {

using filter_list = std::vector<std::unique_ptr<filter>>;

// The filters from `position` to the end of the pipeline.
class remaining_filters final : public next_filter {
 public:
  remaining_filters(const filter_list& filters, std::size_t position)
      : filters_(filters), position_(position) {}

  void Process(exchange& current, boost::asio::yield_context yield) override {
    if (position_ == filters_.size()) return;
    remaining_filters rest(filters_, position_ + 1);
    filters_[position_]->Process(current, rest, yield);
  }

 private:
  const filter_list& filters_;
  std::size_t position_;
};

}  // namespace

void pipeline::Process(exchange& current, boost::asio::yield_context yield) {
  remaining_filters(filters_, 0).Process(current, yield);
}

}  // namespace bluebell::gateway
