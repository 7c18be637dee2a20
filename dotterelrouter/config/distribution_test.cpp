#include "dotterelrouter/config/internal/distribution_definitions.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <variant>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t base_ip = 0x7f000100;

std::shared_ptr<configuration const> make(std::uint64_t epoch,
                                          std::uint16_t changed_slots)
{
    configuration_builder made;
    made.epoch(epoch_number{epoch}).kind({.id = {}, .name = "lookup"});
    for (std::uint16_t i = 0; i < 6; ++i)
    {
        made.server({.name = "server-" + std::to_string(i),
                     .service = i % 2 == 0 ? "catalogue" : "gallery",
                     .where = {base_ip, i},
                     .data_centre = "north",
                     .slots = i == 0 ? changed_slots : std::uint16_t{3}});
    }
    return made.build();
}

member_record member(std::uint32_t number, std::uint32_t data_centre)
{
    return {.id = {{base_ip + number, 7000}, number + 1},
            .data = {base_ip + number, 7001},
            .data_centre = data_centre_id{data_centre}};
}

instant at(duration since_start)
{
    return {steady_time{since_start}, wall_time{since_start}};
}

template <class Wanted>
std::vector<Wanted> only(std::span<effect const> all)
{
    std::vector<Wanted> found;
    for (auto const& item : all)
    {
        if (auto const* wanted = std::get_if<Wanted>(&item))
        {
            found.push_back(*wanted);
        }
    }
    return found;
}

template <class Message>
std::vector<std::pair<member_id, Message>> messages(std::span<effect const> all)
{
    std::vector<std::pair<member_id, Message>> found;
    for (auto const& sent : only<send_peer_message>(all))
    {
        if (auto const* wanted = std::get_if<Message>(&sent.message))
        {
            found.emplace_back(sent.to, *wanted);
        }
    }
    return found;
}

/// One distribution and what it asked for last.
struct single
{
    member_record self = member(0, 1);
    member_record peer = member(1, 1);
    distribution state{distribution_settings{}, self.id, 1};
    effects out;

    void start_from_store(configuration const& whole)
    {
        state.on_members({}, self, at(seconds{1}), out);
        state.on_timer(at(seconds{1}), out);
        state.on_manifest_read(
            {store_revision{1}, manifest_of(whole)}, at(seconds{1}), out);
        for (auto const& chunk : split(whole))
        {
            state.on_chunk_read({chunk->hash, chunk}, at(seconds{1}), out);
        }
        out.clear();
    }
};

// clang-format off
TEST_GROUP(distribution){};

// clang-format on

TEST(distribution, a_lone_member_takes_the_stored_configuration)
{
    single one;
    CHECK_TRUE(one.state.in_force() == nullptr);
    auto const whole = make(5, 3);
    one.start_from_store(*whole);
    CHECK_TRUE(one.state.in_force() != nullptr);
    CHECK_TRUE(one.state.epoch() == epoch_number{5});
    CHECK_TRUE(one.state.is_watcher());
    one.state.on_timer(one.state.next_wake() == steady_time{}
                           ? at(seconds{2})
                           : instant{one.state.next_wake(), {}},
                       one.out);
    auto const reads = only<read_manifest>(one.out);
    UNSIGNED_LONGS_EQUAL(1, reads.size());
    CHECK_TRUE(reads[0].watch);
}

TEST(distribution, only_missing_chunks_are_read)
{
    single one;
    one.start_from_store(*make(5, 3));
    auto const next = make(6, 4);
    one.state.on_manifest_read(
        {store_revision{2}, manifest_of(*next)}, at(seconds{2}), one.out);
    UNSIGNED_LONGS_EQUAL(1, only<read_chunk>(one.out).size());
    CHECK_TRUE(one.state.epoch() == epoch_number{5});
}

TEST(distribution, an_old_copy_moves_nobody_back_and_is_replaced)
{
    single one;
    one.start_from_store(*make(5, 3));
    auto const old = manifest_of(*make(4, 2));
    one.state.on_manifest_read(
        {store_revision{9}, old}, at(seconds{2}), one.out);
    CHECK_TRUE(one.state.epoch() == epoch_number{5});
    UNSIGNED_LONGS_EQUAL(0, only<restore_manifest>(one.out).size());
    one.state.on_timer(at(seconds{4}), one.out);
    CHECK_FALSE(only<read_manifest>(one.out).back().watch);
    one.state.on_manifest_read(
        {store_revision{9}, old}, at(seconds{4}), one.out);
    auto const restored = only<restore_manifest>(one.out);
    UNSIGNED_LONGS_EQUAL(1, restored.size());
    CHECK_TRUE(restored[0].expected == store_revision{9});
    CHECK_TRUE(restored[0].value->epoch == epoch_number{5});
    UNSIGNED_LONGS_EQUAL(2, restored[0].chunks.size());
}

TEST(distribution, without_the_platform_a_new_member_starts_from_its_peers)
{
    single one;
    one.state.on_timer(at(seconds{1}), one.out);
    one.state.on_platform_unavailable(
        {platform_read::manifest, {}}, at(seconds{1}), one.out);
    one.state.on_members(
        std::span{&one.peer, 1}, one.self, at(seconds{1}), one.out);
    auto const asked = messages<manifest_request_message>(one.out);
    UNSIGNED_LONGS_EQUAL(1, asked.size());
    auto const whole = make(5, 3);
    one.out.clear();
    one.state.on_message(one.peer.id,
                         manifest_message{manifest_of(*whole)},
                         at(seconds{1}),
                         one.out);
    auto const wanted = messages<chunk_request_message>(one.out);
    UNSIGNED_LONGS_EQUAL(1, wanted.size());
    CHECK_TRUE(wanted[0].first == one.peer.id);
    for (auto const& chunk : split(*whole))
    {
        one.state.on_message(
            one.peer.id, chunk_message{chunk}, at(seconds{1}), one.out);
    }
    CHECK_TRUE(one.state.epoch() == epoch_number{5});
}

TEST(distribution, bad_content_is_refused_and_fetched_elsewhere)
{
    single one;
    one.start_from_store(*make(5, 3));
    one.state.on_members(
        std::span{&one.peer, 1}, one.self, at(seconds{2}), one.out);
    auto const next = make(6, 4);
    one.state.on_manifest_read(
        {store_revision{2}, manifest_of(*next)}, at(seconds{2}), one.out);
    auto const wanted = only<read_chunk>(one.out)[0].hash;
    auto const chunks = split(*next);
    auto const original = std::ranges::find_if(chunks,
                                               [wanted](auto const& chunk)
                                               {
                                                   return chunk->hash == wanted;
                                               });
    auto altered = std::make_shared<configuration_chunk>(**original);
    altered->servers[0].slots = 9;
    one.out.clear();
    one.state.on_chunk_read({wanted, altered}, at(seconds{2}), one.out);
    CHECK_TRUE(one.state.epoch() == epoch_number{5});
    CHECK_TRUE(only<record_step>(one.out)[0].what ==
               step::configuration_refused);
    one.state.on_timer(at(seconds{3}), one.out);
    auto const asked = messages<chunk_request_message>(one.out);
    UNSIGNED_LONGS_EQUAL(1, asked.size());
    CHECK_TRUE(asked[0].first == one.peer.id);
    CHECK_TRUE(asked[0].second.hashes[0] == wanted);
}

TEST(distribution, a_manifest_that_does_not_check_is_refused_once)
{
    single one;
    one.start_from_store(*make(5, 3));
    auto bad =
        std::make_shared<configuration_manifest>(*manifest_of(*make(6, 3)));
    bad->kinds.push_back(bad->kinds[0]);
    for (int i = 0; i < 3; ++i)
    {
        one.state.on_message(
            one.peer.id, manifest_message{bad}, at(seconds{2}), one.out);
    }
    CHECK_TRUE(one.state.epoch() == epoch_number{5});
    UNSIGNED_LONGS_EQUAL(1, only<record_step>(one.out).size());
    // A sound manifest of that epoch is still taken.
    one.state.on_message(one.peer.id,
                         manifest_message{manifest_of(*make(6, 3))},
                         at(seconds{2}),
                         one.out);
    CHECK_TRUE(one.state.epoch() == epoch_number{6});
}

TEST(distribution, an_epoch_that_cannot_be_had_blocks_no_other)
{
    single one;
    one.start_from_store(*make(5, 3));
    auto phantom =
        std::make_shared<configuration_manifest>(*manifest_of(*make(1000, 3)));
    phantom->chunks.push_back(chunk_hash{42});
    one.state.on_message(
        one.peer.id, manifest_message{phantom}, at(seconds{2}), one.out);
    one.state.on_message(one.peer.id,
                         manifest_message{manifest_of(*make(6, 3))},
                         at(seconds{2}),
                         one.out);
    CHECK_TRUE(one.state.epoch() == epoch_number{6});
    auto now = one.state.next_wake();
    for (int i = 0; i < 200 && now < steady_time{seconds{600}}; ++i)
    {
        one.state.on_timer({now, {}}, one.out);
        now = one.state.next_wake();
    }
    one.out.clear();
    one.state.on_timer({now, {}}, one.out);
    UNSIGNED_LONGS_EQUAL(0, messages<chunk_request_message>(one.out).size());
}

TEST(distribution, few_members_of_a_data_centre_watch)
{
    std::vector<member_record> all;
    for (std::uint32_t i = 0; i < 40; ++i)
    {
        all.push_back(member(i, i % 4));
    }
    std::map<std::uint32_t, int> watchers;
    for (auto const& self : all)
    {
        distribution state({}, self.id, 1);
        std::vector<member_record> others;
        std::ranges::copy_if(all,
                             std::back_inserter(others),
                             [&self](member_record const& item)
                             {
                                 return item.id != self.id;
                             });
        effects out;
        state.on_members(others, self, at(seconds{1}), out);
        watchers[self.data_centre.value] += state.is_watcher() ? 1 : 0;
    }
    for (auto const& [data_centre, number] : watchers)
    {
        LONGS_EQUAL(2, number);
    }
}

/// The manifest and chunks as a key-value service holds them.
struct fake_store
{
    std::uint64_t revision = 0;
    std::shared_ptr<configuration_manifest const> manifest;
    std::map<chunk_hash, std::shared_ptr<configuration_chunk const>> chunks;
};

/// Faults of one run; each is a part of 1000.
struct fault_settings
{
    std::uint32_t lose_message = 0;
    std::uint32_t alter_chunk = 0;
    bool outages = false;
    bool old_copies = false;
    bool cuts = false;
};

/// What a run showed.
struct run_report
{
    std::size_t steps_back = 0;
    std::size_t not_converged = 0;
    duration last_in_force{}; ///< After the last acceptance.
    std::size_t messages = 0;
    std::size_t bytes = 0; ///< Estimated, of messages between members.
    std::size_t store_calls = 0;
};

/// A member starts.
struct start_due
{
    std::uint32_t index = 0;
};

/// Time to look at a member's timer.
struct wake_due
{
    std::uint32_t index = 0;
};

/// Time for a member to ping another one.
struct ping_due
{
    std::uint32_t index = 0;
};

/// A ping or pong arrives.
struct epoch_due
{
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    epoch_number epoch;
};

/// A message arrives.
struct message_due
{
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    peer_message message;
};

/// A watch has waited long enough.
struct watch_due
{
    std::uint32_t index = 0;
};

/// A read of the manifest ends.
struct manifest_due
{
    std::uint32_t index = 0;
    bool answered = false;
    manifest_read read;
};

/// A read of a chunk ends.
struct chunk_due
{
    std::uint32_t index = 0;
    bool answered = false;
    chunk_read read;
};

using due = std::variant<start_due,
                         wake_due,
                         ping_due,
                         epoch_due,
                         message_due,
                         watch_due,
                         manifest_due,
                         chunk_due>;

/// Something that happens later.
struct planned
{
    duration when{};
    std::uint64_t order = 0;
    due what;

    friend bool operator>(planned const& left, planned const& right)
    {
        return std::pair{left.when, left.order} >
               std::pair{right.when, right.order};
    }
};

/// Several distributions joined by lossy links to each other and to a store.
template <class Rules>
class fleet
{
public:
    fleet(std::uint32_t size,
          std::uint32_t data_centres,
          fault_settings faults,
          std::uint64_t seed)
        : faults_(faults), random_(seed), data_centres_(data_centres)
    {
        for (std::uint32_t i = 0; i < size; ++i)
        {
            records_.push_back(member(i, i % data_centres));
        }
        for (std::uint32_t i = 0; i < size; ++i)
        {
            members_.push_back(
                {.state = {{}, records_[i].id, seed}, .highest = {}});
            after(milliseconds{random_() % 1000}, start_due{i});
        }
    }

    /// Runs a while; faults happen and operators apply at random.
    void run(duration length, duration apply_every)
    {
        auto const end = now_ + length;
        auto next_fault = now_ + seconds{2};
        auto next_apply = now_ + seconds{1};
        while (now_ < end)
        {
            advance_to(std::min({end, next_fault, next_apply}));
            if (now_ >= next_fault)
            {
                change_faults();
                next_fault = now_ + milliseconds{500 + random_() % 4000};
            }
            if (now_ >= next_apply)
            {
                apply();
                next_apply = now_ + apply_every;
            }
        }
    }

    /// Ends all faults, lets things settle, and tells what was seen.
    run_report settle(duration length)
    {
        faults_ = {};
        outage_ = false;
        cut_.clear();
        advance_to(now_ + length);
        for (auto const& item : members_)
        {
            if (!store_.manifest ||
                item.state.epoch() != store_.manifest->epoch)
            {
                ++report_.not_converged;
            }
        }
        return report_;
    }

    void apply()
    {
        if (outage_)
        {
            return;
        }
        auto const previous =
            store_.manifest ? store_.manifest->epoch.value : 0;
        clock_epoch_ = std::max(previous + 1, clock_epoch_ + 1);
        auto const whole =
            make(clock_epoch_, static_cast<std::uint16_t>(1 + random_() % 50));
        history_.push_back(store_);
        for (auto const& chunk : split(*whole))
        {
            store_.chunks[chunk->hash] = chunk;
        }
        store_.manifest = manifest_of(*whole);
        accepted_at_ = now_;
        store_changed();
    }

    [[nodiscard]] run_report const& report() const
    {
        return report_;
    }

private:
    struct member_run
    {
        basic_distribution<Rules> state;
        epoch_number highest;
        bool watching = false;
        bool started = false;
    };

    void after(duration wait, due what)
    {
        plan_.push({now_ + wait, ++order_, std::move(what)});
    }

    /// Stops where the first step back is seen.
    void advance_to(duration end)
    {
        while (!plan_.empty() && plan_.top().when <= end &&
               report_.steps_back == 0)
        {
            now_ = std::max(now_, plan_.top().when);
            auto const next = plan_.top().what;
            plan_.pop();
            std::visit(
                [&](auto const& what)
                {
                    happen(what);
                },
                next);
        }
        now_ = end;
    }

    void happen(start_due const& what)
    {
        members_[what.index].started = true;
        auto others = records_;
        others.erase(others.begin() + what.index);
        reduce(what.index,
               [&](auto& state, instant now, effects& out)
               {
                   state.on_timer(now, out);
                   state.on_members(others, records_[what.index], now, out);
               });
        happen(ping_due{what.index});
        happen(wake_due{what.index});
    }

    void happen(wake_due const& what)
    {
        auto const next =
            members_[what.index].state.next_wake().time_since_epoch();
        if (next <= now_)
        {
            reduce(what.index,
                   [](auto& state, instant now, effects& out)
                   {
                       state.on_timer(now, out);
                   });
        }
        after(milliseconds{20}, what);
    }

    void happen(ping_due const& what)
    {
        auto const to = static_cast<std::uint32_t>(random_() % members_.size());
        if (to != what.index && linked(what.index, to))
        {
            tell_epoch(what.index, to);
            tell_epoch(to, what.index);
        }
        after(seconds{1}, what);
    }

    void tell_epoch(std::uint32_t from, std::uint32_t to)
    {
        after(milliseconds{1},
              epoch_due{from, to, members_[from].state.epoch()});
    }

    void happen(epoch_due const& what)
    {
        auto const from = records_[what.from].id;
        reduce(what.to,
               [&](auto& state, instant now, effects& out)
               {
                   state.on_peer_epoch(from, what.epoch, now, out);
               });
    }

    void happen(message_due const& what)
    {
        std::visit(
            [&](auto const& message)
            {
                deliver(what.from, what.to, message);
            },
            what.message);
    }

    bool linked(std::uint32_t from, std::uint32_t to)
    {
        auto const one = from % data_centres_;
        auto const two = to % data_centres_;
        auto const is_cut = [&](std::uint32_t centre)
        {
            return std::ranges::find(cut_, centre) != cut_.end();
        };
        return (one == two || (!is_cut(one) && !is_cut(two))) &&
               random_() % 1000 >= faults_.lose_message;
    }

    bool store_reached(std::uint32_t index)
    {
        return !outage_ &&
               std::ranges::find(cut_, index % data_centres_) == cut_.end();
    }

    template <class Call>
    void reduce(std::uint32_t index, Call call)
    {
        auto& node = members_[index];
        if (!node.started)
        {
            return;
        }
        effects out;
        call(node.state, at(now_), out);
        report_.steps_back += node.state.epoch() < node.highest ? 1 : 0;
        if (node.highest < node.state.epoch())
        {
            node.highest = node.state.epoch();
            report_.last_in_force = now_ - accepted_at_;
        }
        for (auto const& item : out)
        {
            std::visit(
                [&](auto const& asked)
                {
                    carry_out(index, asked);
                },
                item);
        }
    }

    template <class Other>
    void carry_out(std::uint32_t /*index*/, Other const& /*asked*/)
    {
    }

    void carry_out(std::uint32_t index, send_peer_message const& asked)
    {
        ++report_.messages;
        report_.bytes += size_of(asked.message);
        auto const to = asked.to.control.ip - base_ip;
        if (!linked(index, to))
        {
            return;
        }
        after(milliseconds{1 + random_() % 3},
              message_due{index, to, altered(asked.message)});
    }

    template <class Message>
    void deliver(std::uint32_t from, std::uint32_t to, Message const& message)
    {
        if constexpr (requires(basic_distribution<Rules> & state,
                               effects & out) {
                          state.on_message({}, message, {}, out);
                      })
        {
            reduce(to,
                   [&](auto& state, instant now, effects& out)
                   {
                       state.on_message(records_[from].id, message, now, out);
                   });
        }
    }

    peer_message altered(peer_message const& message)
    {
        auto const* chunk = std::get_if<chunk_message>(&message);
        if (chunk == nullptr || random_() % 1000 >= faults_.alter_chunk)
        {
            return message;
        }
        auto changed = std::make_shared<configuration_chunk>(*chunk->value);
        changed->servers[0].slots = 60000;
        return chunk_message{changed};
    }

    static std::size_t size_of(peer_message const& message)
    {
        if (auto const* chunk = std::get_if<chunk_message>(&message))
        {
            return 60 + chunk->value->servers.size() * 60;
        }
        return 120;
    }

    void carry_out(std::uint32_t index, read_manifest const& asked)
    {
        ++report_.store_calls;
        if (asked.watch && store_reached(index))
        {
            members_[index].watching = true;
            after(seconds{30}, watch_due{index});
            return;
        }
        answer_manifest(index);
    }

    void happen(watch_due const& what)
    {
        answer_watch(what.index);
    }

    void answer_watch(std::uint32_t index)
    {
        if (std::exchange(members_[index].watching, false))
        {
            answer_manifest(index);
        }
    }

    void answer_manifest(std::uint32_t index)
    {
        auto const reached = store_reached(index);
        after(reached ? store_delay : store_timeout,
              manifest_due{index,
                           reached,
                           {store_revision{store_.revision}, store_.manifest}});
    }

    void happen(manifest_due const& what)
    {
        reduce(what.index,
               [&](auto& state, instant now, effects& out)
               {
                   if (what.answered)
                   {
                       state.on_manifest_read(what.read, now, out);
                       return;
                   }
                   state.on_platform_unavailable(
                       {platform_read::manifest, {}}, now, out);
               });
    }

    void carry_out(std::uint32_t index, read_chunk const& asked)
    {
        ++report_.store_calls;
        auto const reached = store_reached(index);
        auto const found = store_.chunks.find(asked.hash);
        auto const value =
            found == store_.chunks.end() ? nullptr : found->second;
        after(reached ? store_delay : store_timeout,
              chunk_due{index, reached, {asked.hash, value}});
    }

    void happen(chunk_due const& what)
    {
        reduce(what.index,
               [&](auto& state, instant now, effects& out)
               {
                   if (what.answered)
                   {
                       state.on_chunk_read(what.read, now, out);
                       return;
                   }
                   state.on_platform_unavailable(
                       {platform_read::chunk, what.read.hash}, now, out);
               });
    }

    void carry_out(std::uint32_t index, restore_manifest const& asked)
    {
        ++report_.store_calls;
        if (!store_reached(index) || asked.expected.value != store_.revision)
        {
            return;
        }
        for (auto const& chunk : asked.chunks)
        {
            store_.chunks[chunk->hash] = chunk;
        }
        store_.manifest = asked.value;
        store_changed();
    }

    void store_changed()
    {
        ++store_.revision;
        wake_watches();
    }

    void wake_watches()
    {
        for (std::uint32_t i = 0; i < members_.size(); ++i)
        {
            answer_watch(i);
        }
    }

    void change_faults()
    {
        if (faults_.outages)
        {
            outage_ = random_() % 3 == 0;
        }
        if (faults_.cuts)
        {
            cut_.clear();
            for (std::uint32_t i = 0; i < data_centres_; ++i)
            {
                if (random_() % 4 == 0)
                {
                    cut_.push_back(i);
                }
            }
        }
        if (faults_.old_copies && !history_.empty() && random_() % 3 == 0)
        {
            store_ = history_[random_() % history_.size()];
            wake_watches();
        }
    }

    static constexpr duration store_delay = milliseconds{3};
    static constexpr duration store_timeout = seconds{2};

    fault_settings faults_;
    std::mt19937_64 random_;
    std::uint32_t data_centres_;
    std::vector<member_record> records_;
    std::vector<member_run> members_;
    fake_store store_;
    std::vector<fake_store> history_;
    std::uint64_t clock_epoch_ = 0;
    bool outage_ = false;
    std::vector<std::uint32_t> cut_; ///< Data centres cut off from the rest.
    duration now_{};
    duration accepted_at_{};
    std::uint64_t order_ = 0;
    std::priority_queue<planned, std::vector<planned>, std::greater<>> plan_;
    run_report report_;
};

constexpr std::uint64_t harsh_runs = 100;
constexpr std::uint64_t broken_runs = 20;

constexpr fault_settings harsh{.lose_message = 200,
                               .alter_chunk = 50,
                               .outages = true,
                               .old_copies = true,
                               .cuts = true};

template <class Rules>
run_report harsh_run(std::uint64_t seed)
{
    auto const size = static_cast<std::uint32_t>(3 + seed * 7 % 38);
    fleet<Rules> all(size, 1 + seed % 4, harsh, seed);
    all.run(seconds{60}, seconds{3});
    return all.settle(seconds{40});
}

// clang-format off
TEST_GROUP(distribution_fleet){};

// clang-format on

TEST(distribution_fleet, epochs_never_go_back_and_all_converge)
{
    for (std::uint64_t seed = 1; seed <= harsh_runs; ++seed)
    {
        auto const seen = harsh_run<distribution_rules>(seed);
        auto const where = "seed " + std::to_string(seed);
        UNSIGNED_LONGS_EQUAL_TEXT(0, seen.steps_back, where.c_str());
        UNSIGNED_LONGS_EQUAL_TEXT(0, seen.not_converged, where.c_str());
    }
}

struct no_epoch_check : distribution_rules
{
    static constexpr bool check_epoch = false;
};

TEST(distribution_fleet, the_run_notices_a_missing_epoch_check)
{
    std::size_t caught = 0;
    for (std::uint64_t seed = 1; seed <= broken_runs; ++seed)
    {
        caught += harsh_run<no_epoch_check>(seed).steps_back > 0 ? 1 : 0;
    }
    UT_PRINT((std::to_string(caught) + " runs of " +
              std::to_string(broken_runs) + " went back")
                 .c_str());
    CHECK_TRUE(caught > broken_runs / 2);
}

TEST(distribution_fleet, a_change_is_in_force_on_540_members_within_4_s)
{
    for (std::uint32_t const lost : {0U, 100U})
    {
        fault_settings const faults{.lose_message = lost};
        fleet<distribution_rules> all(540, 5, faults, 3);
        all.run(seconds{1}, seconds{100});
        all.run(seconds{20}, seconds{100});
        auto const before = all.report();
        all.apply();
        auto const seen = all.settle(seconds{20});
        UNSIGNED_LONGS_EQUAL(0, seen.not_converged);
        CHECK_TRUE(seen.last_in_force < seconds{4});
        auto const bytes = (seen.bytes - before.bytes) / 540;
        UT_PRINT(("lost " + std::to_string(lost) + "/1000: in force after " +
                  std::to_string(seen.last_in_force / milliseconds{1}) +
                  " ms, " + std::to_string(bytes) + " bytes a member, " +
                  std::to_string(seen.store_calls - before.store_calls) +
                  " store calls")
                     .c_str());
        CHECK_TRUE(bytes < 3000);
    }
}

} // namespace
} // namespace dotterelrouter
