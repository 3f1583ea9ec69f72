// Package fairshare divides a cell between client accounts by weighted max-min fairness
// over dominant shares. It does no I/O and reads no clock.
//
// A dominant share is the largest of the fractions of the cell's processors, memory and
// accelerators that an account uses or asks for (dominant resource fairness).
package fairshare
