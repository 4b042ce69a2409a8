#include "http/message.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cctype>
#include <optional>

namespace lapishatch::http {
namespace {

bool EqualIgnoringCase(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  for (std::size_t i = 0; i < a.size(); ++i) {
    if (std::tolower(static_cast<unsigned char>(a[i])) !=
        std::tolower(static_cast<unsigned char>(b[i]))) {
      return false;
    }
  }
  return true;
}

std::optional<int> HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return std::nullopt;
}

/// Decodes percent escapes; `plus_is_space` as in query strings.
std::string Decode(std::string_view text, bool plus_is_space) {
  std::string out;
  out.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (plus_is_space && text[i] == '+') {
      out += ' ';
      continue;
    }
    if (text[i] == '%' && i + 2 < text.size()) {
      const auto high = HexDigit(text[i + 1]);
      const auto low = HexDigit(text[i + 2]);
      if (high && low) {
        out += static_cast<char>(*high * 16 + *low);
        i += 2;
        continue;
      }
    }
    out += text[i];
  }
  return out;
}

/// Calls `visit` with each part of `text` between separators that is not empty.
template <typename Visit>
void ForEachPart(std::string_view text, char separator, Visit visit) {
  while (!text.empty()) {
    const auto end = text.find(separator);
    const auto part = text.substr(0, end);
    if (!part.empty()) visit(part);
    if (end == std::string_view::npos) return;
    text.remove_prefix(end + 1);
  }
}

QueryParameter ParseParameter(std::string_view text) {
  const auto equals = text.find('=');
  if (equals == std::string_view::npos) return {Decode(text, true), ""};
  return {Decode(text.substr(0, equals), true),
          Decode(text.substr(equals + 1), true)};
}

boost::json::object ProblemBody(int status, std::string_view type,
                                std::string_view title,
                                std::string_view detail) {
  boost::json::object body;
  body["type"] = "about:blank#" + std::string(type);
  body["title"] = title;
  body["status"] = status;
  body["detail"] = detail;
  return body;
}

Response ProblemFrom(int status, const boost::json::object& body) {
  Response out;
  out.status = status;
  out.headers = {{"Content-Type", "application/problem+json"}};
  out.body = boost::json::serialize(body);
  return out;
}

}  // namespace

std::string TextOf(const Endpoint& endpoint) {
  const bool is_v6 = endpoint.address.find(':') != std::string::npos;
  const auto host = is_v6 ? "[" + endpoint.address + "]" : endpoint.address;
  return host + ":" + std::to_string(endpoint.port);
}

std::string_view Headers::Find(std::string_view name) const {
  for (const auto& it : fields_) {
    if (EqualIgnoringCase(it.name, name)) return it.value;
  }
  return {};
}

bool Headers::Has(std::string_view name) const {
  for (const auto& it : fields_) {
    if (EqualIgnoringCase(it.name, name)) return true;
  }
  return false;
}

void Headers::Set(std::string_view name, std::string_view value) {
  std::erase_if(fields_, [&](const HeaderField& it) {
    return EqualIgnoringCase(it.name, name);
  });
  fields_.push_back({std::string(name), std::string(value)});
}

std::string_view Target::Query(std::string_view name) const {
  for (const auto& it : query) {
    if (it.name == name) return it.value;
  }
  return {};
}

Target ParseTarget(std::string_view target) {
  Target out;
  const auto question = target.find('?');
  const auto path = target.substr(0, question);
  out.path = Decode(path, false);
  ForEachPart(path, '/', [&](std::string_view part) {
    out.segments.push_back(Decode(part, false));
  });
  if (question == std::string_view::npos) return out;
  ForEachPart(target.substr(question + 1), '&', [&](std::string_view part) {
    out.query.push_back(ParseParameter(part));
  });
  return out;
}

Response MakeProblem(int status, std::string_view type, std::string_view title,
                     std::string_view detail) {
  return ProblemFrom(status, ProblemBody(status, type, title, detail));
}

Response MakeWorkProblem(int status, std::string_view type,
                         std::string_view title, std::string_view detail,
                         base::WorkDone work, std::string_view request_id) {
  auto body = ProblemBody(status, type, title, detail);
  body["work"] = base::NameOf(work);
  if (!request_id.empty()) body["request_id"] = request_id;
  auto out = ProblemFrom(status, body);
  out.headers.Set("Lapishatch-Work", base::NameOf(work));
  return out;
}

}  // namespace lapishatch::http
