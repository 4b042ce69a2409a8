#include "http/http.h"

#include <catch2/catch.hpp>
#include <future>
#include <string>
#include <thread>

namespace lapishatch::http {
namespace {

TEST_CASE("a client gets the answers of a server, which then drains") {
  boost::asio::io_context io;
  auto guard = boost::asio::make_work_guard(io);
  Server server(io, {"127.0.0.1", 0}, {}, [](ExchangePtr it) {
    Response out;
    out.body = it->request().body + it->request().target;
    it->Respond(std::move(out));
  });
  server.Start();
  Client client(io, {});
  std::thread t([&] { io.run(); });
  std::thread t2([&] { io.run(); });
  for (int i = 0; i < 1000; ++i) {
    std::promise<ClientResult> p;
    Request r;
    r.method = "POST";
    r.body = std::to_string(i);
    client.Send(server.endpoint(), r, base::Duration(2000),
                [&](ClientResult x) { p.set_value(std::move(x)); });
    auto x = p.get_future().get();
    if (auto* e = std::get_if<ClientError>(&x)) FAIL(e->detail);
    REQUIRE(std::get<Response>(x).body == std::to_string(i) + "/");
  }
  std::promise<void> drained;
  server.Drain([&] { drained.set_value(); });
  drained.get_future().get();
  guard.reset();
  io.stop();
  t.join();
  t2.join();
}

}  // namespace
}  // namespace lapishatch::http
