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
        "r.json:1: JSON: a number is out of range",
        input_error_message(register_text, R"({"kinds": [{"urgency": 1e400}]})")
            .c_str());
    STRCMP_EQUAL("r.json:1: JSON: nested too deeply",
                 input_error_message(register_text,
                                     "{\"kinds\": " + std::string(700000, '[') +
                                         std::string(700000, ']') + "}")
                     .c_str());
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

/// Manifest and chunks in a simulated key-value service.
struct fake_store
{
    std::uint64_t revision = 0;
    std::shared_ptr<configuration_manifest const> manifest;
    std::map<chunk_hash, std::shared_ptr<configuration_chunk const>> chunks;
    int proposals_to_lose = 0; ///< Lost before they take effect.
    int responses_to_lose = 0; ///< Of proposals that take effect.
    bool is_unavailable = false;
};

/// Runs `apply` for one operator against a store, one effect per step, so that
/// the commands of several operators can be interleaved.
struct operator_run
{
    fake_store& store;
    apply_command state;
    std::deque<apply_effect> pending_effects;
    std::string output;
    int exit_code = -1;

    std::chrono::milliseconds wall_clock{1000};

    operator_run(fake_store& target_store,
                 apply_settings settings,
                 std::chrono::milliseconds initial_wall_clock =
                     std::chrono::milliseconds{1000})
        : store(target_store), state(std::move(settings)),
          wall_clock(initial_wall_clock)
    {
        deliver(command_started{});
    }

    void deliver(apply_event const& next_event)
    {
        apply_effects out;
        instant const now{{}, wall_time{wall_clock}};
        state.reduce(next_event, now, out);
        pending_effects.insert(pending_effects.end(), out.begin(), out.end());
    }

    bool step()
    {
        if (pending_effects.empty())
        {
            return false;
        }
        auto const next_effect = pending_effects.front();
        pending_effects.pop_front();
        std::visit(
            [this](auto const& concrete_effect)
            {
                execute(concrete_effect);
            },
            next_effect);
        return true;
    }

    int run()
    {
        while (step())
        {
        }
        return exit_code;
    }

    /// Runs until the next effect is the proposal of the manifest.
    void run_until_proposal()
    {
        while (
            !std::holds_alternative<propose_manifest>(pending_effects.front()))
        {
            step();
        }
    }

    void execute(read_manifest const& /*effect*/)
    {
        if (store.is_unavailable)
        {
            deliver(platform_unavailable{platform_read::manifest, {}});
            return;
        }
        deliver(manifest_read{store_revision{store.revision}, store.manifest});
    }

    void execute(read_chunk const& effect)
    {
        deliver(chunk_read{effect.hash, store.chunks[effect.hash]});
    }

    void execute(write_chunk const& effect)
    {
        store.chunks[effect.chunk->hash] = effect.chunk;
        deliver(chunk_write_completed{write_result::applied});
    }

    void execute(propose_manifest const& effect)
    {
        if (store.proposals_to_lose > 0)
        {
            --store.proposals_to_lose;
            deliver(manifest_proposal_completed{write_result::unknown});
            return;
        }
        if (effect.expected_revision.value != store.revision)
        {
            deliver(manifest_proposal_completed{write_result::conflict});
            return;
        }
        ++store.revision;
        store.manifest = effect.manifest;
        if (store.responses_to_lose > 0)
        {
            --store.responses_to_lose;
            deliver(manifest_proposal_completed{write_result::unknown});
            return;
        }
        deliver(manifest_proposal_completed{write_result::applied});
    }

    void execute(print_text const& effect)
    {
        output += effect.text;
    }

    void execute(exit_command const& effect)
    {
        exit_code = effect.code;
    }
};

apply_settings settings_for(std::size_t server_count)
{
    auto const text = register_text_with(server_count);
    auto input = read_inventory({"r.csv", text}, {"r.json", valid_rules});
    return {.declaration = std::move(input.declaration), .base_epoch = {}};
}

bool has_printed(operator_run const& run, std::string_view text)
{
    return run.output.find(text) != std::string::npos;
}

// clang-format off
TEST_GROUP(apply){};

// clang-format on

TEST(apply, a_declaration_is_accepted_by_one_proposal)
{
    fake_store store;
    operator_run first(store, settings_for(6));
    LONGS_EQUAL(exit_success, first.run());
    UNSIGNED_LONGS_EQUAL(1, store.revision);
    CHECK_TRUE(store.manifest->epoch == epoch_number{1000});
    operator_run second(store, settings_for(7));
    LONGS_EQUAL(exit_success, second.run());
    CHECK_TRUE(store.manifest->epoch == epoch_number{1001});
    CHECK_TRUE(has_printed(second, "server cat-7 added"));
}

TEST(apply, an_epoch_is_not_reused_after_a_rollback_of_the_store)
{
    fake_store store;
    operator_run(store, settings_for(6)).run();
    auto const snapshot = store;
    operator_run(store, settings_for(7)).run();
    auto const latest_epoch = store.manifest->epoch;
    store = snapshot;
    operator_run after_rollback(
        store, settings_for(8), std::chrono::milliseconds{5000});
    LONGS_EQUAL(exit_success, after_rollback.run());
    CHECK_TRUE(store.manifest->epoch > latest_epoch);
}

TEST(apply, a_conflict_prints_the_changes_of_both_operators)
{
    fake_store store;
    operator_run(store, settings_for(6)).run();
    operator_run winner(store, settings_for(7));
    operator_run loser(store, settings_for(5));
    winner.run_until_proposal();
    loser.run_until_proposal();
    LONGS_EQUAL(exit_success, winner.run());
    auto const accepted = store.manifest;
    LONGS_EQUAL(exit_conflict, loser.run());
    CHECK_TRUE(store.manifest == accepted);
    CHECK_TRUE(has_printed(loser, "their changes:\n  server cat-7 added\n"));
    CHECK_TRUE(has_printed(loser, "your changes:\n  server cat-6 removed\n"));
}

TEST(apply, a_lost_response_to_an_accepted_proposal_is_resolved)
{
    fake_store store;
    store.responses_to_lose = 1;
    operator_run run(store, settings_for(6));
    LONGS_EQUAL(exit_success, run.run());
    UNSIGNED_LONGS_EQUAL(1, store.revision);
    CHECK_TRUE(has_printed(run, "accepted epoch 1000"));
}

TEST(apply, a_lost_proposal_is_retried_and_takes_effect_once)
{
    fake_store store;
    store.proposals_to_lose = 2;
    store.responses_to_lose = 1;
    operator_run run(store, settings_for(6));
    LONGS_EQUAL(exit_success, run.run());
    UNSIGNED_LONGS_EQUAL(1, store.revision);
}

TEST(apply, a_lost_proposal_overtaken_by_another_operator_is_a_conflict)
{
    fake_store store;
    operator_run(store, settings_for(6)).run();
    operator_run overtaken(store, settings_for(5));
    overtaken.run_until_proposal();
    store.proposals_to_lose = 1;
    overtaken.step();
    operator_run(store, settings_for(7)).run();
    LONGS_EQUAL(exit_conflict, overtaken.run());
    CHECK_TRUE(has_printed(overtaken, "not accepted, conflict"));
}

TEST(apply, repeatedly_lost_proposals_end_with_an_unknown_outcome)
{
    fake_store store;
    store.proposals_to_lose = 100;
    operator_run run(store, settings_for(6));
    LONGS_EQUAL(exit_unknown_outcome, run.run());
    CHECK_TRUE(has_printed(run, "may have been accepted"));
}

TEST(apply, losing_most_servers_requires_the_accept_losses_flag)
{
    fake_store store;
    operator_run(store, settings_for(6)).run();
    operator_run rejected(store, settings_for(3));
    LONGS_EQUAL(exit_usage_error, rejected.run());
    UNSIGNED_LONGS_EQUAL(1, store.revision);
    CHECK_TRUE(has_printed(rejected, "would lose 3 of 6 servers"));
    auto settings = settings_for(3);
    settings.accept_losses = true;
    LONGS_EQUAL(exit_success, operator_run(store, settings).run());
}

TEST(apply, a_different_base_epoch_is_a_conflict_before_any_write)
{
    fake_store store;
    operator_run(store, settings_for(6)).run();
    auto settings = settings_for(7);
    settings.base_epoch = epoch_number{999};
    auto const chunk_count = store.chunks.size();
    operator_run run(store, settings);
    LONGS_EQUAL(exit_conflict, run.run());
    UNSIGNED_LONGS_EQUAL(chunk_count, store.chunks.size());
    CHECK_TRUE(has_printed(run, "based on epoch 999, but epoch 1000"));
}

TEST(apply, check_and_an_unavailable_store_write_nothing)
{
    fake_store store;
    auto settings = settings_for(6);
    settings.check_only = true;
    LONGS_EQUAL(exit_success, operator_run(store, settings).run());
    CHECK_TRUE(store.manifest == nullptr);
    CHECK_TRUE(store.chunks.empty());
    store.is_unavailable = true;
    LONGS_EQUAL(exit_failure, operator_run(store, settings_for(6)).run());
    CHECK_TRUE(store.chunks.empty());
}

} // namespace
} // namespace dotterelrouter
