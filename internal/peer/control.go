package peer

import (
	"context"
	"errors"
	"time"

	"github.com/quic-go/quic-go"

	"sycamoreledge.example/internal/control"
)

const (
	// maxQueued is how many control messages wait for one peer; the oldest are
	// dropped.
	maxQueued = 64
	// controlTimeout bounds the sending of a large control message.
	controlTimeout = 2 * time.Second
	// datagramHeaderBytes is the size of what precedes the message in a
	// datagram: version and frame type.
	datagramHeaderBytes = 2
)

// SendControl implements Transport.
func (n *Node) SendControl(to string, msg control.Message) {
	r, ok := n.peers[to]
	if !ok {
		n.counters.dropped.Add(1)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		n.counters.dropped.Add(1)
		return
	}
	if len(r.queue) == maxQueued {
		r.queue = r.queue[1:]
		n.counters.dropped.Add(1)
	}
	r.queue = append(r.queue, msg)
	if !r.sending {
		r.sending = true
		n.tasks.Go(r.sendQueued)
	}
}

// sendQueued sends the waiting messages and ends when there are none.
func (r *remote) sendQueued() {
	for {
		batch := r.takeQueue()
		if batch == nil {
			return
		}
		c, err := r.connect(r.node.ctx, classShort)
		if err != nil {
			r.node.counters.dropped.Add(uint64(len(batch)))
			continue
		}
		c.used()
		for _, msg := range batch {
			if err := c.sendControl(msg); err != nil {
				r.node.counters.dropped.Add(1)
			}
		}
	}
}

// takeQueue returns the waiting messages, or nil when there are none and the
// sender must end.
func (r *remote) takeQueue() []control.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := r.queue
	r.queue = nil
	r.sending = len(batch) > 0
	return batch
}

// sendControl sends one message as a datagram, or on a stream when it does not
// fit.
func (c *conn) sendControl(msg control.Message) error {
	payload, err := encoding.Marshal(msg)
	if err != nil {
		return err
	}
	if len(payload) > c.node.config.Limits.ControlBytes {
		return errOversized.New("control message of %d bytes", len(payload))
	}
	datagram := make([]byte, 0, datagramHeaderBytes+len(payload))
	datagram = append(datagram, Version, byte(frameControl))
	datagram = append(datagram, payload...)
	err = c.quic.SendDatagram(datagram)
	var tooLarge *quic.DatagramTooLargeError
	if !errors.As(err, &tooLarge) {
		return err
	}
	return c.sendLargeControl(payload)
}

func (c *conn) sendLargeControl(payload []byte) error {
	ctx, cancel := context.WithTimeout(c.node.ctx, controlTimeout)
	defer cancel()
	stream, err := c.quic.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	_ = stream.SetWriteDeadline(time.Now().Add(controlTimeout))
	frame := append([]byte{Version}, appendFrame(nil, frameControl, payload)...)
	if _, err := stream.Write(frame); err != nil {
		stream.CancelWrite(codeCanceled)
		return err
	}
	return stream.Close()
}

// acceptDatagrams takes the control messages that come as datagrams.
func (c *conn) acceptDatagrams() {
	for {
		datagram, err := c.quic.ReceiveDatagram(c.node.ctx)
		if err != nil {
			return
		}
		c.heard.Store(true)
		if err := c.takeDatagram(datagram); err != nil {
			c.refused(err)
		}
	}
}

func (c *conn) takeDatagram(datagram []byte) error {
	if len(datagram) < datagramHeaderBytes {
		return errMalformed.New("datagram of %d bytes", len(datagram))
	}
	if err := checkVersion(uint16(datagram[0])); err != nil {
		return err
	}
	if kind := frameType(datagram[1]); kind != frameControl {
		return errMalformed.New("datagram with a frame of type %d", kind)
	}
	return c.takeControl(datagram[datagramHeaderBytes:])
}

// takeControl hands a control message on, after a check of its sender.
func (c *conn) takeControl(payload []byte) error {
	var msg control.Message
	if err := decode(payload, &msg); err != nil {
		return err
	}
	if msg.From != c.remote.name {
		err := Error.New("message claims to come from %q", msg.From)
		c.node.report(Event{Kind: SenderRefused, Peer: c.remote.name, Address: c.address(), Err: err})
		return nil
	}
	c.used()
	c.node.config.Handler.HandleControl(msg)
	return nil
}

// acceptControl takes the control messages that come on streams.
func (c *conn) acceptControl() {
	for {
		stream, err := c.quic.AcceptUniStream(c.node.ctx)
		if err != nil {
			return
		}
		c.heard.Store(true)
		c.node.tasks.Go(func() { c.takeControlStream(stream) })
	}
}

func (c *conn) takeControlStream(stream *quic.ReceiveStream) {
	defer stream.CancelRead(codeDone)
	_ = stream.SetReadDeadline(time.Now().Add(c.node.config.Timing.Head))
	if err := c.readControl(newFrameReader(stream)); err != nil && !errCut.Has(err) {
		c.refused(err)
	}
}

func (c *conn) readControl(frames *frameReader) error {
	version, err := frames.src.ReadByte()
	if err != nil {
		return cut(err)
	}
	if err := checkVersion(uint16(version)); err != nil {
		return err
	}
	payload, err := frames.frame(frameControl, c.node.config.Limits.ControlBytes)
	if err != nil {
		return err
	}
	return c.takeControl(payload)
}
