#pragma once

#include <optional>  // for optional
#include <string>  // for string
#include <string_view>  // for string_view
#include <vector>  // for vector

#include <nlohmann/json_fwd.hpp>  // for json

#include "poplarstream/node/control_duty.hpp"  // for ControlView

namespace poplarstream {

// The state that this process knows, as JSON, with its age in milliseconds as `age_ms`. `topic` is
// "", "hosts", "pools", "waves", "runs", "tenants" or "peers"; returns nullopt for other topics.
// Contains no payload, key, result or token.
std::optional<nlohmann::json> statusOf(const ControlView &view, std::string_view topic);

// The recorded decisions about a host, run, wave or change with their reasons, in order, one
// sentence each. Empty if the id is unknown.
std::vector<std::string> explain(const ControlView &view, const std::string &id);

}  // namespace poplarstream
