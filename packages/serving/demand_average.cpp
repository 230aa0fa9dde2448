#include "serving/demand_average.h"

#include <cmath>

namespace bluebell::serving {

void demand_average::Count(const model_id& model, const adapter_id& adapter,
                           double weight) {
  const double time_constant =
      std::chrono::duration<double>(time_constant_).count();
  for (int with_adapter = 0; with_adapter < 2; ++with_adapter) {
    if (with_adapter && adapter.value().empty()) break;
    auto& entry = rates_[{model, with_adapter ? adapter : adapter_id()}];
    entry.value = Decayed(entry) + weight / time_constant;
    entry.at = clock_.now();
  }
}

double demand_average::Rate(const model_id& model,
                            const adapter_id& adapter) const {
  const auto found = rates_.find({model, adapter});
  return found == rates_.end() ? 0 : Decayed(found->second);
}

std::vector<model_rate> demand_average::Rates() const {
  std::vector<model_rate> model_rates;
  for (const auto& [key, entry] : rates_) {
    const double value = Decayed(entry);
    if (value >= kMinReportedRate) {
      model_rates.push_back({key.first, key.second, value});
    }
  }
  return model_rates;
}

double demand_average::Decayed(const rate& entry) const {
  if (entry.value == 0) return 0;
  return entry.value *
         std::exp(-std::chrono::duration<double>(clock_.now() - entry.at) /
                  std::chrono::duration<double>(time_constant_));
}

}  // namespace bluebell::serving
