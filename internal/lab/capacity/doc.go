// Package capacity measures what the control core, the platform's clients and
// the look-ups of an instance cost as the declared fleet grows. The cores of a
// whole fleet run in one process, tick by tick, without sockets.
package capacity
