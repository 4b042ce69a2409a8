#include "soak/site_process.h"

#include <stdlib.h>

#include <fstream>
#include <utility>

namespace lapishatch::soak {

SiteProcess::SiteProcess(SiteProcessSettings settings)
    : settings_(std::move(settings)) {
  WriteSettings();
}

void SiteProcess::WriteSettings() const {
  std::ofstream out(settings_.folder + '/' + settings_.name + ".toml");
  out << "node = \"" << settings_.name << "\"\n"
      << "zone = \"hall\"\n"
      << "[listen-addrs]\n"
      << "front = \"" << http::TextOf(settings_.api_endpoint) << "\"\n"
      << "ready = \"" << http::TextOf(settings_.ready) << "\"\n"
      << "[bounds]\n"
      << "grace-s = 3\n"
      << "[platform]\n"
      << "address = \"" << http::TextOf(settings_.store) << "\"\n"
      << "[limits]\n";
  if (settings_.memory_mb > 0) {
    out << "memory-mb = " << settings_.memory_mb << '\n';
  }
  if (settings_.max_descriptors > 0) {
    out << "max-fds = " << settings_.max_descriptors << '\n';
  }
}

void SiteProcess::EnsureRunning() {
  if (process_ && process_->running()) return;
  const auto base = settings_.folder + '/' + settings_.name;
  process_ = std::make_unique<scenario::ChildProcess>(
      settings_.name, std::vector<std::string>{settings_.program},
      base + ".log");
  // The child inherits this process's environment at the time of its start.
  ::setenv("LAPISHATCH_SETTINGS", (base + ".toml").c_str(), 1);
  process_->Start();
}

void SiteProcess::Signal(int number, base::TimePoint now, base::Duration down) {
  if (!process_) return;
  process_->Signal(number);
  down_until_ = now + down;
}

}  // namespace lapishatch::soak
