// Package forecast estimates how long tasks will run from the runs that have finished.
//
// Tasks are grouped into kinds: by image, queue and step, by client account, queue and
// step, and by queue and step. A prediction comes from the finest kind that has enough runs
// and whose quantiles have proved right. If there is none, it comes from the declared run
// time.
//
// The package does no I/O and reads no clock. A Forecaster is not safe for concurrent use.
package forecast
