// Package bench benchmarks the whole daemon: it compares the latency of requests
// through an entry with that through a minimal reverse proxy.
package bench
