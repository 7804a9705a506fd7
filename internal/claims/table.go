package claims

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"sycamoreledge.example/internal/control"
)

// format is the version of the encoding of a shard.
const format = 1

// row is the claim of one key.
type row struct {
	_           struct{} `cbor:",toarray"`
	Instance    string
	Incarnation uint64
	// Nonce tells the attempts to claim a key apart.
	Nonce uint64
	// Expires is in milliseconds since 1970.
	Expires int64
}

func (r row) claim(won bool) Claim {
	return Claim{
		Won:     won,
		Holder:  control.Identity{Instance: r.Instance, Incarnation: r.Incarnation},
		Expires: time.UnixMilli(r.Expires),
	}
}

// ended reports whether the claim is over for its home.
func (r row) ended(now time.Time) bool { return now.UnixMilli() >= r.Expires }

// expired reports whether the claim is over for everyone.
func (r row) expired(now time.Time) bool {
	return now.After(time.UnixMilli(r.Expires).Add(maxClockSkew))
}

// Upper bounds of encoded sizes, in bytes.
const (
	// tableBytes is a shard without rows.
	tableBytes = 16
	// rowBytes is a row with its key, but for the name of the instance: a key of
	// 17, an array header, a string header of 5 and three integers of 9.
	rowBytes = 17 + 1 + 5 + 3*9
)

func (r row) size() int { return rowBytes + len(r.Instance) }

// wireTable is a shard as it stands on the platform.
type wireTable struct {
	Format int                     `cbor:"1,keyasint"`
	Rows   map[cbor.ByteString]row `cbor:"2,keyasint"`
}

// table is the rows of a shard.
type table struct {
	rows map[keyID]row
	// size is an upper bound of the encoded size, in bytes.
	size int
}

func newTable() *table { return &table{rows: make(map[keyID]row), size: tableBytes} }

func (t *table) add(id keyID, r row) {
	t.rows[id] = r
	t.size += r.size()
}

func (t *table) remove(id keyID) {
	r, ok := t.rows[id]
	if !ok {
		return
	}
	delete(t.rows, id)
	t.size -= r.size()
}

// prune removes expired rows.
func (t *table) prune(now time.Time) {
	for id, r := range t.rows {
		if r.expired(now) {
			t.remove(id)
		}
	}
}

func (t *table) encode() ([]byte, error) {
	wire := wireTable{Format: format, Rows: make(map[cbor.ByteString]row, len(t.rows))}
	for id, r := range t.rows {
		wire.Rows[cbor.ByteString(id[:])] = r
	}
	return cbor.Marshal(wire)
}

func decodeTable(value []byte) (*table, error) {
	var wire wireTable
	if err := cbor.Unmarshal(value, &wire); err != nil {
		return nil, Corrupt.Wrap(err)
	}
	if wire.Format != format {
		return nil, Corrupt.New("format %d is not supported", wire.Format)
	}
	t := newTable()
	for key, r := range wire.Rows {
		if len(key) != len(keyID{}) {
			return nil, Corrupt.New("a key of %d bytes", len(key))
		}
		t.add(keyID([]byte(key)), r)
	}
	return t, nil
}
