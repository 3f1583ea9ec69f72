// Package system holds the end-to-end tests. They build the programs, run them as
// separate processes, and kill, freeze and partition them or make the platform fail.
package system
