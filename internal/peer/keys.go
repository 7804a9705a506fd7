package peer

import (
	"bytes"
	"context"
)

// HandOverKeys implements Transport.
func (n *Node) HandOverKeys(ctx context.Context, to string, value []byte) error {
	if len(value) > n.config.Limits.KeysBytes {
		return Error.Wrap(errOversized.New("handover has %d bytes of keys, the limit is %d bytes; not sent", len(value), n.config.Limits.KeysBytes))
	}
	head, err := encMode.Marshal(keyHandoverHead{
		Version:     Version,
		Incarnation: n.config.Incarnation,
		Length:      int64(len(value)),
	})
	if err != nil {
		return Error.Wrap(err)
	}
	r, ok := n.peers[to]
	if !ok {
		return Error.New("peer %q is not a declared instance, keys not sent", to)
	}
	ctx, cancel := context.WithCancel(ctx)
	x, err := r.openExchange(ctx, cancel, classBulk)
	if err != nil {
		cancel()
		return err
	}
	return x.handOverKeys(head, value)
}

// handOverKeys sends the keys and waits for the peer's acknowledgement.
func (x *exchange) handOverKeys(head, value []byte) error {
	x.send(frameKeys, head, bytes.NewReader(value), int64(len(value)), nil)
	payload, err := x.frames.readExpected(frameKeysReply, x.conn.node.config.Limits.HeadBytes)
	if err != nil {
		x.finish(codeCanceled)
		return Error.Wrap(err)
	}
	x.conn.receivedAny.Store(true)
	x.finish(codeNotNeeded)
	var reply keyHandoverReply
	if err := decode(payload, &reply); err != nil {
		return Error.Wrap(err)
	}
	if err := checkVersion(reply.Version); err != nil {
		return Error.Wrap(err)
	}
	if reply.Error != "" {
		return Error.New("peer refused the keys: %s", reply.Error)
	}
	return nil
}

// parseKeyHandoverHead decodes and validates the head of a handover. The limit is
// in bytes of keys.
func parseKeyHandoverHead(data []byte, limit int) (*keyHandoverHead, error) {
	var head keyHandoverHead
	if err := decode(data, &head); err != nil {
		return nil, err
	}
	if err := checkVersion(head.Version); err != nil {
		return nil, err
	}
	if head.Length < 0 {
		return nil, errMalformed.New("handover states a negative length of %d bytes", head.Length)
	}
	if head.Length > int64(limit) {
		return nil, errOversized.New("handover has %d bytes of keys, the limit is %d bytes", head.Length, limit)
	}
	return &head, nil
}
