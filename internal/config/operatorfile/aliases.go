package operatorfile

import "mintspring/internal/config/tomlfile"

// SnapshotAliases returns the old names of the section [snapshot] and of its fields, for other files that have this section.
func SnapshotAliases() []tomlfile.Alias {
	return []tomlfile.Alias{
		{Old: "learnt", New: "snapshot"},
		{Table: "snapshot", Old: "folder", New: "data_dir"},
		{Table: "snapshot", Old: "every", New: "interval"},
		{Table: "snapshot", Old: "forget_after", New: "max_age"},
	}
}

// aliases are the old names of sections and fields, which are still accepted. The tables of fields have their new names here.
var aliases = append(SnapshotAliases(), []tomlfile.Alias{
	{Table: "connections", Old: "per_server", New: "max_per_server"},
	{Table: "connections", Old: "per_origin", New: "max_per_origin"},
	{Table: "connections", Old: "floor", New: "min_per_server"},
	{Table: "connections", Old: "ahead", New: "prewarm"},
	{Table: "connections", Old: "idle", New: "idle_timeout"},
	{Table: "connections", Old: "wait", New: "queue_timeout"},
	{Table: "connections", Old: "queue", New: "max_queue"},

	{Table: "fleet", Old: "most", New: "max_nodes"},
	{Table: "fleet", Old: "founders", New: "quota_owners"},
	{Table: "fleet", Old: "period", New: "probe_interval"},
	{Table: "fleet", Old: "fade", New: "evidence_ttl"},

	{Old: "council", New: "consensus"},
	{Table: "consensus", Old: "founders", New: "initial_members"},
	{Table: "consensus", Old: "folder", New: "data_dir"},
	{Table: "consensus", Old: "ask", New: "poll_interval"},

	{Old: "book", New: "idempotency"},
	{Table: "idempotency", Old: "folder", New: "data_dir"},
	{Table: "idempotency", Old: "holders", New: "replicas"},
	{Table: "idempotency", Old: "holders_before", New: "previous_replicas"},
	{Table: "idempotency", Old: "zones_before", New: "previous_zones"},
	{Table: "idempotency", Old: "copies", New: "replication_factor"},
	{Table: "idempotency", Old: "workloads", New: "request_classes"},
	{Table: "idempotency", Old: "without", New: "no_quorum"},
	{Table: "idempotency", Old: "keep", New: "retention"},
	{Table: "idempotency", Old: "wait", New: "claim_timeout"},
	{Table: "idempotency", Old: "settle", New: "commit_timeout"},
	{Table: "idempotency", Old: "again", New: "retry_interval"},
	{Table: "idempotency", Old: "scrub", New: "anti_entropy_interval"},
	{Table: "idempotency", Old: "pace", New: "max_repairs_per_second"},
	{Table: "idempotency", Old: "most", New: "max_records"},
	{Table: "idempotency", Old: "receipt_bytes", New: "max_receipt_bytes"},
	{Table: "idempotency", Old: "files_mb", New: "max_disk_mb"},
}...)
