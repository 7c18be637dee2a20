#include "dotterelrouter/command/command.hpp"
#include "dotterelrouter/command/internal/apply.hpp"
#include "dotterelrouter/command/internal/inventory.hpp"

#include <deque>
#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

constexpr std::string_view register_header =
    "name,service,ip,port,data_centre,slots,connections\n";
constexpr std::string_view valid_rules =
    R"({"kinds": [{"name": "lookup", "urgency": 1, "share_percent": 40,
                   "idempotent": true, "deadline_ms": 2000}],
        "addresses": [{"ip": "127.2.0.1", "port": 80,
                       "service": "catalogue", "kind": "lookup"}]})";

std::string register_text_with(std::size_t server_count)
{
    std::string text(register_header);
    for (std::size_t i = 1; i <= server_count; ++i)
    {
        auto const number = std::to_string(i);
        text.append("cat-").append(number).append(",catalogue,127.3.0.");
        text.append(number).append(",9000,north,3,2000\n");
    }
    return text;
}

/// Returns the text of the input_error; empty if the input is accepted.
std::string input_error_message(std::string_view register_text,
                                std::string_view rules_text)
{
    try
    {
        static_cast<void>(
            read_inventory({"r.csv", register_text}, {"r.json", rules_text}));
        return "";
    }
    catch (input_error const& error)
    {
        return error.what();
    }
}

// clang-format off
TEST_GROUP(inventory){};

// clang-format on

TEST(inventory, a_register_with_quotes_crlf_and_extra_columns_is_parsed)
{
    auto const servers = read_register(
        {"r.csv",
         "\xef\xbb\xbf"
         "owner,name,service,ip,port,data_centre,slots,connections\r\n"
         "\"Byrne, \"\"Aoife\"\"\",cat-1,catalogue,127.3.0.1,9000,\"nor\nth\","
         "3,2000\r\n"
         "\r\n"
         "x,cat-2,catalogue,127.3.0.2,9000,south,2,1000"});
    UNSIGNED_LONGS_EQUAL(2, servers.size());
    STRCMP_EQUAL("nor\nth", servers[0].data_centre.c_str());
    STRCMP_EQUAL("cat-2", servers[1].name.c_str());
    UNSIGNED_LONGS_EQUAL(1000, servers[1].connections);
}

TEST(inventory, register_errors_name_the_line_and_the_field)
{
    struct invalid_row
    {
        char const* fields;
        char const* message;
    };

    invalid_row const invalid_rows[] = {
        {"a,b,127.3.0.1,0,n,3,5",
         "r.csv:2: port: '0', expected an integer from 1 to 65535"},
        {"a,b,127.3.0.1,x,n,3,5",
         "r.csv:2: port: 'x', expected an integer from 1 to 65535"},
        {"a,b,127.3.0.256,1,n,3,5",
         "r.csv:2: ip: '127.3.0.256', expected an IPv4 address such as "
         "10.0.0.1"},
        {"a,b,127.3.0.1,1,n,70000,5",
         "r.csv:2: slots: '70000', expected an integer from 1 to 65535"},
        {"a,,127.3.0.1,1,n,3,5", "r.csv:2: service: the value is missing"},
        {"a,b,127.3.0.1", "r.csv:2: port: the value is missing"},
        {"\"a,b,127.3.0.1,1,n,3,5",
         "r.csv:2: quoted field: the closing quote is missing"},
    };
    for (auto const& row : invalid_rows)
    {
        auto const text = std::string(register_header) + row.fields;
        STRCMP_EQUAL(row.message,
                     input_error_message(text, valid_rules).c_str());
    }
    STRCMP_EQUAL("r.csv:1: slots: the header has no such column",
                 input_error_message("name,service,ip,port,data_centre\n", "{}")
                     .c_str());
    STRCMP_EQUAL("r.csv:1: header: the file is empty",
                 input_error_message("", "{}").c_str());
}

TEST(inventory, rules_errors_name_the_field)
{
    auto const register_text = register_text_with(2);
    STRCMP_EQUAL(
        "r.json:2: JSON: syntax error",
        input_error_message(register_text, "{\n\"kinds\": ]}").c_str());
    STRCMP_EQUAL("r.json: rules.kind: unknown field",
                 input_error_message(register_text, R"({"kind": []})").c_str());
    STRCMP_EQUAL(
        "r.json: kinds[0].urgency: expected an integer from 0 to 255",
        input_error_message(register_text,
                            R"({"kinds": [{"name": "a", "urgency": -1}]})")
            .c_str());
    STRCMP_EQUAL(
        "r.json: addresses[0].ip: 'x', expected an IPv4 address such as "
        "10.0.0.1",
        input_error_message(register_text,
                            R"({"addresses": [{"ip": "x", "port": 1}]})")
            .c_str());
    STRCMP_EQUAL(
        "r.json: leaving_servers: 'cat-9' is not in the register",
        input_error_message(register_text, R"({"leaving_servers": ["cat-9"]})")
            .c_str());
    STRCMP_EQUAL("", input_error_message(register_text, valid_rules).c_str());
}

/// The manifest and chunks as the key-value service holds them.
struct fake_store
{
    std::uint64_t revision = 0;
    std::shared_ptr<configuration_manifest const> manifest;
    std::map<chunk_hash, std::shared_ptr<configuration_chunk const>> chunks;
    int lose_before = 0; ///< Swaps that are lost before they take effect.
    int lose_after = 0;  ///< Swaps whose answer is lost.
    bool outage = false;
};

/// Runs one operator's command against a store, one effect a step.
struct operator_run
{
    fake_store& store;
    apply_command state;
    std::deque<apply_effect> todo;
    std::string told;
    int code = -1;

    std::chrono::milliseconds clock{1000};

    operator_run(
        fake_store& on,
        apply_settings settings,
        std::chrono::milliseconds wall = std::chrono::milliseconds{1000})
        : store(on), state(std::move(settings)), clock(wall)
    {
        deliver(command_started{});
    }

    void deliver(apply_event const& happened)
    {
        apply_effects out;
        instant const now{{}, wall_time{clock}};
        state.reduce(happened, now, out);
        todo.insert(todo.end(), out.begin(), out.end());
    }

    bool step()
    {
        if (todo.empty())
        {
            return false;
        }
        auto const next = todo.front();
        todo.pop_front();
        std::visit(
            [this](auto const& one)
            {
                carry_out(one);
            },
            next);
        return true;
    }

    int run()
    {
        while (step())
        {
        }
        return code;
    }

    /// Steps until the manifest is to be swapped.
    void run_to_swap()
    {
        while (!std::holds_alternative<propose_manifest>(todo.front()))
        {
            step();
        }
    }

    void carry_out(read_manifest const& /*asked*/)
    {
        if (store.outage)
        {
            deliver(platform_unavailable{platform_read::manifest, {}});
            return;
        }
        deliver(manifest_read{store_revision{store.revision}, store.manifest});
    }

    void carry_out(read_chunk const& asked)
    {
        deliver(chunk_read{asked.hash, store.chunks[asked.hash]});
    }

    void carry_out(write_chunk const& asked)
    {
        store.chunks[asked.value->hash] = asked.value;
        deliver(chunk_written{store_status::done});
    }

    void carry_out(propose_manifest const& asked)
    {
        if (store.lose_before > 0)
        {
            --store.lose_before;
            deliver(manifest_proposed{store_status::unknown});
            return;
        }
        if (asked.expected.value != store.revision)
        {
            deliver(manifest_proposed{store_status::conflict});
            return;
        }
        ++store.revision;
        store.manifest = asked.value;
        if (store.lose_after > 0)
        {
            --store.lose_after;
            deliver(manifest_proposed{store_status::unknown});
            return;
        }
        deliver(manifest_proposed{store_status::done});
    }

    void carry_out(print_text const& asked)
    {
        told += asked.text;
    }

    void carry_out(exit_with const& asked)
    {
        code = asked.code;
    }
};

apply_settings declaring(std::size_t servers)
{
    auto const text = register_text_with(servers);
    auto input = read_inventory({"r.csv", text}, {"r.json", valid_rules});
    return {.declaration = std::move(input.declaration), .base_epoch = {}};
}

bool tells(operator_run const& run, std::string_view text)
{
    return run.told.find(text) != std::string::npos;
}

// clang-format off
TEST_GROUP(apply){};

// clang-format on

TEST(apply, a_declaration_is_accepted_by_one_swap)
{
    fake_store store;
    operator_run first(store, declaring(6));
    LONGS_EQUAL(exit_success, first.run());
    UNSIGNED_LONGS_EQUAL(1, store.revision);
    CHECK_TRUE(store.manifest->epoch == epoch_number{1000});
    operator_run second(store, declaring(7));
    LONGS_EQUAL(exit_success, second.run());
    CHECK_TRUE(store.manifest->epoch == epoch_number{1001});
    CHECK_TRUE(tells(second, "server cat-7 added"));
}

TEST(apply, an_epoch_is_not_used_again_after_an_old_copy)
{
    fake_store store;
    operator_run(store, declaring(6)).run();
    auto const old = store;
    operator_run(store, declaring(7)).run();
    auto const later = store.manifest->epoch;
    store = old;
    operator_run again(store, declaring(8), std::chrono::milliseconds{5000});
    LONGS_EQUAL(exit_success, again.run());
    CHECK_TRUE(store.manifest->epoch > later);
}

TEST(apply, the_second_of_two_operators_is_told_both_changes)
{
    fake_store store;
    operator_run(store, declaring(6)).run();
    operator_run one(store, declaring(7));
    operator_run two(store, declaring(5));
    one.run_to_swap();
    two.run_to_swap();
    LONGS_EQUAL(exit_success, one.run());
    auto const accepted = store.manifest;
    LONGS_EQUAL(exit_conflict, two.run());
    CHECK_TRUE(store.manifest == accepted);
    CHECK_TRUE(tells(two, "their change:\n  server cat-7 added\n"));
    CHECK_TRUE(tells(two, "your change:\n  server cat-6 removed\n"));
}

TEST(apply, a_lost_answer_is_resolved_to_accepted)
{
    fake_store store;
    store.lose_after = 1;
    operator_run run(store, declaring(6));
    LONGS_EQUAL(exit_success, run.run());
    UNSIGNED_LONGS_EQUAL(1, store.revision);
    CHECK_TRUE(tells(run, "accepted epoch 1000"));
}

TEST(apply, a_lost_swap_is_sent_again_and_takes_effect_once)
{
    fake_store store;
    store.lose_before = 2;
    store.lose_after = 1;
    operator_run run(store, declaring(6));
    LONGS_EQUAL(exit_success, run.run());
    UNSIGNED_LONGS_EQUAL(1, store.revision);
}

TEST(apply, a_lost_swap_that_another_operator_overtook_is_a_conflict)
{
    fake_store store;
    operator_run(store, declaring(6)).run();
    operator_run late(store, declaring(5));
    late.run_to_swap();
    store.lose_before = 1;
    late.step();
    operator_run(store, declaring(7)).run();
    LONGS_EQUAL(exit_conflict, late.run());
    CHECK_TRUE(tells(late, "not accepted, conflict"));
}

TEST(apply, a_swap_that_stays_lost_is_not_called_either_way)
{
    fake_store store;
    store.lose_before = 100;
    operator_run run(store, declaring(6));
    LONGS_EQUAL(exit_unknown_outcome, run.run());
    CHECK_TRUE(tells(run, "may have been accepted"));
}

TEST(apply, losing_most_servers_needs_the_flag)
{
    fake_store store;
    operator_run(store, declaring(6)).run();
    operator_run refused(store, declaring(3));
    LONGS_EQUAL(exit_usage_error, refused.run());
    UNSIGNED_LONGS_EQUAL(1, store.revision);
    CHECK_TRUE(tells(refused, "would lose 3 of 6 servers"));
    auto settings = declaring(3);
    settings.accept_losses = true;
    LONGS_EQUAL(exit_success, operator_run(store, settings).run());
}

TEST(apply, another_base_is_a_conflict_before_anything_is_written)
{
    fake_store store;
    operator_run(store, declaring(6)).run();
    auto settings = declaring(7);
    settings.base_epoch = epoch_number{999};
    auto const chunks = store.chunks.size();
    operator_run run(store, settings);
    LONGS_EQUAL(exit_conflict, run.run());
    UNSIGNED_LONGS_EQUAL(chunks, store.chunks.size());
    CHECK_TRUE(tells(run, "start from epoch 999, but epoch 1000"));
}

TEST(apply, check_and_an_outage_write_nothing)
{
    fake_store store;
    auto settings = declaring(6);
    settings.check_only = true;
    LONGS_EQUAL(exit_success, operator_run(store, settings).run());
    CHECK_TRUE(store.manifest == nullptr);
    CHECK_TRUE(store.chunks.empty());
    store.outage = true;
    LONGS_EQUAL(exit_failure, operator_run(store, declaring(6)).run());
    CHECK_TRUE(store.chunks.empty());
}

} // namespace
} // namespace dotterelrouter
