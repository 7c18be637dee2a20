# Starts forwarders on loopback addresses, with settings files like those of a
# small deployment, and ends them. To be sourced by the scripts of this review.

work=$(mktemp -d)
logs=$work
pids=()
network=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 2))

end_all() {
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap end_all EXIT

# write_settings HOST SEED_HOSTS [ZONE]: the seeds are a list with commas.
write_settings() {
    local ip=$network.$1 zone=zone-${3:-a} seeds="" seed
    for seed in ${2//,/ }; do
        seeds+="${seeds:+, }\"$network.$seed:8166\""
    done
    cat >"$work/$1.json" <<END
{
  "NodeName": "frontend-$zone-$1", "Role": "forwarder",
  "MachineClass": "frontend", "Serves": ["frontend", "control"],
  "IpAddress": "$ip", "Zone": "$zone", "Region": "region",
  "Zones": {"zone-a": "region", "zone-b": "region", "zone-c": "region"},
  "Listen": {"DatagramAddress": "$ip:8172",
             "ReadinessAddress": "$ip:8167", "Control": "$ip:8166"},
  "InternalPortRange": [7720, 7735], "Seeds": [$seeds],
  "Bootstrap": true, "CountsTowardTolerance": false,
  "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260,
             "FileDescriptors": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
  "DataDirectory": null, "Discovery": "platform", "Entry": "announcement",
  "HeartbeatIntervalMs": 1200,
  "Contracts": ["base", "drain", "config", "cost", "recover", "flows",
                "platform"],
  "FaultTolerance": {"Machines": 2, "Zones": 1, "Regions": 0},
  "Bounds": {"SeedLagS": 3, "AddressReuseS": 2, "StabilityWindowMs": 4000,
             "AckTimeoutMs": 5000, "CatchUpS": 4, "DrainTimeoutMs": 3000,
             "GracePeriodS": 6, "LossSlackMs": 200, "ConfigApplyMs": 3000,
             "RollbackSlackMs": 250, "MaxStretchMs": 12000, "RecoveryS": 12,
             "FlowMs": 2000, "FlowLifetimeS": 60},
  "HashFunction": "mod", "ForwardingMode": "echo",
  "platform": {"Address": "$network.241:8169", "ForwardingMode": "kv",
               "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20,
               "MaxValueBytes": 1048576, "MinTtlMs": 1000}
}
END
}

# start_forwarder HOST: its log goes into the folder of the case.
start_forwarder() {
    DOTTERELROUTER_BOOT="$work/$1.json" target/bin/dotterelrouter forward \
        >"$logs/$1.log" 2>&1 &
    pids+=($!)
}
