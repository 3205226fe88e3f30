#include "fixture.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <fcntl.h>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

using namespace processes;

// A SIGHUP must not kill a process that has not yet installed its signal handlers. The settings are a FIFO, so that the
// process blocks on reading them until the signal has been sent.
TEST_CASE("an ingress that receives SIGHUP during its start is not killed")
{
    // If the process has exited, writing to the FIFO raises SIGPIPE.
    std::signal(SIGPIPE, SIG_IGN);
    const TemporaryFolder folder;
    const auto settings = folder.path("ingress.ini");
    REQUIRE(::mkfifo(settings.c_str(), 0600) == 0);
    Process ingress(folder, "peridot-ingress", { "--settings", settings, "--check" });
    int fifo = -1;
    // A non-blocking open for writing succeeds once the process has opened the FIFO for reading.
    REQUIRE(waitUntil([&] {
        fifo = ::open(settings.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        return fifo >= 0;
    }));
    ingress.sendSignal(SIGHUP);
    std::this_thread::sleep_for(Milliseconds(100));
    const std::string text = "[instance]\nname = n1\ndomain = a\n[listen]\ncallers = 127.0.0.1:0\n"
                             "admin = 127.0.0.1:0\npeers = 127.0.0.1:0\n[store]\naddress = 127.0.0.1:1\n";
    static_cast<void>(::write(fifo, text.data(), text.size()));
    ::close(fifo);
    REQUIRE(ingress.waitForExit().value_or(-1) == 0);
}
