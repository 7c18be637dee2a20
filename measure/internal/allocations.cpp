#include "measure/internal/allocations.hpp"

#include <cstdlib>
#include <new>

namespace
{

std::size_t allocation_counter = 0;

} // namespace

void* operator new(std::size_t size)
{
    ++allocation_counter;
    if (void* memory = std::malloc(size))
    {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

namespace dotterelrouter::measure
{

std::size_t allocations()
{
    return allocation_counter;
}

} // namespace dotterelrouter::measure
