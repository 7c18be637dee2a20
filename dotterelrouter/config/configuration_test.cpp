#include "dotterelrouter/config/config.hpp"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

constexpr std::uint32_t base_ip = 0x7f000100;

work_kind lookup_kind()
{
    return {.id = {},
            .name = "lookup",
            .urgency = 1,
            .share_percent = 40,
            .idempotent = true,
            .default_deadline = std::chrono::seconds{2}};
}

server_declaration server(std::string name, std::uint8_t last_octet)
{
    return {.name = std::move(name),
            .service = "catalogue",
            .address = {base_ip + last_octet, 9000},
            .data_centre = "north",
            .slots = 3,
            .connections = 2000,
            .draining = false};
}

address_declaration address(std::uint16_t port)
{
    return {
        .address = {base_ip, port}, .service = "catalogue", .kind = "lookup"};
}

configuration_builder valid_declarations()
{
    configuration_builder builder;
    builder.epoch(epoch_number{7}).kind(lookup_kind());
    builder.server(server("cat-1", 1)).server(server("cat-2", 2));
    builder.address(address(80));
    return builder;
}

/// Returns the message of the config_error that `build` throws, or "" if the
/// declarations are valid.
std::string error_of(configuration_builder const& declared)
{
    try
    {
        auto const result = declared.build();
        return result ? "" : "null";
    }
    catch (config_error const& error)
    {
        return error.what();
    }
}

// clang-format off
TEST_GROUP(configuration){};

// clang-format on

TEST(configuration, valid_declarations_are_found_by_id)
{
    auto const result = valid_declarations().build();
    auto const* found = result->find_address({base_ip, 80});
    CHECK_TRUE(found != nullptr);
    CHECK_TRUE(result->kind(found->kind).name == "lookup");
    auto const* service = result->find_service(found->service);
    CHECK_TRUE(service != nullptr);
    UNSIGNED_LONGS_EQUAL(2, service->all_servers().size());
    auto const* server = result->find_server(server_id{id_from_name("cat-1")});
    CHECK_TRUE(server != nullptr);
    CHECK_TRUE(result->data_centre_name(server->data_centre) == "north");
    CHECK_TRUE(result->find_address({base_ip, 81}) == nullptr);
}

TEST(configuration, each_invalid_field_is_named_in_the_error)
{
    struct invalid_case
    {
        char const* expected;
        void (*make_invalid)(configuration_builder&);
    };

    using builder = configuration_builder;
    invalid_case const cases[] = {
        {"kind.name: 'lookup' is declared more than once",
         [](builder& declared)
         {
             declared.kind(lookup_kind());
         }},
        {"kind.name: empty name",
         [](builder& declared)
         {
             auto kind = lookup_kind();
             kind.name = "";
             declared.kind(kind);
         }},
        {"kind.share_percent: 101 for 'x', expected 0 to 100",
         [](builder& declared)
         {
             auto kind = lookup_kind();
             kind.name = "x";
             kind.share_percent = 101;
             declared.kind(kind);
         }},
        {"kind.default_deadline: not positive for 'x', expected more than 0",
         [](builder& declared)
         {
             auto kind = lookup_kind();
             kind.name = "x";
             kind.default_deadline = duration::zero();
             declared.kind(kind);
         }},
        {"server.name: 'cat-1' is declared more than once",
         [](builder& declared)
         {
             declared.server(server("cat-1", 9));
         }},
        {"server.where: 'cat-9' has the same endpoint as 'cat-1'",
         [](builder& declared)
         {
             declared.server(server("cat-9", 1));
         }},
        {"server.slots: 0 for 'cat-9', expected 1 to 65535",
         [](builder& declared)
         {
             auto invalid = server("cat-9", 9);
             invalid.slots = 0;
             declared.server(invalid);
         }},
        {"server.connections: 0 for 'cat-9', expected 1 to 4294967295",
         [](builder& declared)
         {
             auto invalid = server("cat-9", 9);
             invalid.connections = 0;
             declared.server(invalid);
         }},
        {"server.service: empty for 'cat-9', expected a service name",
         [](builder& declared)
         {
             auto invalid = server("cat-9", 9);
             invalid.service = "";
             declared.server(invalid);
         }},
        {"server.data_centre: empty for 'cat-9', expected a data centre name",
         [](builder& declared)
         {
             auto invalid = server("cat-9", 9);
             invalid.data_centre = "";
             declared.server(invalid);
         }},
        {"server.where: missing for 'cat-9', expected an IP address and port",
         [](builder& declared)
         {
             auto invalid = server("cat-9", 9);
             invalid.address = {};
             declared.server(invalid);
         }},
        {"address.kind: 'fitting' is not declared",
         [](builder& declared)
         {
             auto invalid = address(81);
             invalid.kind = "fitting";
             declared.address(invalid);
         }},
        {"address.service: 'gallery' has no server",
         [](builder& declared)
         {
             auto invalid = address(81);
             invalid.service = "gallery";
             declared.address(invalid);
         }},
        {"address.where: an endpoint is declared more than once, for service "
         "'catalogue'",
         [](builder& declared)
         {
             declared.address(address(80));
         }},
        {"address.where: an address of service 'catalogue' is the endpoint of "
         "server 'cat-1'",
         [](builder& declared)
         {
             auto invalid = address(80);
             invalid.address = {base_ip + 1, 9000};
             declared.address(invalid);
         }},
        {"kind.share_percent: the kinds of one service add up to 101, "
         "expected at most 100",
         [](builder& declared)
         {
             auto kind = lookup_kind();
             kind.name = "fitting";
             kind.share_percent = 61;
             auto invalid = address(81);
             invalid.kind = "fitting";
             declared.kind(kind).address(invalid);
         }},
    };
    for (auto const& item : cases)
    {
        auto declared = valid_declarations();
        item.make_invalid(declared);
        STRCMP_EQUAL(item.expected, error_of(declared).c_str());
    }
    STRCMP_EQUAL("", error_of(valid_declarations()).c_str());
}

TEST(configuration, chunks_and_manifest_reassemble_the_same_configuration)
{
    auto declared = valid_declarations();
    auto other = server("gal-1", 30);
    other.service = "gallery";
    other.draining = true;
    auto other_address = address(82);
    other_address.service = "gallery";
    declared.server(other).address(other_address).draining_vm(base_ip);
    auto const original = declared.build();
    auto const chunks = split_into_chunks(*original);
    UNSIGNED_LONGS_EQUAL(2, chunks.size());
    auto const reassembled =
        assemble_configuration(*make_manifest(*original), chunks);
    CHECK_TRUE(configuration_changes(*original, *reassembled).empty());
    CHECK_TRUE(reassembled->epoch() == epoch_number{7});
    CHECK_TRUE(make_manifest(*reassembled)->chunks ==
               make_manifest(*original)->chunks);
}

TEST(configuration, order_of_declarations_does_not_change_the_hash)
{
    configuration_builder reordered;
    reordered.epoch(epoch_number{7}).address(address(80));
    reordered.server(server("cat-2", 2)).server(server("cat-1", 1));
    reordered.kind(lookup_kind());
    CHECK_TRUE(content_hash(*make_manifest(*reordered.build())) ==
               content_hash(*make_manifest(*valid_declarations().build())));
}

TEST(configuration, a_change_affects_only_the_chunk_of_its_service)
{
    auto declared = valid_declarations();
    auto other = server("gal-1", 30);
    other.service = "gallery";
    declared.server(other);
    auto const before = make_manifest(*declared.build());
    declared.server(server("cat-3", 3));
    auto const after = make_manifest(*declared.build());
    CHECK_TRUE(before->chunks[0] != after->chunks[0]);
    CHECK_TRUE(before->chunks[1] == after->chunks[1]);
}

TEST(configuration, missing_or_corrupt_chunks_are_refused)
{
    auto const original = valid_declarations().build();
    auto const manifest = make_manifest(*original);
    CHECK_THROWS(config_error, assemble_configuration(*manifest, {}));
    auto corrupt =
        std::make_shared<configuration_chunk>(*split_into_chunks(*original)[0]);
    corrupt->servers[0].slots = 1;
    std::shared_ptr<configuration_chunk const> const chunks[] = {corrupt};
    CHECK_THROWS(config_error, assemble_configuration(*manifest, chunks));
}

TEST(configuration, moving_a_character_between_fields_changes_the_hash)
{
    auto const original = split_into_chunks(*valid_declarations().build())[0];
    auto shifted = *original;
    shifted.servers[0].name += shifted.servers[0].service.substr(0, 1);
    shifted.servers[0].service.erase(0, 1);
    CHECK_TRUE(content_hash(shifted) != original->hash);
}

TEST(configuration, configuration_changes_lists_every_changed_declaration)
{
    auto const before = valid_declarations().build();
    configuration_builder changed;
    auto kind = lookup_kind();
    kind.urgency = 0;
    auto changed_server = server("cat-1", 1);
    changed_server.slots = 2;
    changed_server.draining = true;
    changed.kind(kind).server(changed_server).server(server("cat-3", 3));
    changed.address(address(81)).draining_vm(base_ip + 255);
    auto const after = changed.build();
    std::string text;
    for (auto const& item : configuration_changes(*before, *after))
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
    CHECK_TRUE(configuration_changes(*before, *before).empty());
}

TEST(configuration, losing_more_than_a_third_of_the_servers_is_excessive)
{
    configuration_builder original;
    original.kind(lookup_kind());
    for (std::uint8_t i = 1; i <= 6; ++i)
    {
        original.server(server("cat-" + std::to_string(i), i));
    }
    auto const before = original.build();
    configuration_builder two_removed;
    two_removed.kind(lookup_kind());
    for (std::uint8_t i = 1; i <= 4; ++i)
    {
        two_removed.server(server("cat-" + std::to_string(i), i));
    }
    CHECK_TRUE(excessive_server_losses(*before, *two_removed.build()).empty());

    configuration_builder three_removed;
    three_removed.kind(lookup_kind());
    for (std::uint8_t i = 1; i <= 3; ++i)
    {
        three_removed.server(server("cat-" + std::to_string(i), i));
    }
    // Added servers do not offset lost ones.
    three_removed.server(server("new-1", 11)).server(server("new-2", 12));
    auto const losses =
        excessive_server_losses(*before, *three_removed.build());
    UNSIGNED_LONGS_EQUAL(1, losses.size());
    STRCMP_EQUAL("catalogue", losses[0].service.c_str());
    UNSIGNED_LONGS_EQUAL(6, losses[0].previous_count);
    UNSIGNED_LONGS_EQUAL(3, losses[0].lost_count);

    configuration_builder all_removed;
    all_removed.kind(lookup_kind());
    UNSIGNED_LONGS_EQUAL(
        6,
        excessive_server_losses(*before, *all_removed.build())[0].lost_count);
}

} // namespace
} // namespace dotterelrouter
