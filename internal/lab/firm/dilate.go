package firm

import "time"

// Dilate stretches the time of the firm by a factor: work, networks, deadlines
// and ramps take so much longer, and rates are so much lower. Queues behave as
// before at a load that is the same part of the slots, while the machine has
// so many times less to do. The timers of the control tables stay as they are.
func (f *Firm) Dilate(factor float64) {
	f.World.dilate(factor)
	f.Settings.Traffic.ProbeInterval = stretch(f.Settings.Traffic.ProbeInterval, factor)
	for i := range f.Topology.Services {
		s := &f.Topology.Services[i]
		s.ServiceTime = stretch(s.ServiceTime, factor)
	}
	for i := range f.Topology.Links {
		l := &f.Topology.Links[i]
		l.Latency *= factor
		l.Rate /= factor
	}
	for i := range f.Presets {
		p := &f.Presets[i]
		for j := range p.Services {
			s := &p.Services[j]
			s.Deadline = stretch(s.Deadline, factor)
			s.DispatchTimeout = stretch(s.DispatchTimeout, factor)
			s.ShiftRamp = stretch(s.ShiftRamp, factor)
			s.ShiftRate /= factor
		}
		for j := range p.Links {
			p.Links[j].Cap /= factor
		}
	}
}

// dilate stretches what surrounds the instances.
func (w *World) dilate(factor float64) {
	w.Neighbours.Interval = stretch(w.Neighbours.Interval, factor)
	w.Neighbours.Duration = stretch(w.Neighbours.Duration, factor)
	for _, d := range []*time.Duration{&w.ZoneLatency, &w.CallerLatency, &w.ConnectTime, &w.ProbeTime} {
		*d = stretch(*d, factor)
	}
	for i := range w.Services {
		s := &w.Services[i]
		s.ServiceTime = stretch(s.ServiceTime, factor)
		s.TransferRate /= factor
	}
}

// stretch multiplies a duration.
func stretch(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
