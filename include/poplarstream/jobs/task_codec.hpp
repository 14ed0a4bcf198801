#pragma once

#include <cstddef>  // for size_t
#include <span>  // for span
#include <string>  // for string
#include <string_view>  // for string_view

#include <nlohmann/json.hpp>  // for json

#include "poplarstream/jobs/model.hpp"  // for Task, JobState

namespace poplarstream::jobs {

// The stored form of one task takes at most this, in bytes: a checkpoint of limited size, the runs
// of two copies and the latest lapsed runs.
inline constexpr std::size_t maxTaskBytes = 2048;

std::string_view stateText(JobState state);
// Throws std::invalid_argument for an unknown state.
JobState stateFrom(std::string_view text);

// Whether all tasks are done and none of their runs is left.
bool isSettled(std::span<const Task> tasks);
// Whether none of the tasks has ever been started.
bool isUntouched(std::span<const Task> tasks);

// Separates the elements of a JSON array.
void appendSeparator(std::string &out, std::size_t index);

// Appends tasks as a JSON array, with 1 for a settled and 0 for an untouched one of which nothing
// else is known.
void appendTasks(std::string &out, std::span<const Task> tasks);

// Reads an element of such an array. Throws if it is malformed.
Task taskFrom(const nlohmann::json &value);

}  // namespace poplarstream::jobs
