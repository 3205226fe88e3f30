#include "fixture.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <fcntl.h>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

using namespace processes;

// Guards against a process that a reload ends, because the signal comes before it listens to signals. The settings come
// through a pipe, so that the process waits for them until the signal has been sent.
TEST_CASE("a reload that is asked for while an ingress starts does not end it")
{
    // A process that has ended leaves a pipe without a reader.
    std::signal(SIGPIPE, SIG_IGN);
    const TemporaryFolder folder;
    const auto settings = folder.path("ingress.ini");
    REQUIRE(::mkfifo(settings.c_str(), 0600) == 0);
    Process ingress(folder, "peridot-ingress", { "--settings", settings, "--check" });
    int pipe = -1;
    // Opening for writing succeeds once the process reads.
    REQUIRE(waitUntil([&] {
        pipe = ::open(settings.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        return pipe >= 0;
    }));
    ingress.signal(SIGHUP);
    std::this_thread::sleep_for(Milliseconds(100));
    const std::string text = "[instance]\nname = n1\ndomain = a\n[listen]\ncallers = 127.0.0.1:0\n"
                             "admin = 127.0.0.1:0\npeers = 127.0.0.1:0\n[store]\naddress = 127.0.0.1:1\n";
    static_cast<void>(::write(pipe, text.data(), text.size()));
    ::close(pipe);
    REQUIRE(ingress.waitForEnd().value_or(-1) == 0);
}
