// Package minion holds the tests of whole entries against endpoints that are processes of
// their own: they are killed and start again under their ID, behind forwarders that keep the
// connections of the entries open. The platform calls endpoints minions.
package minion
