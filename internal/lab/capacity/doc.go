// Package capacity measures how the cost of the control core, of the platform
// clients and of an instance's look-ups grows with the number of declared
// instances. The control cores of a whole fleet run in one process, tick by tick
// and without sockets.
package capacity
