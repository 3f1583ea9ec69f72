// Package intake bounds what clients may hold of a process: connections, heads, bodies and what is
// decoded from them. A Server accepts and bounds connections, Bodies receives bodies, and a Decoder
// limits their decoding.
package intake
