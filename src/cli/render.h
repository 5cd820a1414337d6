#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace berylgauge {

/// Text for a terminal from the documents of the operators' interface. Missing fields are left out.
std::string RenderPlan(const nlohmann::json& plan);
std::string RenderStatus(const nlohmann::json& status);
std::string RenderJobs(const nlohmann::json& jobs);
std::string RenderJob(const nlohmann::json& job);
std::string RenderExplanation(const nlohmann::json& task);
std::string RenderAudit(const nlohmann::json& audit);

}  // namespace berylgauge
