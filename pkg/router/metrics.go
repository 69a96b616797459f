package router

import "expvar"

// metrics holds the counters of the process. Package expvar publishes them under the name "corneldeal".
var metrics = expvar.NewMap("corneldeal")

// Names of the counters.
const (
	metricRequests       = "requests"
	metricRefusals       = "refusals"
	metricAttempts       = "attempts"
	metricRetries        = "retries"
	metricResumed        = "resumed_streams"
	metricTokensOut      = "tokens_out"
	metricPromptBlocks   = "prompt_blocks"
	metricMatchedBlocks  = "matched_blocks"
	metricDebits         = "debits"
	metricDebitsGranted  = "debit_tokens_granted"
	metricRefunds        = "refund_tokens"
	metricConfigRecords  = "config_records"
	metricCancelled      = "requests_cancelled_by_withdrawal"
	metricAppends        = "log_appends"
	metricAppendErrors   = "log_append_errors"
	metricReadErrors     = "log_read_errors"
	metricHeartbeats     = "heartbeats"
	metricHeartbeatFails = "heartbeat_failures"
	metricLoadUpdates    = "load_updates"
	metricLoadBytes      = "load_update_bytes"
	metricCacheEvents    = "cache_events"
	metricOrders         = "engine_orders"
	metricCrashes        = "endpoint_crashes"
	metricQueued         = "queued"
	metricRunning        = "running"
)

// count adds delta to a counter.
func count(name string, delta int64) {
	metrics.Add(name, delta)
}
