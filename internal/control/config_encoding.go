package control

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/settings"
)

// Packing is the class of errors of a configuration that cannot be read from a
// message.
var Packing = errs.Class("packed configuration")

// maxConfigBytes bounds an unpacked configuration. The platform holds at most
// half of it.
const maxConfigBytes = 2 << 20

// newConfig returns the message that carries a configuration, packed once for
// all its receivers.
func newConfig(cfg *settings.Config) (*Config, error) {
	packed, err := pack(cfg)
	if err != nil {
		return nil, err
	}
	return &Config{Value: cfg, packed: packed}, nil
}

// pack returns the compressed form of the encoding of a configuration. Presets
// differ little from one another, and each change goes to all instances.
func pack(cfg *settings.Config) ([]byte, error) {
	plain, err := cbor.Marshal(cfg)
	if err != nil {
		return nil, Packing.Wrap(err)
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, Packing.Wrap(err)
	}
	// A bytes.Buffer returns no errors.
	_, _ = w.Write(plain)
	_ = w.Close()
	return packed.Bytes(), nil
}

// MarshalCBOR implements cbor.Marshaler: a configuration is a byte string with
// its packed form, and a question for one is an empty byte string.
func (c Config) MarshalCBOR() ([]byte, error) {
	switch {
	case c.Value == nil:
		return cbor.Marshal([]byte{})
	case c.packed != nil:
		return cbor.Marshal(c.packed)
	}
	packed, err := pack(c.Value)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(packed)
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (c *Config) UnmarshalCBOR(data []byte) error {
	var packed []byte
	if err := cbor.Unmarshal(data, &packed); err != nil {
		return Packing.Wrap(err)
	}
	c.Value = nil
	if len(packed) == 0 {
		return nil
	}
	r := flate.NewReader(bytes.NewReader(packed))
	plain, err := io.ReadAll(io.LimitReader(r, maxConfigBytes+1))
	if err != nil {
		return Packing.Wrap(err)
	}
	if len(plain) > maxConfigBytes {
		return Packing.New("more than %d bytes", maxConfigBytes)
	}
	var value settings.Config
	if err := cbor.Unmarshal(plain, &value); err != nil {
		return Packing.Wrap(err)
	}
	c.Value = &value
	return nil
}
