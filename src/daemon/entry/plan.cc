#include "daemon/entry/plan.h"

namespace berylgauge {

nlohmann::json Plan::ToJson() const {
  return {{"id", proposal.plan.value()},
          {"operator", proposal.operator_name},
          {"based_on_version", proposal.based_on},
          {"changes", changes},
          {"moves", moves},
          {"evictions", evictions},
          {"waiting", waiting},
          {"cost", {{"duration_s", duration_s}, {"lost_work_s", lost_work_s}}},
          {"unmet", unmet}};
}

}  // namespace berylgauge
