#pragma once

#include <map>  // for map
#include <string>  // for string

#include "capacity_fit.hpp"  // for Series

namespace poplarstream::bench {

// All series, by a short name. Each is measured with the code that the program runs.
using SeriesTable = std::map<std::string, Series>;

// Over hosts: replay, snapshots and views of the control stream.
void measureFleet(SeriesTable &table);

// Over hosts: views and settings of the urgent path.
void measureServing(SeriesTable &table);

// Over runs: replay, decisions and snapshots of a run stream.
void measureRuns(SeriesTable &table);

// Over peers, zones and tenants: membership messages and histograms.
void measureSmallParts(SeriesTable &table);

}  // namespace poplarstream::bench
