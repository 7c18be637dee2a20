// The bindings that a forwarder holds, and their replication. Include
// "dotterelrouter/bindings/bindings.hpp".
#pragma once

#include "dotterelrouter/bindings/internal/flow_authority.hpp"
#include "dotterelrouter/forwarding/forwarding.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <span>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dotterelrouter
{

/// Maximum size of a binding table. At the size to design for it is reached
/// only if nearly every flow is bound.
inline constexpr std::size_t max_bindings = 16384;

/// Time after which nothing waits for the answer to a question any more.
inline constexpr duration max_lookup_time = std::chrono::seconds{1};
/// Minimum time between two look-ups of one flow: less than the time after
/// which its caller sends a packet again that was dropped.
inline constexpr duration min_lookup_interval = std::chrono::milliseconds{150};

/// Settings of a binding table.
struct binding_table_settings
{
    endpoint self{};              ///< Where this forwarder receives heartbeats.
    data_centre_id data_centre{}; ///< Of this forwarder.
    /// Age from which a flow may be discarded, and its binding with it.
    duration flow_lifetime = std::chrono::seconds{60};
    std::size_t max_size = max_bindings;
};

/// What a forwarder knows of a flow that it binds.
enum class binding_basis : std::uint8_t
{
    seen_open, ///< It saw the flow open at the server.
    token,     ///< Only the token of a packet names the server.
};

/// Where a flow is bound whose first packet arrived again.
struct bound_opening
{
    std::string_view server{};
    bool is_settled = false; ///< See binding_table::is_settled().
};

/// Whether the sequence numbers may belong to the same flow: they differ by
/// less than a flow transfers in its lifetime.
[[nodiscard]] bool is_same_stream(std::uint32_t first, std::uint32_t second);

/// Holds bindings, and sends each to its keepers until they have responded.
/// The first binding of a flow wins wherever two differ.
class binding_table
{
public:
    explicit binding_table(binding_table_settings settings)
        : settings_(settings),
          authority_({.self = settings.self,
                      .data_centre = settings.data_centre,
                      .flow_lifetime = settings.flow_lifetime})
    {
    }

    /// Records the start of this process. Until then it doesn't confirm the
    /// proposals of others.
    void on_started(bool is_first_start, instant now)
    {
        authority_.on_started(is_first_start, now);
    }

    /// Records that this process did not run for a while until now.
    void on_resumed(instant now)
    {
        authority_.on_resumed(now);
    }

    /// Sets the other forwarders that are live, and those that were within the
    /// lifetime of flows. Bindings are sent to those that are keepers now and
    /// were not before, when on_timer is due next.
    void set_forwarders(std::vector<live_forwarder> live,
                        std::vector<former_forwarder> former,
                        instant now);

    /// See flow_authority.
    void set_unheard(unheard_forwarders unheard)
    {
        authority_.set_unheard(std::move(unheard));
    }

    /// See flow_authority.
    void on_heard(endpoint address, instant now)
    {
        authority_.on_heard(address, now);
    }

    /// See flow_authority.
    void set_isolated(bool is_isolated)
    {
        authority_.set_isolated(is_isolated);
    }

    /// Returns the name of the server to which the flow of a packet is bound,
    /// if it is. The packet must not be a first packet. The view is valid until
    /// the next non-const call.
    [[nodiscard]] std::optional<std::string_view>
    find(caller_packet const& packet) const;

    /// Returns the binding of the flow that a first packet began, if it is a
    /// copy of that flow's first packet: it has its sequence number, and comes
    /// before a caller gives up. The view is valid until the next non-const
    /// call.
    [[nodiscard]] std::optional<bound_opening>
    find_begun_by(caller_packet const& first_packet, instant now) const;

    /// Removes the binding of an earlier flow whose caller uses its port again.
    void forget(flow_key flow)
    {
        entries_.erase(flow);
    }

    /// Binds the flow of a packet to a server, unless it is bound already, and
    /// sends the binding to the keepers. The flow can't have opened before
    /// `opened_after`, if that is known.
    void bind(caller_packet const& packet,
              std::string_view server,
              binding_basis basis,
              instant now,
              forwarder_effects& out,
              std::optional<steady_time> opened_after = std::nullopt);

    /// Binds a flow that was seen open `binding.age` ago, unless it is bound
    /// already, and sends the binding to the keepers. Returns whether it was
    /// not bound.
    bool bind(flow_binding const& binding, instant now, forwarder_effects& out);

    /// Confirms a proposal of another forwarder, which then informs the
    /// keepers. Does nothing if the flow is bound to another server.
    void vouch_for(flow_binding const& proposal,
                   instant now,
                   forwarder_effects& out);

    /// Looks the flow of a packet up if its binding is not confirmed, unless
    /// that was done just before. See bind() for `opened_after`.
    void confirm(caller_packet const& packet,
                 instant now,
                 forwarder_effects& out,
                 std::optional<steady_time> opened_after = std::nullopt);

    /// Asks the keepers and all forwarders of this data centre where the flow
    /// of a packet is open, without binding it. Replaces an earlier question
    /// about a flow of the same key.
    ///
    /// Load: flows that move to another forwarder while their token names two
    /// servers; so few that all may be asked.
    void ask(caller_packet const& packet, instant now, forwarder_effects& out);

    /// Ends the question about this flow, if there is one, and returns whether
    /// all keepers have responded that they don't know the flow, and no
    /// forwarder may know it that none of those asked can hear.
    std::optional<bool> end_question(flow_key flow);

    /// Whether no other forwarder can be asked for a flow.
    [[nodiscard]] bool has_nobody_to_ask() const
    {
        return authority_.forwarders().empty() &&
               authority_.possible_placers().empty();
    }

    /// True while a keeper has not responded to the binding of this flow, or
    /// another forwarder to a proposal or question about it.
    [[nodiscard]] bool is_awaiting_keepers(flow_key flow) const;
    /// False if the flow of a packet is bound by a token only, and no other
    /// forwarder that may speak for the flow has confirmed that. True if the
    /// flow is not bound.
    [[nodiscard]] bool is_settled(caller_packet const& packet) const;

    /// True if the flow may be open at another server than the one that it is
    /// bound to by a token: no other forwarder has confirmed that one, and this
    /// one may not speak for the flow or a live keeper has not responded.
    [[nodiscard]] bool is_unconfirmed(flow_key flow, instant now) const;

    /// Merges the bindings of a message, and responds to it unless it is a
    /// response. Returns the flows that are bound to another server now than
    /// before, and logs them.
    std::vector<flow_key> on_message(endpoint from,
                                     binding_message const& message,
                                     instant now,
                                     forwarder_effects& out);

    /// Returns the forwarders of a small fleet that did not respond to a
    /// look-up in time, since the last call. Flows wait for them.
    [[nodiscard]] std::vector<endpoint> take_unresponsive()
    {
        return std::exchange(unresponsive_, {});
    }

    /// Sends bindings again to keepers that have not responded, and removes
    /// those whose lifetime is over.
    void on_timer(instant now, forwarder_effects& out);

    /// Time at which on_timer is due; empty if there is nothing to do.
    [[nodiscard]] std::optional<steady_time> next_timer_at() const;

    [[nodiscard]] std::size_t size() const
    {
        return entries_.size();
    }

private:
    /// A question to the keepers of a flow.
    struct question
    {
        flow_binding asked{}; ///< Without a server.
        steady_time asked_at{};
        /// Forwarders that have not responded.
        std::vector<endpoint> unanswered{};
        /// Those of them that are keepers of the flow.
        std::vector<endpoint> unanswered_keepers{};
        /// Runs that neither this forwarder nor any that responded can hear.
        std::vector<run_id> unheard{};
    };

    /// One run of another forwarder.
    struct peer_run
    {
        endpoint address;
        std::uint64_t incarnation = 0;

        friend bool operator==(peer_run, peer_run) = default;
    };

    struct entry
    {
        flow_binding binding; ///< Its age is not kept up to date.
        steady_time bound_at;
        std::uint64_t insertion = 0; ///< Number of the insertion.
        /// Forwarders that hold the binding or are sent it by another one.
        std::vector<peer_run> informed;
        /// Keepers that were sent the binding and have not responded.
        std::vector<peer_run> unconfirmed;
        bool is_settled = false; ///< See is_settled().
        /// Bound by this forwarder, or sent by one of this data centre.
        bool is_local = true;
        /// This forwarder may speak for the flow, and there was no keeper.
        bool is_own_word = false;
        /// Proposed by another forwarder, and not confirmed to this one.
        bool is_foreign_proposal = false;
        /// The flow can't have opened before; empty if that is not known.
        std::optional<steady_time> opened_after;
        /// When the flow was looked up first and last; empty if it never was
        /// here.
        std::optional<steady_time> first_looked_up_at;
        std::optional<steady_time> looked_up_at;
        /// Forwarders other than keepers that were asked in this look-up, and
        /// have not responded. Not used before all keepers or a delay passed.
        std::vector<endpoint> unanswered;
        bool asked_placers = false; ///< In this look-up.
        /// Runs of forwarders that may have bound the flow, although some
        /// forwarder was not told of another binding. Empty: none was asked
        /// that would have been told; this one counts.
        std::optional<std::vector<run_id>> undenied;
        /// Times that it was sent to keepers that can't be heard.
        std::size_t unheard_sends = 0;
        /// flow_authority::view() of this look-up.
        std::uint64_t view = 0;
        /// When its keepers are checked next; empty if they all responded.
        std::optional<steady_time> check_at;
        duration resend_delay{};
    };

    /// Time at which the keepers of a binding are checked, if it is still that
    /// of the entry.
    struct keeper_check
    {
        steady_time at;
        flow_key flow;

        friend bool operator>(keeper_check const& left,
                              keeper_check const& right)
        {
            return left.at > right.at;
        }
    };

    /// Bindings to send, by destination.
    using outgoing = std::map<endpoint, std::vector<flow_binding>>;

    struct lifetime_end
    {
        steady_time at;
        flow_key flow;
        std::uint64_t insertion = 0; ///< Tells a later flow of the key apart.
    };

    /// Returns a binding as it is sent.
    static flow_binding to_message(entry const& bound, instant now);
    /// Returns a binding as the response to another forwarder's proposal.
    [[nodiscard]] flow_binding to_response(entry const& bound,
                                           instant now) const;
    void send_now(entry& bound, instant now, forwarder_effects& out);
    entry& insert(flow_binding const& binding,
                  steady_time bound_at,
                  instant now,
                  forwarder_effects& out);
    /// Returns the binding of the flow that is asked about, or the question
    /// itself if there is none.
    [[nodiscard]] flow_binding answer_to(flow_binding const& asked,
                                         instant now) const;
    /// Returns the binding that is held after the merge, with its age.
    flow_binding merge(flow_binding const& received,
                       endpoint from,
                       instant now,
                       forwarder_effects& out);
    /// Returns whether the response confirms a binding that this forwarder
    /// proposed.
    bool on_response(flow_binding const& held,
                     endpoint from,
                     instant now,
                     forwarder_effects& out);
    /// Whether no other forwarder has to be asked: the binding is confirmed, or
    /// this forwarder may speak for the flow and for all others.
    [[nodiscard]] bool is_known(entry const& bound, instant now) const;
    /// Notes that a forwarder would have been told of another binding, unless
    /// one of these runs bound the flow.
    static void note_denial(entry& bound, std::span<run_id const> unheard);
    /// Sets the runs for which this forwarder can't speak, unless they are too
    /// many for a message. Returns whether they are set.
    bool set_unheard_runs(flow_binding& response, instant now) const;
    /// Whether each of these runs has responded to this look-up itself.
    [[nodiscard]] static bool have_responded(entry const& bound,
                                             std::span<run_id const> runs);
    /// Whether all forwarders have responded to this look-up that may hold
    /// another binding without anybody else noticing.
    [[nodiscard]] bool is_fully_answered(entry const& bound, instant now) const;
    /// Whether a forwarder of a small fleet that did not respond to this
    /// look-up in time would have told this one of another binding: it is
    /// heard, but probably does not hear this one.
    [[nodiscard]] bool
    is_excused(entry const& bound, endpoint address, instant now) const;
    /// Whether the responses of this look-up show that no other server has the
    /// flow. An unknown flow may have opened in a data centre that was cut off
    /// a moment ago, which shows only by its silence.
    [[nodiscard]] bool is_denial_complete(entry const& bound,
                                          instant now) const;
    /// Settles a binding if the responses of its look-up show that it is right,
    /// and asks its possible placers if they don't.
    void conclude(entry& bound, instant now, outgoing& messages);
    /// Concludes look-ups whose keepers do not all respond, and notes which.
    void conclude_late(entry& bound,
                       instant now,
                       outgoing& messages,
                       forwarder_effects& out);
    /// Sends a binding to its keepers, as the beginning of a look-up.
    void look_up(entry& bound, instant now, forwarder_effects& out);
    /// Sends a proposal to the forwarders that may have placed its flow, once
    /// in a look-up.
    void ask_placers(entry& bound, instant now, outgoing& messages);
    /// Whether packets may wait for responses to a look-up.
    [[nodiscard]] static bool is_lookup_in_progress(entry const& bound,
                                                    instant now);
    /// Whether packets wait for a look-up whose responses are late.
    [[nodiscard]] static bool is_lookup_late(entry const& bound, instant now);
    static void send_outgoing(outgoing const& messages, forwarder_effects& out);
    /// Asks the keepers again if a response tells when the flow can have opened
    /// and that was not known.
    void ask_again_with_age(entry& bound,
                            flow_binding const& held,
                            instant now,
                            forwarder_effects& out);
    /// Notes that a flow can't have opened before a time.
    static void limit_age(entry& bound,
                          std::optional<steady_time> opened_after);
    [[nodiscard]] live_forwarder const* find_forwarder(endpoint address) const;
    /// Tells the keepers that the binding of a flow is confirmed.
    void announce_confirmed(flow_key flow, instant now, forwarder_effects& out);
    /// Handles the response to a question, if it is one. Returns whether the
    /// flow is bound by it.
    bool on_answer(flow_binding const& answer,
                   endpoint from,
                   instant now,
                   forwarder_effects& out);
    /// Removes questions whose packets wait no more, if there are too many.
    void remove_old_questions(instant now);
    /// Whether a binding is that of an earlier flow, whose caller uses its port
    /// again: it was bound before this flow can have opened.
    static bool is_of_earlier_flow(entry const& bound,
                                   flow_binding const& other,
                                   instant now);
    /// Replaces a binding if the other one is of the same flow, earlier and to
    /// another server. Returns whether it did.
    bool replace_if_later(entry& bound, flow_binding const& other, instant now);
    void mark_informed(entry& bound, endpoint address);
    /// Records that a forwarder responded to a binding.
    void mark_responded(entry& bound, endpoint address);
    /// Collects what a binding's keepers lack, and schedules the next check
    /// unless that is nothing.
    void send_to_keepers(entry& bound, instant now, outgoing& messages);
    /// Sends a binding a few times to forwarders that can't be heard, as they
    /// may hear this one and speak for its flow.
    void send_to_unheard_keepers(entry& bound,
                                 instant now,
                                 outgoing& messages) const;
    /// Schedules a check, unless an earlier one is scheduled.
    void schedule_check(entry& bound, steady_time at);
    [[nodiscard]] std::vector<peer_run> keeper_runs(flow_key flow) const;
    /// The keepers that this forwarder informs of a binding. If it came from
    /// another data centre, it does not go to more than one forwarder here: all
    /// that hold it inform a keeper that starts.
    [[nodiscard]] std::vector<peer_run>
    keepers_to_inform(entry const& bound) const;
    /// Whether a forwarder is in this data centre, or unknown.
    [[nodiscard]] bool is_in_own_data_centre(endpoint address) const;
    /// Removes the entry that was inserted first. Returns false if there is
    /// none before `due`.
    bool remove_oldest(steady_time due);

    binding_table_settings settings_;
    flow_authority authority_;
    std::unordered_map<flow_key, entry> entries_{};
    std::unordered_map<flow_key, question> questions_{};
    std::priority_queue<keeper_check, std::vector<keeper_check>, std::greater<>>
        checks_{};
    std::vector<endpoint> unresponsive_{};     ///< See take_unresponsive().
    std::deque<lifetime_end> lifetime_ends_{}; ///< In the order of insertion.
    std::uint64_t insertions_ = 0;
};

} // namespace dotterelrouter
