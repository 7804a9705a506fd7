package capacity

import (
	"time"

	"golang.org/x/sys/unix"

	"sycamoreledge.example/internal/control"
)

// MessageType tells the control messages apart.
type MessageType int

// The types of control messages.
const (
	Heartbeat MessageType = iota
	Digest
	Config
	Release
	Leaving
	messageTypes
)

var messageNames = [messageTypes]string{"heartbeat", "digest", "configuration", "release", "leaving"}

// String returns the name of the type.
func (m MessageType) String() string { return messageNames[m] }

func typeOf(msg *control.Message) MessageType {
	switch {
	case msg.Heartbeat != nil:
		return Heartbeat
	case msg.Digest != nil:
		return Digest
	case msg.Config != nil:
		return Config
	case msg.Release != nil:
		return Release
	default:
		return Leaving
	}
}

// Flow counts messages and their encoded bytes.
type Flow struct {
	Messages int
	Bytes    int
}

func (f *Flow) add(bytes int) {
	f.Messages++
	f.Bytes += bytes
}

// Usage is what one instance used in one interval.
type Usage struct {
	// CPU is the processor time of the core and of its codec.
	CPU time.Duration
	In  [messageTypes]Flow
	Out [messageTypes]Flow
}

// Add adds the usage of another interval or instance.
func (u *Usage) Add(o *Usage) {
	u.CPU += o.CPU
	for t := range messageTypes {
		u.In[t].Messages += o.In[t].Messages
		u.In[t].Bytes += o.In[t].Bytes
		u.Out[t].Messages += o.Out[t].Messages
		u.Out[t].Bytes += o.Out[t].Bytes
	}
}

// Total sums all types of messages.
func (u *Usage) Total() (in, out Flow) {
	for t := range messageTypes {
		in.Messages += u.In[t].Messages
		in.Bytes += u.In[t].Bytes
		out.Messages += u.Out[t].Messages
		out.Bytes += u.Out[t].Bytes
	}
	return in, out
}

// Bytes returns the encoded bytes of both directions.
func (u *Usage) Bytes() int {
	in, out := u.Total()
	return in.Bytes + out.Bytes
}

// Messages returns the number of messages of both directions.
func (u *Usage) Messages() int {
	in, out := u.Total()
	return in.Messages + out.Messages
}

// datagramOverhead is what IP (20 bytes), UDP (8) and QUIC (short header 9,
// connection id 4, packet number 2, tag 16, frame 3, protocol version 2) add to
// one control message.
const datagramOverhead = 64

// WireBytes returns the bytes of both directions with the headers of the
// network's protocols.
func (u *Usage) WireBytes() int { return u.Bytes() + datagramOverhead*u.Messages() }

// threadTime returns the processor time of the calling thread.
func threadTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// processTime returns the processor time of the process, with that of the
// garbage collector.
func processTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
