#pragma once

#include <cstddef>  // for size_t
#include <functional>  // for function
#include <string>  // for string
#include <vector>  // for vector

namespace poplarstream::bench {

// One measurement: `y` at the size `x`.
struct Point
{
    double x = 0;
    double y = 0;
};

// The least-squares line through points. `straightness` is r squared; 1 if all `y` are equal.
struct FittedLine
{
    double intercept = 0;
    double slope = 0;
    double straightness = 0;

    double at(double x) const { return intercept + slope * x; }
};

FittedLine fitLine(const std::vector<Point> &points);

// Processor time of one call in microseconds: the least of several repeated measurements, so that
// other load on the machine, which only adds time, disturbs it least.
double processorMicroseconds(const std::function<void()> &call);

// Bytes on the heap of this process, as the allocator counts them.
std::size_t heapBytes();

// Points at several sizes with their line. `name` tells what was measured over what.
struct Series
{
    std::string name;
    std::string unit;  // of y over x, for example "us a host"
    std::vector<Point> points;
    FittedLine line;

    // The measured figure at a size that was measured, otherwise that of the line.
    double at(double x) const;
};

Series makeSeries(std::string name, std::string unit, const std::vector<double> &sizes,
                  const std::function<double(std::size_t size)> &measure);

// A row of the table of points in Markdown.
std::string markdownRow(const Series &series);

}  // namespace poplarstream::bench
