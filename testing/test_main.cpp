#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char** argv)
{
    // ZeroMQ and log4cplus allocate memory on threads of their own, so leak
    // detection must be thread-safe.
    MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
