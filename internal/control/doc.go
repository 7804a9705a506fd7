// Package control is the deterministic control core of an instance. It keeps
// tables of instances, pools and the configuration in force, and on each tick
// runs failure detection, pool ownership, zone adoption and gossip over them.
// It does no I/O, reads no clock and starts no goroutine: the caller passes in
// the time and received messages, and carries out what Ready returns.
//
// The local zone, region and digest row are those of this instance. Zones,
// instances and pools are identified by their indexes in declared order.
package control
