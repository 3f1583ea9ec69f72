// Package wire holds the messages between the entries. The Go code is generated
// from wire.proto; ./generate at the root makes it anew.
package wire
