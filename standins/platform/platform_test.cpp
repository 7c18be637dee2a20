#include "standins/platform/platform_process.hpp"

#include "dotterelrouter/config/config.hpp"

#include <optional>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::standins
{
namespace
{

using std::chrono::milliseconds;

constexpr std::uint32_t loopback = 0x7f000001;

/// Keeps what the client told last, by type.
struct recorder
{
    event_loop& loop;
    std::vector<stored_assignment> assignments;
    bool complete = false;
    std::optional<assignment_proposed> proposed;
    std::optional<manifest_read> manifest;
    std::optional<chunk_read> chunk;
    std::vector<vm_record> vms;
    std::optional<platform_unavailable> failed;

    void deliver(event const& happened)
    {
        std::visit(
            [this](auto const& one)
            {
                take(one);
            },
            happened);
        loop.stop(0);
    }

    template <class Other>
    void take(Other const& /*other*/)
    {
    }

    void take(assignments_read const& read)
    {
        assignments.assign(read.assignments.begin(), read.assignments.end());
        complete = read.complete;
    }

    void take(assignment_proposed const& ended)
    {
        proposed = ended;
    }

    void take(manifest_read const& read)
    {
        manifest = read;
    }

    void take(chunk_read const& read)
    {
        chunk = read;
    }

    void take(vm_list_read const& read)
    {
        vms.assign(read.vms.begin(), read.vms.end());
    }

    void take(platform_unavailable const& what)
    {
        failed = what;
    }
};

struct bench
{
    event_loop loop;
    platform_process platform{loop, {loopback, 0}, 1};
    recorder told{loop, {}, false, {}, {}, {}, {}, {}};
    platform_client<recorder> client{{.service = platform.local(),
                                      .control_port = 7000,
                                      .data_port = 7001,
                                      .call_timeout = milliseconds{300},
                                      .watch_length = milliseconds{200}},
                                     loop.base(),
                                     told};
    http_client control{loop.base(), {}};

    template <class Effect>
    void call(Effect const& asked)
    {
        client.carry_out(asked);
        loop.run();
    }

    static void on_control(void* loop, http_response const& /*response*/)
    {
        static_cast<event_loop*>(loop)->stop(0);
    }

    void post(std::string path, std::string_view body = {})
    {
        control.start({.to = platform.local(),
                       .method = http_method::post,
                       .path = std::move(path),
                       .body = std::as_bytes(std::span{body})},
                      &loop,
                      &on_control);
        loop.run();
    }

    void write_assignment(std::uint64_t expected, std::uint64_t version)
    {
        assignment value;
        value.version = assignment_version{version};
        value.nonce = version;
        call(propose_assignment{slot_id{5}, store_revision{expected}, value});
    }
};

std::shared_ptr<configuration const> whole_of(std::uint64_t epoch)
{
    return configuration_builder{}
        .epoch(epoch_number{epoch})
        .kind({.id = {}, .name = "lookup"})
        .server({.name = "cat-1",
                 .service = "catalogue",
                 .where = {loopback, 9000},
                 .data_centre = "north"})
        .build();
}

restore_manifest restoring(configuration const& whole, std::uint64_t expected)
{
    return {store_revision{expected}, manifest_of(whole), split(whole)};
}

// clang-format off
TEST_GROUP(platform){};

// clang-format on

TEST(platform, only_one_of_two_swaps_at_a_revision_takes_effect)
{
    bench all;
    all.write_assignment(0, 1);
    CHECK_TRUE(all.told.proposed->status == store_status::done);
    all.write_assignment(0, 2);
    CHECK_TRUE(all.told.proposed->status == store_status::conflict);
    all.write_assignment(1, 2);
    CHECK_TRUE(all.told.proposed->status == store_status::done);
    CHECK_TRUE(all.told.proposed->slot == slot_id{5});
    all.call(read_assignments{});
    CHECK_TRUE(all.told.complete);
    UNSIGNED_LONGS_EQUAL(1, all.told.assignments.size());
    CHECK_TRUE(all.told.assignments[0].value.nonce == 2);
    CHECK_TRUE(all.told.assignments[0].revision == store_revision{2});
}

TEST(platform, a_lost_answer_is_unknown_and_took_effect)
{
    bench all;
    all.post("/faults?lose_answers=1");
    all.write_assignment(0, 1);
    CHECK_TRUE(all.told.proposed->status == store_status::unknown);
    all.post("/faults?lose_answers=0");
    all.call(read_assignments{});
    UNSIGNED_LONGS_EQUAL(1, all.told.assignments.size());
}

TEST(platform, a_slow_answer_is_unknown)
{
    bench all;
    all.post("/faults?slow_ms=600");
    all.write_assignment(0, 1);
    CHECK_TRUE(all.told.proposed->status == store_status::unknown);
}

TEST(platform, an_outage_and_no_connection_are_unavailable)
{
    bench all;
    all.post("/faults?outage=1");
    all.write_assignment(0, 1);
    CHECK_TRUE(all.told.proposed->status == store_status::unavailable);
    all.call(read_manifest{});
    CHECK_TRUE(all.told.failed->what == platform_read::manifest);

    // Nothing listens on port 1.
    platform_client<recorder> nowhere{
        {.service = {loopback, 1}}, all.loop.base(), all.told};
    all.told.proposed.reset();
    nowhere.carry_out(propose_assignment{slot_id{1}, {}, {}});
    CHECK_FALSE(all.told.proposed.has_value());
    all.loop.run();
    CHECK_TRUE(all.told.proposed->status == store_status::unavailable);
}

TEST(platform, too_many_calls_are_unavailable)
{
    bench all;
    platform_client<recorder> narrow{
        {.service = all.platform.local(), .max_calls = 1},
        all.loop.base(),
        all.told};
    narrow.carry_out(read_manifest{.watch = true});
    narrow.carry_out(read_chunk{chunk_hash{7}});
    all.loop.run();
    CHECK_TRUE(all.told.failed->what == platform_read::chunk);
    CHECK_TRUE(all.told.failed->chunk == chunk_hash{7});
}

TEST(platform, a_restored_manifest_is_read_and_watched)
{
    bench all;
    all.call(read_manifest{});
    CHECK_TRUE(all.told.manifest->value == nullptr);
    auto const whole = whole_of(7);
    all.client.carry_out(restoring(*whole, 0));
    all.call(read_manifest{.watch = true});
    CHECK_TRUE(all.told.manifest->value != nullptr);
    CHECK_TRUE(hash_of_content(*all.told.manifest->value) ==
               hash_of_content(*manifest_of(*whole)));
    all.call(read_chunk{all.told.manifest->value->chunks[0]});
    CHECK_TRUE(all.told.chunk->value != nullptr);
    all.call(read_chunk{chunk_hash{9}});
    CHECK_TRUE(all.told.chunk->value == nullptr);
    auto const revision = all.told.manifest->revision;
    all.told.manifest.reset();
    all.call(read_manifest{.watch = true}); // Ends unchanged.
    CHECK_TRUE(all.told.manifest->revision == revision);
}

TEST(platform, an_old_copy_is_seen_by_a_watch)
{
    bench all;
    all.write_assignment(0, 1);
    all.post("/copies/save?name=a");
    all.write_assignment(1, 2);
    all.call(read_assignments{});
    all.post("/copies/restore?name=a");
    all.call(read_assignments{.watch = true});
    CHECK_TRUE(all.told.complete);
    CHECK_TRUE(all.told.assignments[0].value.nonce == 1);
}

TEST(platform, a_caller_that_is_cut_off_gets_nothing)
{
    bench all;
    all.post("/faults?cut=127.0.0.1");
    all.call(read_vm_list{});
    CHECK_TRUE(all.told.failed->what == platform_read::vm_list);
}

TEST(platform, the_vm_list_lags)
{
    bench all;
    all.post("/vms?lag_ms=150",
             R"([{"ip":"127.1.0.1","data_centre":"north","leaving":true}])");
    all.call(read_vm_list{});
    CHECK_TRUE(all.told.vms.empty());
    all.call(read_manifest{.watch = true}); // Passes some time.
    all.call(read_vm_list{});
    UNSIGNED_LONGS_EQUAL(1, all.told.vms.size());
    CHECK_TRUE(all.told.vms[0].leaving);
    CHECK_TRUE((all.told.vms[0].control == endpoint{0x7f010001, 7000}));
    CHECK_TRUE(all.told.vms[0].data_centre ==
               data_centre_id{id_from_name("north")});
}

TEST(platform, a_lease_lapses)
{
    platform_state state(1);
    platform_effects out;
    call_received write;
    write.method = http_method::put;
    write.path = "/keys/a";
    write.query["ttl"] = "1000";
    write.if_none_match = "*";
    instant const start{steady_time{std::chrono::seconds{1}}, {}};
    state.reduce(write, start, out);
    call_received read;
    read.path = "/keys/a";
    out.clear();
    state.reduce(read, start, out);
    LONGS_EQUAL(200, std::get<answer_call>(out[0]).status);
    out.clear();
    state.reduce(read, {start.steady + std::chrono::seconds{1}, {}}, out);
    LONGS_EQUAL(404, std::get<answer_call>(out[0]).status);
}

} // namespace
} // namespace dotterelrouter::standins
