// Package bench holds the benchmarks of the daemon as a whole: the path of a
// request against a bare forwarder, and the cost of control.
package bench
