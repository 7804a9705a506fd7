package peer

import (
	"context"
	"errors"
	"time"

	"github.com/quic-go/quic-go"

	"sycamoreledge.example/internal/control"
)

const (
	// maxQueuedControl is the length of the queue of control messages to one
	// peer. The oldest message is dropped when it is full.
	maxQueuedControl = 64
	// largeControlTimeout limits opening the stream and writing a control message
	// that does not fit into a datagram. Each of the two has this time.
	largeControlTimeout = 2 * time.Second
	// datagramHeaderBytes is the size of the header of a datagram: version and
	// frame type, 1 byte each.
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
	if len(r.controlQueue) == maxQueuedControl {
		r.controlQueue = r.controlQueue[1:]
		n.counters.dropped.Add(1)
	}
	r.controlQueue = append(r.controlQueue, msg)
	if !r.controlSending {
		r.controlSending = true
		n.tasks.Go(r.sendQueuedControl)
	}
}

// sendQueuedControl sends the queued control messages and returns once the queue
// is empty.
func (r *remotePeer) sendQueuedControl() {
	for {
		batch := r.dequeueControl()
		if batch == nil {
			return
		}
		c, err := r.connect(r.node.ctx, classShort)
		if err != nil {
			r.node.counters.dropped.Add(uint64(len(batch)))
			continue
		}
		c.markUsed()
		for _, msg := range batch {
			if err := c.sendControl(msg); err != nil {
				r.node.counters.dropped.Add(1)
			}
		}
	}
}

// dequeueControl removes and returns all queued control messages. A result of nil
// means that the queue is empty and that the sender must return.
func (r *remotePeer) dequeueControl() []control.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := r.controlQueue
	r.controlQueue = nil
	r.controlSending = len(batch) > 0
	return batch
}

// sendControl sends a message as a datagram, or on a stream of its own if it does
// not fit into a datagram.
func (c *conn) sendControl(msg control.Message) error {
	payload, err := encMode.Marshal(msg)
	if err != nil {
		return err
	}
	if len(payload) > c.node.config.Limits.ControlBytes {
		return errOversized.New("control message of %d bytes exceeds the limit, not sent", len(payload))
	}
	datagram := make([]byte, 0, datagramHeaderBytes+len(payload))
	datagram = append(datagram, Version, byte(frameControl))
	datagram = append(datagram, payload...)
	err = c.quic.SendDatagram(datagram)
	var tooLarge *quic.DatagramTooLargeError
	if !errors.As(err, &tooLarge) {
		return err
	}
	return c.sendControlOnStream(payload)
}

func (c *conn) sendControlOnStream(payload []byte) error {
	ctx, cancel := context.WithTimeout(c.node.ctx, largeControlTimeout)
	defer cancel()
	stream, err := c.quic.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	_ = stream.SetWriteDeadline(time.Now().Add(largeControlTimeout))
	frame := append([]byte{Version}, appendFrame(nil, frameControl, payload)...)
	if _, err := stream.Write(frame); err != nil {
		stream.CancelWrite(codeCanceled)
		return err
	}
	return stream.Close()
}

// acceptDatagrams handles control messages that arrive as datagrams, until the
// connection ends.
func (c *conn) acceptDatagrams() {
	for {
		datagram, err := c.quic.ReceiveDatagram(c.node.ctx)
		if err != nil {
			return
		}
		c.receivedAny.Store(true)
		if err := c.handleDatagram(datagram); err != nil {
			c.reportRefusedInput(err)
		}
	}
}

func (c *conn) handleDatagram(datagram []byte) error {
	if len(datagram) < datagramHeaderBytes {
		return errMalformed.New("datagram of %d bytes is too short for its header", len(datagram))
	}
	if err := checkVersion(uint16(datagram[0])); err != nil {
		return err
	}
	if kind := frameType(datagram[1]); kind != frameControl {
		return errMalformed.New("got a datagram with a frame of type %d, expected a control message", kind)
	}
	return c.handleControl(datagram[datagramHeaderBytes:])
}

// handleControl decodes a control message and passes it to the Handler. A message
// whose sender is not the authenticated peer is reported and dropped.
func (c *conn) handleControl(payload []byte) error {
	var msg control.Message
	if err := decode(payload, &msg); err != nil {
		return err
	}
	if msg.From != c.remote.name {
		err := Error.New("control message names %q as its sender, which is not the authenticated peer; dropped", msg.From)
		c.node.report(Event{Kind: SenderRefused, Peer: c.remote.name, Address: c.remoteAddress(), Err: err})
		return nil
	}
	c.markUsed()
	c.node.config.Handler.HandleControl(msg)
	return nil
}

// acceptControlStreams handles control messages that arrive on streams of their
// own, until the connection ends.
func (c *conn) acceptControlStreams() {
	for {
		stream, err := c.quic.AcceptUniStream(c.node.ctx)
		if err != nil {
			return
		}
		c.receivedAny.Store(true)
		c.node.tasks.Go(func() { c.serveControlStream(stream) })
	}
}

func (c *conn) serveControlStream(stream *quic.ReceiveStream) {
	defer stream.CancelRead(codeNotNeeded)
	_ = stream.SetReadDeadline(time.Now().Add(c.node.config.Timing.Head))
	if err := c.handleControlStream(newFrameReader(stream)); err != nil && !errInterrupted.Has(err) {
		c.reportRefusedInput(err)
	}
}

func (c *conn) handleControlStream(frames *frameReader) error {
	version, err := frames.src.ReadByte()
	if err != nil {
		return interrupted(err)
	}
	if err := checkVersion(uint16(version)); err != nil {
		return err
	}
	payload, err := frames.readExpected(frameControl, c.node.config.Limits.ControlBytes)
	if err != nil {
		return err
	}
	return c.handleControl(payload)
}
