package peer

import (
	"bytes"
	"context"
)

// GiveKeys implements Transport.
func (n *Node) GiveKeys(ctx context.Context, to string, value []byte) error {
	if len(value) > n.config.Limits.KeysBytes {
		return Error.Wrap(errOversized.New("keys of %d bytes, limit %d", len(value), n.config.Limits.KeysBytes))
	}
	head, err := encoding.Marshal(keysHead{
		Version:     Version,
		Incarnation: n.config.Incarnation,
		Length:      int64(len(value)),
	})
	if err != nil {
		return Error.Wrap(err)
	}
	r, ok := n.peers[to]
	if !ok {
		return Error.New("no peer %q", to)
	}
	ctx, cancel := context.WithCancel(ctx)
	x, err := r.open(ctx, cancel, classBulk)
	if err != nil {
		cancel()
		return err
	}
	return x.giveKeys(head, value)
}

// giveKeys sends the keys and waits for the acknowledgement.
func (x *exchange) giveKeys(head, value []byte) error {
	x.send(frameKeys, head, bytes.NewReader(value), int64(len(value)), nil)
	payload, err := x.frames.frame(frameKeysReply, x.conn.node.config.Limits.HeadBytes)
	if err != nil {
		x.finish(codeCanceled)
		return Error.Wrap(err)
	}
	x.conn.heard.Store(true)
	x.finish(codeDone)
	var reply keysReply
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

// parseKeysHead decodes and validates the head of a handover.
func parseKeysHead(data []byte, limit int) (*keysHead, error) {
	var head keysHead
	if err := decode(data, &head); err != nil {
		return nil, err
	}
	if err := checkVersion(head.Version); err != nil {
		return nil, err
	}
	if head.Length < 0 {
		return nil, errMalformed.New("keys of %d bytes", head.Length)
	}
	if head.Length > int64(limit) {
		return nil, errOversized.New("keys of %d bytes, limit %d", head.Length, limit)
	}
	return &head, nil
}
