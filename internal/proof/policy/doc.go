// Package policy simulates the scheduling and maintenance policies under the users'
// load with a fake clock. It measures how slots are divided among teams, how long
// quick work waits, and what moves between pools and maintenance waves cost.
package policy
