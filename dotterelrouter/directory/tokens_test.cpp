#include "dotterelrouter/directory/internal/tokens.hpp"

#include "testing/forwarding/name_pairs.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

constexpr std::uint64_t search_seed = 20261206;
constexpr std::size_t name_count = 400000;

/// Names of one size, one after the other: a test program's check for leaks is
/// slow with many allocations.
class name_list
{
public:
    explicit name_list(std::size_t name_size) : name_size_(name_size)
    {
        testing::name_pair_search search{search_seed, name_size};
        for (std::size_t i = 0; i < name_count; ++i)
        {
            text_ += search.random_name();
        }
    }

    [[nodiscard]] std::string_view name(std::size_t index) const
    {
        return std::string_view{text_}.substr(index * name_size_, name_size_);
    }

private:
    std::string text_{};
    std::size_t name_size_;
};

/// A name by its index, and its first token.
struct indexed_token
{
    std::uint32_t token = 0;
    std::size_t index = 0;
};

/// Two names of which the first tokens are equal, by their indexes.
struct name_pair
{
    std::size_t first = 0;
    std::size_t second = 0;
};

/// Returns the pairs among the names, some 70 of them.
std::vector<name_pair> pairs_with_one_first_token(name_list const& names)
{
    std::vector<indexed_token> tokens;
    tokens.reserve(name_count);
    for (std::size_t i = 0; i < name_count; ++i)
    {
        tokens.push_back({tokens_of_name(names.name(i)).front().value, i});
    }
    std::ranges::sort(tokens, {}, &indexed_token::token);
    std::vector<name_pair> pairs;
    for (std::size_t i = 1; i < name_count; ++i)
    {
        auto const& previous = tokens[i - 1];
        if (previous.token == tokens[i].token &&
            names.name(previous.index) != names.name(tokens[i].index))
        {
            pairs.push_back({previous.index, tokens[i].index});
        }
    }
    return pairs;
}

TEST_GROUP(tokens){};

/// The second token is used by servers that share the first one. It was a hash
/// of the same function with another seed, and one in five pairs of names of 12
/// bytes shared it as well: those servers got no flows.
TEST(tokens, names_that_share_the_first_token_do_not_share_the_second)
{
    constexpr std::size_t min_pairs = 20;
    constexpr std::array<std::size_t, 8> name_sizes{
        6, 8, 10, 12, 16, 20, 28, 40};
    for (auto const name_size : name_sizes)
    {
        name_list const names{name_size};
        auto const pairs = pairs_with_one_first_token(names);
        CHECK(pairs.size() >= min_pairs);
        for (auto const& pair : pairs)
        {
            // By chance one pair in 2^30 shares it.
            CHECK(tokens_of_name(names.name(pair.first)).back() !=
                  tokens_of_name(names.name(pair.second)).back());
        }
    }
}

} // namespace
} // namespace dotterelrouter
