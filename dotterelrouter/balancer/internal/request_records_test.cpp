#include "dotterelrouter/balancer/internal/request_pool.hpp"
#include "dotterelrouter/balancer/internal/request_records.hpp"

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;

request_key make_key(std::uint64_t number)
{
    return {{{1, 1}, {2, 2}}, request_number{number}};
}

verdict const answered_verdict{execution::run, reason::answered};

request_record make_record(std::uint64_t number, wall_time expires)
{
    return {make_key(number), answered_verdict, expires};
}

TEST_GROUP(request_records)
{
    wall_time start_time{1s};
    request_records records{2};
};

TEST(request_records, keeps_a_record_until_it_expires)
{
    CHECK_TRUE(records.insert_or_update(make_record(1, start_time + 5s)));
    records.remove_expired(start_time + 5s);
    CHECK_TRUE(records.find(make_key(1)) == answered_verdict);
    records.remove_expired(start_time + 6s);
    CHECK_FALSE(records.find(make_key(1)).has_value());
}

TEST(request_records, full_table_rejects_new_keys)
{
    CHECK_TRUE(records.insert_or_update(make_record(1, start_time + 5s)));
    CHECK_TRUE(records.insert_or_update(make_record(2, start_time + 3s)));
    CHECK_FALSE(records.has_room());
    CHECK_FALSE(records.insert_or_update(make_record(3, start_time)));
    CHECK_TRUE(records.insert_or_update(make_record(2, start_time)));
}

TEST_GROUP(request_pool)
{
    request_pool pool{2};
};

TEST(request_pool, copies_the_payload)
{
    std::vector<std::byte> payload(3, std::byte{7});
    request_packet packet;
    packet.key = make_key(1);
    packet.payload = payload;
    auto const ticket = pool.add(packet);
    payload.assign(3, std::byte{0});
    CHECK_TRUE(pool[*ticket].packet.payload[2] == std::byte{7});
}

TEST(request_pool, is_bounded_and_reuses_tickets)
{
    request_packet packet;
    packet.key = make_key(1);
    auto const first_ticket = pool.add(packet);
    packet.key = make_key(2);
    CHECK_TRUE(pool.add(packet).has_value());
    packet.key = make_key(3);
    CHECK_FALSE(pool.add(packet).has_value());
    auto const first_generation = pool[*first_ticket].generation;
    pool.remove(*first_ticket);
    CHECK_FALSE(pool.find(make_key(1)).has_value());
    CHECK_TRUE(pool.add(packet) == first_ticket);
    CHECK_TRUE(pool[*first_ticket].generation != first_generation);
}

TEST(request_pool, response_part_set_counts_each_part_once)
{
    response_part_set received_parts;
    received_parts.reset(65);
    CHECK_TRUE(received_parts.add(64));
    CHECK_FALSE(received_parts.add(64));
    CHECK_FALSE(received_parts.add(65));
    for (std::uint16_t part = 0; part < 64; ++part)
    {
        CHECK_FALSE(received_parts.is_complete());
        CHECK_TRUE(received_parts.add(part));
    }
    CHECK_TRUE(received_parts.is_complete());
}

} // namespace
} // namespace dotterelrouter
