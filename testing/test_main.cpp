#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char** argv)
{
    // ZeroMQ and log4cplus allocate on threads of their own.
    MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
