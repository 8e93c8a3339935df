/// stoat-report: turns JSON reports into SVG plots with gnuplot.
#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "src/common/command_line.h"

namespace stoat::tools {
namespace {

using nlohmann::json;

struct ReportSettings {
  std::vector<std::string> reports;
  std::string figure;
  std::string output;
  std::string title;
};

ReportSettings read_settings(SettingsReader& reader) {
  ReportSettings settings;
  settings.reports = reader.text_list("reports");
  if (settings.reports.empty()) {
    reader.add_finding("reports", "at least one JSON report must be given");
  }
  settings.figure = reader.text("figure", "ttft_p95_ms");
  settings.output = reader.text("output", "report.svg");
  settings.title = reader.text("title", settings.figure);
  return settings;
}

/// Text that stands in double quotes in a gnuplot script.
std::string quote(const std::string& text) {
  std::string quoted = "\"";
  for (const char character : text) {
    quoted += character == '"' || character == '\\' ? '_' : character;
  }
  return quoted + "\"";
}

struct Bar {
  std::string label;
  double median = 0;
  double low = 0;
  double high = 0;
};

/// The bars of an experiment's report; empty when the file is not one.
std::vector<Bar> read_bars(const std::string& path, const std::string& figure) {
  std::ifstream file(path);
  const json report = json::parse(file, nullptr, false);
  std::vector<Bar> bars;
  if (!report.is_object() || !report.contains("rows")) {
    std::cerr << "stoat-report: " << path << ": is not a report of stoat-experiment\n";
    return bars;
  }
  for (const auto& [name, figures] : report["rows"].items()) {
    if (!figures.contains(figure)) {
      std::cerr << "stoat-report: " << path << ": rows." << name << ": has no figure " << figure << "\n";
      continue;
    }
    const json& values = figures[figure];
    bars.push_back({report.value("workload", "") + " " + name, values["median"].get<double>(),
                    values["low"].get<double>(), values["high"].get<double>()});
  }
  return bars;
}

/// Series over time of a report that has them, one line each, with marks where faults were injected.
struct Series {
  std::string label;
  std::vector<std::pair<double, double>> points;
};

struct TimeReport {
  std::vector<Series> series;
  std::vector<double> marks;
};

TimeReport read_series(const std::string& path, const std::string& figure) {
  std::ifstream file(path);
  const json report = json::parse(file, nullptr, false);
  TimeReport result;
  if (!report.is_object() || !report.contains("series")) {
    return result;
  }
  for (const auto& [name, figures] : report["series"].items()) {
    Series series;
    series.label = name;
    for (const json& point : figures.value(figure, json::array())) {
      series.points.emplace_back(point[0].get<double>(), point[1].get<double>());
    }
    result.series.push_back(std::move(series));
  }
  for (const json& mark : report.value("marks", json::array())) {
    result.marks.push_back(mark.get<double>());
  }
  return result;
}

std::string bar_script(const std::vector<Bar>& bars) {
  std::string script =
      "set style fill solid 0.6\nset boxwidth 0.6\nset xtics rotate by -35\nset yrange [0:*]\nunset key\n";
  script += "$bars << END\n";
  for (const Bar& bar : bars) {
    script += quote(bar.label) + " " + std::to_string(bar.median) + " " + std::to_string(bar.low) + " " +
              std::to_string(bar.high) + "\n";
  }
  script +=
      "END\nplot $bars using 0:2:xtic(1) with boxes lc rgb '#4477aa', "
      "$bars using 0:2:3:4 with yerrorbars lc rgb 'black' pt 0\n";
  return script;
}

std::string series_script(const TimeReport& report) {
  std::string script = "set xlabel 'seconds'\nset yrange [0:*]\nset key top right\n";
  for (const double mark : report.marks) {
    const std::string at = std::to_string(mark);
    script += "set arrow from first " + at;
    script += ", graph 0 to first " + at;
    script += ", graph 1 nohead dt 2 lc rgb 'red'\n";
  }
  std::string plot;
  for (size_t number = 0; number < report.series.size(); ++number) {
    const std::string block = "$series" + std::to_string(number);
    script += block + " << END\n";
    for (const auto& [at, value] : report.series[number].points) {
      script += std::to_string(at) + " " + std::to_string(value) + "\n";
    }
    script += "END\n";
    plot += (plot.empty() ? "plot " : ", ") + block + " using 1:2 with lines lw 2 title " +
            quote(report.series[number].label);
  }
  return script + plot + "\n";
}

int run(const ReportSettings& settings) {
  std::string body;
  const TimeReport over_time = read_series(settings.reports.front(), settings.figure);
  if (!over_time.series.empty()) {
    body = series_script(over_time);
  } else {
    std::vector<Bar> bars;
    for (const std::string& path : settings.reports) {
      const std::vector<Bar> more = read_bars(path, settings.figure);
      bars.insert(bars.end(), more.begin(), more.end());
    }
    if (bars.empty()) {
      return 1;
    }
    body = bar_script(bars);
  }
  std::FILE* gnuplot = popen("gnuplot", "w");
  if (gnuplot == nullptr) {
    std::cerr << "stoat-report: gnuplot could not be started\n";
    return 1;
  }
  const std::string head = "set terminal svg size 900,420 font 'sans,11' background 'white'\nset output " +
                           quote(settings.output) + "\nset title " + quote(settings.title) + "\n";
  std::fputs((head + body).c_str(), gnuplot);
  const int status = pclose(gnuplot);
  if (status == 0) {
    std::cout << settings.output << "\n";
  }
  return status == 0 ? 0 : 1;
}

}  // namespace
}  // namespace stoat::tools

int main(int argc, const char** argv) {
  using namespace stoat;
  const CommandLine command_line =
      parse_command_line(argc, argv, "stoat-report", "Turns JSON reports into SVG plots with gnuplot.");
  return tools::run(load_program_settings<tools::ReportSettings>(command_line, tools::read_settings));
}
