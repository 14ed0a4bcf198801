#include "poplarstream/edge/stored_waves.hpp"

#include <algorithm>  // for clamp, max
#include <charconv>  // for from_chars

#include <fmt/format.h>  // for format
#include <nlohmann/json.hpp>  // for json

#include "poplarstream/base/bounded_json.hpp"  // for parseBoundedJson

namespace poplarstream::edge {

namespace {

using nlohmann::json;

constexpr std::string_view waveKeyPrefix = "wave/";

}  // namespace

engine::ProgressRecord waveRecord(const pools::WaveView &wave, const engine::ClockReading &now)
{
    json begun = json::array();
    for (const pools::MachineId &id : wave.begun) {
        begun.push_back(id.text());
    }
    const Milliseconds age = now.steady - wave.seenAt;
    const json value = {{"begun", std::move(begun)},
                        {"completed", wave.isCompleted},
                        {"seenUnixMs", now.unixMs - age.count()}};
    return {fmt::format("{}{}", waveKeyPrefix, wave.wave.number), value.dump()};
}

Result<StoredWave> decodeWaveRecord(const StoredRecord &record)
{
    StoredWave wave;
    const std::string_view key = record.key;
    const char *const end = key.data() + key.size();
    if (!key.starts_with(waveKeyPrefix)
        || std::from_chars(key.data() + waveKeyPrefix.size(), end, wave.number).ptr != end) {
        return Failure{"not the key of a wave", record.key};
    }
    const json value = parseBoundedJson(record.value.value_or(std::string())).value_or(json());
    if (!value.is_object() || !value.contains("begun") || !value.at("begun").is_array()) {
        return Failure{"not the record of a wave", record.key};
    }
    for (const json &id : value.at("begun")) {
        if (!id.is_string()) {
            return Failure{"a machine without a name", record.key};
        }
        wave.begun.insert(pools::MachineId(id.get<std::string>()));
    }
    if (const auto time = value.find("seenUnixMs");
        time != value.end() && time->is_number_integer()) {
        wave.seenUnixMs = time->get<std::int64_t>();
    }
    return wave;
}

TimePoint seenAt(const pools::Wave &wave, const StoredWave &stored, const engine::ClockReading &now)
{
    if (!stored.seenUnixMs) {
        return now.steady;
    }
    const Milliseconds age(now.unixMs - *stored.seenUnixMs);
    return now.steady - std::clamp(age, Milliseconds{0}, std::max(wave.duration, Milliseconds{0}));
}

}  // namespace poplarstream::edge
