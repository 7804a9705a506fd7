package capacity

import (
	"time"

	"golang.org/x/sys/unix"

	"sycamoreledge.example/internal/control"
)

// MessageType is the type of a control message.
type MessageType int

// The types of control messages.
const (
	Heartbeat MessageType = iota
	Digest
	Config
	Release
	Leaving
	messageTypeCount
)

var messageNames = [messageTypeCount]string{"heartbeat", "digest", "configuration", "release", "leaving"}

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

// Usage is the resource usage of one instance in one interval.
type Usage struct {
	// CPU is the CPU time of the control core and of its message codec.
	CPU time.Duration
	In  [messageTypeCount]Flow
	Out [messageTypeCount]Flow
}

// Add adds the usage of another interval or instance.
func (u *Usage) Add(o *Usage) {
	u.CPU += o.CPU
	for t := range messageTypeCount {
		u.In[t].Messages += o.In[t].Messages
		u.In[t].Bytes += o.In[t].Bytes
		u.Out[t].Messages += o.Out[t].Messages
		u.Out[t].Bytes += o.Out[t].Bytes
	}
}

// Total returns the sums over all types of messages.
func (u *Usage) Total() (in, out Flow) {
	for t := range messageTypeCount {
		in.Messages += u.In[t].Messages
		in.Bytes += u.In[t].Bytes
		out.Messages += u.Out[t].Messages
		out.Bytes += u.Out[t].Bytes
	}
	return in, out
}

// Bytes returns the encoded bytes received and sent.
func (u *Usage) Bytes() int {
	in, out := u.Total()
	return in.Bytes + out.Bytes
}

// Messages returns the number of messages received and sent.
func (u *Usage) Messages() int {
	in, out := u.Total()
	return in.Messages + out.Messages
}

// datagramOverhead is the number of bytes that IP (20), UDP (8) and QUIC (short
// header 9, connection ID 4, packet number 2, tag 16, frame 3, protocol version
// 2) add to one control message.
const datagramOverhead = 64

// WireBytes returns the bytes received and sent, with the headers of IP, UDP and
// QUIC.
func (u *Usage) WireBytes() int { return u.Bytes() + datagramOverhead*u.Messages() }

// threadTime returns the CPU time of the calling thread.
func threadTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// processTime returns the CPU time of the process, garbage collection included.
func processTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
