package claims

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"sycamoreledge.example/internal/control"
)

// formatVersion is the version of the encoding of a shard.
const formatVersion = 1

// row is the claim of one key.
type row struct {
	_           struct{} `cbor:",toarray"`
	Instance    string
	Incarnation uint64
	// Nonce distinguishes the candidates for a key.
	Nonce uint64
	// Expires is a Unix time in milliseconds.
	Expires int64
}

func (r row) claim(won bool) Claim {
	return Claim{
		Won:     won,
		Holder:  control.Identity{Instance: r.Instance, Incarnation: r.Incarnation},
		Expires: time.UnixMilli(r.Expires),
	}
}

// endedForHolder reports whether the claim has expired for its holder.
func (r row) endedForHolder(now time.Time) bool { return now.UnixMilli() >= r.Expires }

// expiredEverywhere reports whether the claim has expired by the clock of every
// instance.
func (r row) expiredEverywhere(now time.Time) bool {
	return now.After(time.UnixMilli(r.Expires).Add(maxClockSkew))
}

// Upper bounds of encoded sizes, in bytes.
const (
	// maxEmptyTableBytes is the size of a table without rows.
	maxEmptyTableBytes = 16
	// maxRowBytesWithoutName is the size of a row with its key, without the instance
	// name: a key of 17 bytes, an array header of 1, a string header of 5 and three
	// integers of 9.
	maxRowBytesWithoutName = 17 + 1 + 5 + 3*9
)

func (r row) encodedSize() int { return maxRowBytesWithoutName + len(r.Instance) }

// wireTable is the encoding of a shard on the platform.
type wireTable struct {
	Format int                     `cbor:"1,keyasint"`
	Rows   map[cbor.ByteString]row `cbor:"2,keyasint"`
}

// table holds the rows of a shard.
type table struct {
	rows map[keyHash]row
	// sizeBound is an upper bound of the encoded size, in bytes.
	sizeBound int
}

func newTable() *table { return &table{rows: make(map[keyHash]row), sizeBound: maxEmptyTableBytes} }

func (t *table) add(id keyHash, r row) {
	t.rows[id] = r
	t.sizeBound += r.encodedSize()
}

func (t *table) remove(id keyHash) {
	r, ok := t.rows[id]
	if !ok {
		return
	}
	delete(t.rows, id)
	t.sizeBound -= r.encodedSize()
}

// prune removes the rows that have expired everywhere.
func (t *table) prune(now time.Time) {
	for id, r := range t.rows {
		if r.expiredEverywhere(now) {
			t.remove(id)
		}
	}
}

func (t *table) encode() ([]byte, error) {
	wire := wireTable{Format: formatVersion, Rows: make(map[cbor.ByteString]row, len(t.rows))}
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
	if wire.Format != formatVersion {
		return nil, Corrupt.New("shard has unsupported format version %d", wire.Format)
	}
	t := newTable()
	for key, r := range wire.Rows {
		if len(key) != len(keyHash{}) {
			return nil, Corrupt.New("shard contains a key hash of unexpected length: %d bytes", len(key))
		}
		t.add(keyHash([]byte(key)), r)
	}
	return t, nil
}
