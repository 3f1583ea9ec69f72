// Package system holds the tests that build the programs and run them as
// separate processes, with kills, freezes, cuts and outages.
package system
