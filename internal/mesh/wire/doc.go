// Package wire holds the messages between entries. The Go code is generated from
// wire.proto and call.proto; run ./generate at the repository root to regenerate it.
package wire
