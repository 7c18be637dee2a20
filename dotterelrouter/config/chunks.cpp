#include "dotterelrouter/config/config.hpp"

#include <xxhash.h>

#include <array>
#include <memory>
#include <string>
#include <unordered_map>

namespace dotterelrouter
{
namespace
{

/// Hashes a sequence of fields. Each string is preceded by its length, so that
/// two different sequences of fields never produce the same bytes.
class content_hasher
{
public:
    content_hasher() : state_(XXH64_createState())
    {
        XXH64_reset(state_.get(), 0);
    }

    void add(std::string_view text)
    {
        add(text.size());
        XXH64_update(state_.get(), text.data(), text.size());
    }

    void add(std::uint64_t value)
    {
        // The least significant byte comes first, so that the hash is the same
        // on machines of either byte order.
        std::array<unsigned char, sizeof(value)> bytes{};
        for (std::size_t i = 0; i < bytes.size(); ++i)
        {
            bytes.at(i) = static_cast<unsigned char>(value >> (8 * i));
        }
        XXH64_update(state_.get(), bytes.data(), bytes.size());
    }

    [[nodiscard]] std::uint64_t finish() const
    {
        return XXH64_digest(state_.get());
    }

private:
    struct free_state
    {
        void operator()(XXH64_state_t* state) const
        {
            XXH64_freeState(state);
        }
    };

    std::unique_ptr<XXH64_state_t, free_state> state_;
};

void add_server(content_hasher& hasher, server_declaration const& server)
{
    hasher.add(server.name);
    hasher.add(server.service);
    hasher.add(hash_of(server.address));
    hasher.add(server.data_centre);
    hasher.add(server.slots);
    hasher.add(server.connections);
    hasher.add(server.draining ? 1U : 0U);
}

server_declaration declaration_of(backend_server const& server,
                                  service const& parent_service,
                                  configuration const& source)
{
    return {.name = server.name,
            .service = parent_service.name,
            .address = server.address,
            .data_centre =
                std::string(source.data_centre_name(server.data_centre)),
            .slots = server.slots,
            .connections = server.connections,
            .draining = server.draining};
}

std::shared_ptr<configuration_chunk const>
chunk_of(service const& parent_service, configuration const& source)
{
    auto chunk = std::make_shared<configuration_chunk>();
    chunk->service = parent_service.name;
    for (auto const& server : parent_service.servers)
    {
        chunk->servers.push_back(
            declaration_of(server, parent_service, source));
    }
    for (auto const& address : source.addresses())
    {
        if (address.service == parent_service.id)
        {
            chunk->addresses.push_back(
                {.address = address.address,
                 .service = parent_service.name,
                 .kind = source.kind(address.kind).name});
        }
    }
    chunk->hash = content_hash(*chunk);
    return chunk;
}

void add_chunk(configuration_builder& builder, configuration_chunk const& chunk)
{
    for (auto const& server : chunk.servers)
    {
        builder.server(server);
    }
    for (auto const& address : chunk.addresses)
    {
        builder.address(address);
    }
}

} // namespace

chunk_hash content_hash(configuration_chunk const& chunk)
{
    content_hasher hasher;
    hasher.add(chunk.service);
    hasher.add(chunk.servers.size());
    for (auto const& server : chunk.servers)
    {
        add_server(hasher, server);
    }
    hasher.add(chunk.addresses.size());
    for (auto const& address : chunk.addresses)
    {
        hasher.add(hash_of(address.address));
        hasher.add(address.service);
        hasher.add(address.kind);
    }
    return chunk_hash{hasher.finish()};
}

std::uint64_t content_hash(configuration_manifest const& manifest)
{
    content_hasher hasher;
    hasher.add(manifest.epoch.value);
    hasher.add(manifest.kinds.size());
    for (auto const& kind : manifest.kinds)
    {
        hasher.add(kind.name);
        hasher.add(kind.urgency);
        hasher.add(kind.share_percent);
        hasher.add(kind.idempotent ? 1U : 0U);
        hasher.add(static_cast<std::uint64_t>(kind.default_deadline.count()));
    }
    hasher.add(manifest.draining_vms.size());
    for (auto const vm : manifest.draining_vms)
    {
        hasher.add(vm);
    }
    hasher.add(manifest.chunks.size());
    for (auto const hash : manifest.chunks)
    {
        hasher.add(hash.value);
    }
    return hasher.finish();
}

std::vector<std::shared_ptr<configuration_chunk const>>
split_into_chunks(configuration const& source)
{
    std::vector<std::shared_ptr<configuration_chunk const>> chunks;
    for (auto const& parent_service : source.services())
    {
        chunks.push_back(chunk_of(parent_service, source));
    }
    return chunks;
}

std::shared_ptr<configuration_manifest const>
make_manifest(configuration const& source)
{
    auto manifest = std::make_shared<configuration_manifest>();
    manifest->epoch = source.epoch();
    manifest->kinds.assign(source.kinds().begin(), source.kinds().end());
    manifest->draining_vms.assign(source.draining_vms().begin(),
                                  source.draining_vms().end());
    for (auto const& chunk : split_into_chunks(source))
    {
        manifest->chunks.push_back(chunk->hash);
    }
    return manifest;
}

std::shared_ptr<configuration const> assemble_configuration(
    configuration_manifest const& manifest,
    std::span<std::shared_ptr<configuration_chunk const> const> chunks)
{
    std::unordered_map<chunk_hash, configuration_chunk const*> by_hash;
    for (auto const& chunk : chunks)
    {
        by_hash.emplace(chunk->hash, chunk.get());
    }
    configuration_builder builder;
    builder.epoch(manifest.epoch);
    for (auto const& kind : manifest.kinds)
    {
        builder.kind(kind);
    }
    for (auto const vm : manifest.draining_vms)
    {
        builder.draining_vm(vm);
    }
    for (auto const hash : manifest.chunks)
    {
        auto const found = by_hash.find(hash);
        if (found == by_hash.end())
        {
            throw config_error(
                "manifest.chunks: a chunk that the manifest lists is missing");
        }
        if (content_hash(*found->second) != hash)
        {
            throw config_error("manifest.chunks: the chunk of service '" +
                               found->second->service +
                               "' does not match its hash");
        }
        add_chunk(builder, *found->second);
    }
    return builder.build();
}

} // namespace dotterelrouter
