// Package control is the deterministic core of an instance: tables of
// instances, pools, configuration and shifts, and the systems that run over
// them each tick. It does no I/O, reads no clock and starts no goroutine: the
// caller passes time and messages in and carries out what Ready returns.
package control
