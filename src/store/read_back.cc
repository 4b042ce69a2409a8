#include "store/read_back.h"

#include <boost/json.hpp>
#include <memory>
#include <utility>

namespace lapishatch::store {
namespace {

namespace json = boost::json;

/// One read-back until its callback.
class Reader : public std::enable_shared_from_this<Reader> {
 public:
  Reader(Table& table, base::EventLoop& loop, UnknownWrite write,
         ReadBackOptions options, std::function<void(ReadBackResult)> done)
      : table_(table),
        loop_(loop),
        write_(std::move(write)),
        done_(std::move(done)),
        backoff_(options.first_delay, options.longest_delay),
        random_(std::hash<base::AttemptId>()(write_.attempt)),
        give_up_at_(loop.Now() + options.patience) {}

  void Read() {
    table_.Read(write_.key, [self = shared_from_this()](ReadResult reading) {
      self->loop_.Post(
          [self, reading = std::move(reading)] { self->OnReading(reading); });
    });
  }

 private:
  void OnReading(const ReadResult& reading) {
    auto result = Interpret(write_, reading);
    const bool is_certain = std::holds_alternative<TookEffect>(result) ||
                            std::holds_alternative<Overtaken>(result);
    const auto delay = backoff_.Next(random_);
    if (is_certain || loop_.Now() + delay >= give_up_at_) {
      return done_(std::move(result));
    }
    loop_.After(delay, [self = shared_from_this()] { self->Read(); });
  }

  Table& table_;
  base::EventLoop& loop_;
  const UnknownWrite write_;
  const std::function<void(ReadBackResult)> done_;
  base::Backoff backoff_;
  base::Random random_;
  const base::TimePoint give_up_at_;
};

}  // namespace

bool CarriesAttempt(const std::string& value, const base::AttemptId& attempt) {
  boost::system::error_code ec;
  const auto parsed = json::parse(value, ec);
  if (ec || !parsed.is_object()) return false;
  const auto* found = parsed.as_object().if_contains("attempt");
  if (found == nullptr || !found->is_string()) return false;
  return found->as_string() == attempt.str();
}

ReadBackResult Interpret(const UnknownWrite& write, const ReadResult& reading) {
  if (const auto* failed = std::get_if<ReadFailed>(&reading)) {
    return StillUnknown{failed->detail};
  }
  const auto& row = std::get<std::optional<Row>>(reading);
  if (row && CarriesAttempt(row->value, write.attempt)) return TookEffect{*row};
  const auto version = row ? row->version : kAbsent;
  if (version == write.demanded) return Unchanged{row};
  if (row && version == write.demanded + 1) return Overtaken{*row};
  return StillUnknown{"the row has changed more than once"};
}

void ReadBack(Table& table, base::EventLoop& loop, UnknownWrite write,
              ReadBackOptions options,
              std::function<void(ReadBackResult)> done) {
  std::make_shared<Reader>(table, loop, std::move(write), options,
                           std::move(done))
      ->Read();
}

}  // namespace lapishatch::store
