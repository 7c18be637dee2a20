#include "dotterelrouter/config/config.hpp"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

constexpr std::uint32_t base_ip = 0x7f000100;

work_kind lookup()
{
    return {.id = {},
            .name = "lookup",
            .urgency = 1,
            .share_percent = 40,
            .idempotent = true,
            .default_deadline = std::chrono::seconds{2}};
}

server_declaration server(std::string name, std::uint8_t last)
{
    return {.name = std::move(name),
            .service = "catalogue",
            .where = {base_ip + last, 9000},
            .data_centre = "north",
            .slots = 3,
            .connections = 2000,
            .leaving = false};
}

address_declaration address(std::uint16_t port)
{
    return {.where = {base_ip, port}, .service = "catalogue", .kind = "lookup"};
}

configuration_builder sound()
{
    configuration_builder made;
    made.epoch(epoch_number{7}).kind(lookup());
    made.server(server("cat-1", 1)).server(server("cat-2", 2));
    made.address(address(80));
    return made;
}

/// The message of the refusal; empty if it was accepted.
std::string refusal_of(configuration_builder const& declared)
{
    try
    {
        auto const made = declared.build();
        return made ? "" : "null";
    }
    catch (config_error const& error)
    {
        return error.what();
    }
}

// clang-format off
TEST_GROUP(configuration){};

// clang-format on

TEST(configuration, sound_declarations_are_found_by_id)
{
    auto const made = sound().build();
    auto const* found = made->find_address({base_ip, 80});
    CHECK_TRUE(found != nullptr);
    CHECK_TRUE(made->kind(found->kind).name == "lookup");
    auto const* owner = made->find_service(found->service);
    CHECK_TRUE(owner != nullptr);
    UNSIGNED_LONGS_EQUAL(2, owner->all().size());
    auto const* one = made->find_server(server_id{id_from_name("cat-1")});
    CHECK_TRUE(one != nullptr);
    CHECK_TRUE(made->data_centre_name(one->data_centre) == "north");
    CHECK_TRUE(made->find_address({base_ip, 81}) == nullptr);
}

TEST(configuration, each_fault_is_refused_by_its_field)
{
    struct fault
    {
        char const* expected;
        void (*spoil)(configuration_builder&);
    };

    using builder = configuration_builder;
    fault const faults[] = {
        {"kind.name: 'lookup' stands twice",
         [](builder& b)
         {
             b.kind(lookup());
         }},
        {"kind.name: empty name",
         [](builder& b)
         {
             auto k = lookup();
             k.name = "";
             b.kind(k);
         }},
        {"kind.share_percent: 101 for 'x', expected 0 to 100",
         [](builder& b)
         {
             auto k = lookup();
             k.name = "x";
             k.share_percent = 101;
             b.kind(k);
         }},
        {"kind.default_deadline: not positive for 'x'",
         [](builder& b)
         {
             auto k = lookup();
             k.name = "x";
             k.default_deadline = duration::zero();
             b.kind(k);
         }},
        {"server.name: 'cat-1' stands twice",
         [](builder& b)
         {
             b.server(server("cat-1", 9));
         }},
        {"server.where: 'cat-9' has the endpoint of 'cat-1'",
         [](builder& b)
         {
             b.server(server("cat-9", 1));
         }},
        {"server.slots: 0 for 'cat-9', expected 1 to 65535",
         [](builder& b)
         {
             auto s = server("cat-9", 9);
             s.slots = 0;
             b.server(s);
         }},
        {"server.connections: 0 for 'cat-9', expected 1 to 4294967295",
         [](builder& b)
         {
             auto s = server("cat-9", 9);
             s.connections = 0;
             b.server(s);
         }},
        {"server.service: empty for 'cat-9'",
         [](builder& b)
         {
             auto s = server("cat-9", 9);
             s.service = "";
             b.server(s);
         }},
        {"server.data_centre: empty for 'cat-9'",
         [](builder& b)
         {
             auto s = server("cat-9", 9);
             s.data_centre = "";
             b.server(s);
         }},
        {"server.where: missing for 'cat-9'",
         [](builder& b)
         {
             auto s = server("cat-9", 9);
             s.where = {};
             b.server(s);
         }},
        {"address.kind: 'fitting' is not declared",
         [](builder& b)
         {
             auto a = address(81);
             a.kind = "fitting";
             b.address(a);
         }},
        {"address.service: 'gallery' has no server",
         [](builder& b)
         {
             auto a = address(81);
             a.service = "gallery";
             b.address(a);
         }},
        {"address.where: one endpoint stands twice, for service 'catalogue'",
         [](builder& b)
         {
             b.address(address(80));
         }},
        {"address.where: one of service 'catalogue' is the endpoint of server "
         "'cat-1'",
         [](builder& b)
         {
             auto a = address(80);
             a.where = {base_ip + 1, 9000};
             b.address(a);
         }},
        {"kind.share_percent: the kinds of one service add up to 101, "
         "expected at most 100",
         [](builder& b)
         {
             auto k = lookup();
             k.name = "fitting";
             k.share_percent = 61;
             auto a = address(81);
             a.kind = "fitting";
             b.kind(k).address(a);
         }},
    };
    for (auto const& item : faults)
    {
        auto declared = sound();
        item.spoil(declared);
        STRCMP_EQUAL(item.expected, refusal_of(declared).c_str());
    }
    STRCMP_EQUAL("", refusal_of(sound()).c_str());
}

TEST(configuration, parts_make_the_same_configuration_again)
{
    auto declared = sound();
    auto other = server("gal-1", 30);
    other.service = "gallery";
    other.leaving = true;
    auto other_address = address(82);
    other_address.service = "gallery";
    declared.server(other).address(other_address).leaving_vm(base_ip);
    auto const whole = declared.build();
    auto const chunks = split(*whole);
    UNSIGNED_LONGS_EQUAL(2, chunks.size());
    auto const again = assemble(*manifest_of(*whole), chunks);
    CHECK_TRUE(difference(*whole, *again).empty());
    CHECK_TRUE(again->epoch() == epoch_number{7});
    CHECK_TRUE(manifest_of(*again)->chunks == manifest_of(*whole)->chunks);
}

TEST(configuration, order_of_declaration_does_not_change_the_parts)
{
    configuration_builder turned;
    turned.epoch(epoch_number{7}).address(address(80));
    turned.server(server("cat-2", 2)).server(server("cat-1", 1));
    turned.kind(lookup());
    CHECK_TRUE(hash_of_content(*manifest_of(*turned.build())) ==
               hash_of_content(*manifest_of(*sound().build())));
}

TEST(configuration, a_change_touches_only_the_chunk_of_its_service)
{
    auto declared = sound();
    auto other = server("gal-1", 30);
    other.service = "gallery";
    declared.server(other);
    auto const before = manifest_of(*declared.build());
    declared.server(server("cat-3", 3));
    auto const after = manifest_of(*declared.build());
    CHECK_TRUE(before->chunks[0] != after->chunks[0]);
    CHECK_TRUE(before->chunks[1] == after->chunks[1]);
}

TEST(configuration, missing_or_altered_chunks_are_refused)
{
    auto const whole = sound().build();
    auto const manifest = manifest_of(*whole);
    CHECK_THROWS(config_error, assemble(*manifest, {}));
    auto altered = std::make_shared<configuration_chunk>(*split(*whole)[0]);
    altered->servers[0].slots = 1;
    std::shared_ptr<configuration_chunk const> const chunks[] = {altered};
    CHECK_THROWS(config_error, assemble(*manifest, chunks));
}

TEST(configuration, a_field_that_moves_changes_the_hash)
{
    auto const original = split(*sound().build())[0];
    auto shifted = *original;
    shifted.servers[0].name += shifted.servers[0].service.substr(0, 1);
    shifted.servers[0].service.erase(0, 1);
    CHECK_TRUE(hash_of_content(shifted) != original->hash);
}

TEST(configuration, difference_names_what_an_operator_changed)
{
    auto const before = sound().build();
    configuration_builder changed;
    auto kind = lookup();
    kind.urgency = 0;
    auto one = server("cat-1", 1);
    one.slots = 2;
    one.leaving = true;
    changed.kind(kind).server(one).server(server("cat-3", 3));
    changed.address(address(81)).leaving_vm(base_ip + 255);
    auto const after = changed.build();
    std::string text;
    for (auto const& item : difference(*before, *after))
    {
        text += to_string(item) + '\n';
    }
    STRCMP_EQUAL("kind lookup changed: urgency 1 -> 0\n"
                 "server cat-1 changed: slots 3 -> 2, leaving no -> yes\n"
                 "server cat-2 removed\n"
                 "server cat-3 added\n"
                 "address 127.0.1.0:80 removed\n"
                 "address 127.0.1.0:81 added\n"
                 "leaving VM 127.0.1.255 added\n",
                 text.c_str());
    CHECK_TRUE(difference(*before, *before).empty());
}

TEST(configuration, losing_more_than_a_third_is_excessive)
{
    configuration_builder many;
    many.kind(lookup());
    for (std::uint8_t i = 1; i <= 6; ++i)
    {
        many.server(server("cat-" + std::to_string(i), i));
    }
    auto const before = many.build();
    configuration_builder third;
    third.kind(lookup());
    for (std::uint8_t i = 1; i <= 4; ++i)
    {
        third.server(server("cat-" + std::to_string(i), i));
    }
    CHECK_TRUE(excessive_losses(*before, *third.build()).empty());

    configuration_builder half;
    half.kind(lookup());
    for (std::uint8_t i = 1; i <= 3; ++i)
    {
        half.server(server("cat-" + std::to_string(i), i));
    }
    // New names do not make up for lost ones.
    half.server(server("new-1", 11)).server(server("new-2", 12));
    auto const losses = excessive_losses(*before, *half.build());
    UNSIGNED_LONGS_EQUAL(1, losses.size());
    STRCMP_EQUAL("catalogue", losses[0].service.c_str());
    UNSIGNED_LONGS_EQUAL(6, losses[0].before);
    UNSIGNED_LONGS_EQUAL(3, losses[0].lost);

    configuration_builder gone;
    gone.kind(lookup());
    UNSIGNED_LONGS_EQUAL(6, excessive_losses(*before, *gone.build())[0].lost);
}

} // namespace
} // namespace dotterelrouter
